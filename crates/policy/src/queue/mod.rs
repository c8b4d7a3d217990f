//! Order among waiting calls.

mod call;
mod fair;
mod recent;
mod share;

pub use call::{CallKey, CallRequest, PoppedCall, PushError, PushOutcome, QueueWeights};
pub use fair::FairQueue;
pub use share::ShareKey;
