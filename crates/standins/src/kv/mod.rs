//! A key-value service in memory that speaks the JSON calls of the published
//! etcd v3 gateway, with switches for faults.

mod answer;
mod faults;
mod lease;
mod read;
mod server;
mod store;
mod stream;
mod txn;

pub use faults::OutageKind;
pub use server::KvServer;
