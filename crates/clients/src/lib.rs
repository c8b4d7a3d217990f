//! Bounds on what clients make a process hold: memory, connections and their tasks.
//!
//! Clients outside the operators' control leave bodies unfinished, do not read responses and open
//! connections without using them. [`ClientMemory`] and [`ConnectionTable`] decide, without a
//! network or a clock, how much may be held and who gives way; the other types apply their
//! decisions to bodies, responses and connections. Times are milliseconds on one clock.

mod account;
mod body;
mod counted;
mod delivery;
mod limiter;
mod limits;
mod linger;
mod memory;
mod progress;
mod table;
mod watched;
mod yielding;

pub use account::{ClientAccount, HeldBytes};
pub use body::{BodyRefusal, HeldBody, read_body};
pub use counted::CountedBody;
pub use delivery::{DeliveredBody, ResponseEvicted};
pub use limiter::{ConnectionCloser, ConnectionLimiter, OpenConnection, RequestProgress};
pub use limits::ClientLimits;
pub use linger::{DISCARD_MAX_BYTES, DISCARD_TIMEOUT, close_after, discard_rest, is_closed_after};
pub use memory::{ClientMemory, ClientMemoryUse, MemoryShortage};
pub use table::{ConnectionKey, ConnectionTable, ConnectionsBusy};
pub use watched::WatchedStream;
pub use yielding::{BodyKey, ResponseKey, TransferKey};
