//! Fair queueing of calls that wait for a replica.

mod call;
mod decaying_sum;
mod fair;
mod workspace;

pub use call::{CallKey, CallRequest, PushError, PushOutcome, QueueSettings, QueuedCall};
pub use fair::FairQueue;
pub use workspace::WorkspaceKey;
