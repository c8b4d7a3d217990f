//! Requests to holders and their replies.

use serde::{Deserialize, Serialize};

use crate::holders::HolderInfo;
use crate::turn::{KeptTurn, TurnKey};

/// Request to a holder.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum HolderRequest {
    /// Stores turns; the reply follows once they are synced.
    Store {
        /// The turns.
        turns: Vec<KeptTurn>,
    },
    /// Requests a turn and the turns that it continues.
    GetChain {
        /// Key of the newest turn.
        key: TurnKey,
    },
    /// Compares turns that the receiver should have.
    Check {
        /// The sending holder.
        sender: HolderInfo,
        /// Generation of the receiver that the sender knows.
        receiver_generation: Option<u64>,
        /// Keys of the turns.
        keys: Vec<TurnKey>,
        /// Whether the sender has compared all other turns with this generation.
        is_last: bool,
    },
    /// Copies all turns to other holders, because the receiver's disk is to be removed.
    Retire,
}

/// Reply of a holder.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum HolderReply {
    /// Reply to `Store`.
    Store(StoreOutcome),
    /// Reply to `GetChain`.
    Chain {
        /// The turns, newest first, up to the first that is not here; empty if the
        /// requested turn is not here.
        turns: Vec<KeptTurn>,
        /// Whether the disk is whole, so that a turn that is not here has no copy here.
        is_whole: bool,
        /// Digest of the holders that this holder knows.
        holders_digest: u64,
    },
    /// Reply to `Check`.
    Checked {
        /// Generation of the replying holder.
        generation: u64,
        /// Turns that the replying holder does not have.
        missing: Vec<TurnKey>,
    },
    /// Reply to `Retire`.
    Retiring {
        /// Number of copies that have yet to be made or compared on other holders.
        left: u64,
    },
}

/// Outcome of storing turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum StoreOutcome {
    /// All turns are synced.
    Stored,
    /// The holder is being emptied and takes no turns.
    Retiring,
    /// The disk is full.
    Full,
    /// The disk failed.
    Failed,
}
