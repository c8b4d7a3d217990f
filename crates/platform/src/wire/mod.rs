//! Messages of the key-value service, in the JSON form of the published etcd v3
//! gateway, and of the VM list.

mod kv;
mod lease;
mod scalar;
mod txn;
mod vms;
mod watch;

pub use kv::{
    DeleteRangeRequest, DeleteRangeResponse, KeyValue, PutRequest, PutResponse, RangeRequest,
    RangeResponse, ResponseHeader, prefix_end,
};
pub use lease::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    LeaseRevokeRequest, LeaseRevokeResponse,
};
pub use scalar::{Base64Bytes, Int64};
pub use txn::{
    CompareResult, CompareTarget, RequestOp, ResponseOp, TxnCompare, TxnRequest, TxnResponse,
};
pub use vms::{VmEntry, VmList, VmState};
pub use watch::{
    ErrorBody, EventKind, StreamLine, WatchCreateRequest, WatchEvent, WatchRequest, WatchResponse,
};
