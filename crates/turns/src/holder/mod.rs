//! Holder's side: stores copies of turns on its disk and restores those of others.

mod commit;
mod identity;
mod repairs;
mod server;
mod state;

pub use identity::{HolderIdentity, read_identity};
pub use state::{HolderOptions, TurnHolder};
