//! Runs of suspected requests, of which the fleet allows one at a time.
//!
//! Copies that run side by side would end a replica each before the first crash is known. All VMs
//! therefore ask the same VM, the home of the suspects, before they send one.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::fingerprint::RequestFingerprint;
use super::table::CrashHistory;
use crate::decide::limits::StartKey;
use crate::decide::member_facts::VmKey;

/// Crashes from which a request runs at replicas without other suspects, so that the cause of
/// the next crash is known.
const ALONE_FROM_CRASHES: u8 = 2;
/// Maximum number of runs that are tracked; further ones are granted.
const RUNS_MAX: usize = 10_000;

/// A run that a VM asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct RunQuery {
    /// Hash of the request.
    pub fingerprint: RequestFingerprint,
    /// What the VM knows of it.
    pub history: CrashHistory,
    /// Replica that the VM would send it to.
    pub start: StartKey,
    /// VM that asks.
    pub vm: VmKey,
    /// Time after which the run has ended in any case, in milliseconds.
    pub max_ms: u64,
}

/// Decision of the home of the suspects on a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub enum RunDecision {
    /// The request may be sent to the replica.
    Granted,
    /// A copy of the request is running.
    Busy,
    /// The replica runs another suspect, and one of the two has to run alone.
    ReplicaTaken,
}

#[derive(Clone, Copy, Debug)]
struct SuspectRun {
    start: StartKey,
    vm: VmKey,
    crashes: u8,
    ends_ms: u64,
}

/// Runs of suspected requests that this VM has granted as the home of the suspects.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    runs: HashMap<RequestFingerprint, SuspectRun>,
}

impl RunLedger {
    /// Decides on a run, and records it if it is granted.
    pub fn decide(&mut self, query: &RunQuery, now_ms: u64) -> RunDecision {
        self.runs.retain(|_, run| run.ends_ms > now_ms);
        if self.runs.contains_key(&query.fingerprint) {
            return RunDecision::Busy;
        }
        let crashes = query.history.crashes();
        let mut others = self.runs.values().filter(|run| run.start == query.start);
        if others.any(|run| run.crashes.max(crashes) >= ALONE_FROM_CRASHES) {
            return RunDecision::ReplicaTaken;
        }
        if self.runs.len() < RUNS_MAX {
            let run = SuspectRun {
                start: query.start,
                vm: query.vm,
                crashes,
                ends_ms: now_ms + query.max_ms,
            };
            self.runs.insert(query.fingerprint, run);
        }
        RunDecision::Granted
    }

    /// Records that a run of `vm` has ended.
    pub fn end(&mut self, fingerprint: RequestFingerprint, vm: VmKey) {
        if self.runs.get(&fingerprint).is_some_and(|run| run.vm == vm) {
            self.runs.remove(&fingerprint);
        }
    }

    /// Ends the runs of a VM that has restarted or is silent.
    pub fn end_all(&mut self, vm: VmKey) {
        self.runs.retain(|_, run| run.vm != vm);
    }
}
