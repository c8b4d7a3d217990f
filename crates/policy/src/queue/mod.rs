//! Order among waiting calls.

mod fair;
mod recent;
mod share;

pub use fair::{CallKey, CallRequest, FairQueue, PoppedCall, PushError, PushOutcome, QueueWeights};
pub use share::ShareKey;
