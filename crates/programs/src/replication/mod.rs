//! Decisions about the copies of histories: which holders keep a slot's
//! histories, when an append is safe, and what is copied again.
//!
//! The holders of a slot are written in the slot's record in the key-value
//! service, and only its owner changes them, by compare-and-swap. A record is
//! safe when *all* of them have stored it; so a new owner needs to seal and
//! read only *one* of them to find every safe record and to keep the old owner
//! from making another one safe.

mod holders;
mod progress;
mod recopy;

pub use holders::{CopyPolicy, CopyShortage, FailureDomain, HolderKey, HolderState, HolderTable};
pub use progress::{AppendEffect, CopyProgress};
pub use recopy::{RecopyQueue, RecopyTask};
