//! The HTTP gateway: I/O around the decision logic of [`crate::decide`], on a single thread.

mod admit;
mod attempt;
mod body;
mod boot_time;
mod budget;
mod caller_request;
mod ceilings;
mod count_losses;
mod directory;
mod drain;
mod events;
mod forward;
mod header_names;
mod in_flight;
mod limits;
mod listen;
mod message;
mod metrics;
mod origins;
mod peer_link;
mod peers;
mod pool;
mod response_memory;
mod rpc;
mod state;
mod state_transfer;
mod stream;
mod turns;

pub use body::{ResponseAborted, ResponseBody};
pub use directory::{DirectoryQuery, DirectoryRule};
pub use drain::drain;
pub use events::{EventSplitter, StreamEvent};
pub use header_names::HeaderNames;
pub use listen::ListenAddresses;
pub use state::{DurableStore, Gateway, GatewayOptions, StoreCeilings, StoreFuture};
