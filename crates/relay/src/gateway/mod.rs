//! The gateway: sockets around the decisions, on one thread.

mod admit;
mod ask;
mod attempt;
mod body;
mod budget;
mod call;
mod ceilings;
mod dialect;
mod directory;
mod drain;
mod events;
mod flight;
mod forward;
mod listen;
mod losses;
mod message;
mod metrics;
mod peers;
mod plan_link;
mod pool;
mod state;
mod stream;

pub use body::{AbortedAnswer, AnswerBody};
pub use dialect::HeaderDialect;
pub use directory::{DirectoryQuery, DirectoryRule};
pub use drain::drain;
pub use events::{EventSplitter, StreamEvent};
pub use listen::ListenAddresses;
pub use state::{DurableStore, Gateway, GatewayOptions, StoreCeilings, StoreFuture};
