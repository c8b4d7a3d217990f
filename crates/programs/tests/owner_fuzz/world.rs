//! What surrounds an owner: holders, journal, engines and callers.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use ibisdale_core::{AttemptKey, HistoryDigest, ProgramId, SlotId, WorkspaceName};
use ibisdale_programs::{EngineAddress, ProgramRecord, StepKind};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::oracle::Call;

/// An attempt, in the tests' numbers.
pub(crate) type AttemptId = (usize, u32, u8);

/// The holders of one slot's histories: refuses old epochs and gaps.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    pub(crate) sealed: u64,
    pub(crate) stored: BTreeMap<ProgramId, Vec<Bytes>>,
}

impl Holder {
    pub(crate) fn append(&mut self, epoch: u64, records: &[ProgramRecord]) -> bool {
        if epoch < self.sealed {
            return false;
        }
        for record in records {
            let history = self.stored.entry(record.root).or_default();
            assert_eq!(record.sequence, history.len() as u64, "no gap, no rewrite");
            history.push(record.to_bytes().expect("records encode"));
        }
        true
    }

    pub(crate) fn read(&self, root: ProgramId) -> Vec<ProgramRecord> {
        let records = self.stored[&root].iter();
        records
            .map(|bytes| ProgramRecord::from_bytes(bytes).expect("records decode"))
            .collect()
    }
}

/// The journal of intents: refuses commits of old epochs.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    pub(crate) sealed: u64,
    pub(crate) intents: BTreeSet<AttemptId>,
}

impl Journal {
    pub(crate) fn commit(&mut self, epoch: u64, attempt: AttemptId) -> bool {
        epoch >= self.sealed && self.intents.insert(attempt)
    }
}

/// One engine that checks fencing numbers, and one service.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    pub(crate) runs: Vec<AttemptId>,
    pub(crate) sessions: BTreeSet<usize>,
    fences: BTreeMap<usize, u64>,
}

impl Upstreams {
    /// Runs a call, unless it comes from an owner older than the last order.
    pub(crate) fn run(&mut self, attempt: AttemptId, epoch: u64) -> bool {
        let fence = self.fences.get(&attempt.0).copied().unwrap_or_default();
        let is_model = Call::of(attempt.2) == Call::Model;
        if is_model && epoch < fence {
            return false;
        }
        self.runs.push(attempt);
        if is_model {
            self.sessions.insert(attempt.0);
        }
        true
    }

    /// Finishes a call, which leaves its prefix in the engine's memory.
    pub(crate) fn finish(&mut self, attempt: AttemptId, epoch: u64) {
        let fence = self.fences.get(&attempt.0).copied().unwrap_or_default();
        if Call::of(attempt.2) == Call::Model && epoch >= fence {
            self.sessions.insert(attempt.0);
        }
    }

    pub(crate) fn release(&mut self, program: usize, epoch: u64) {
        let fence = self.fences.entry(program).or_default();
        if epoch >= *fence {
            *fence = epoch;
            self.sessions.remove(&program);
        }
    }

    pub(crate) fn count(&self, attempt: AttemptId) -> usize {
        self.runs.iter().filter(|run| **run == attempt).count()
    }
}

/// What callers were told of one program.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delivered {
    pub(crate) exchanges: Vec<(Bytes, Bytes)>,
}

impl Delivered {
    pub(crate) fn digest(exchanges: &[(Bytes, Bytes)]) -> HistoryDigest {
        exchanges
            .iter()
            .fold(HistoryDigest::EMPTY, |digest, (request, answer)| {
                digest.append(request).append(answer)
            })
    }
}

pub(crate) fn slot() -> SlotId {
    SlotId::new(3).expect("a slot")
}

pub(crate) fn program_id(program: usize) -> ProgramId {
    ProgramId::generate(slot(), &mut SmallRng::seed_from_u64(program as u64))
}

pub(crate) fn workspace(name: &'static str) -> WorkspaceName {
    WorkspaceName::new(name).expect("a name")
}

pub(crate) fn attempt_key(attempt: u8) -> AttemptKey {
    AttemptKey::new(format!("attempt-{attempt}")).expect("a key")
}

pub(crate) fn engine() -> EngineAddress {
    EngineAddress::new("10.0.0.9:8000")
}

pub(crate) fn payload((program, step, attempt): AttemptId) -> Bytes {
    format!("request {program}/{step}/{attempt}").into()
}

pub(crate) fn answer((program, step, attempt): AttemptId) -> Bytes {
    format!("answer {program}/{step}/{attempt}").into()
}

pub(crate) fn kind(attempt: u8) -> StepKind {
    match Call::of(attempt) {
        Call::Model => StepKind::Model {
            prompt_tokens: 10,
            max_tokens: 20,
        },
        Call::Read => StepKind::Call { idempotent: true },
        Call::Paid => StepKind::Call { idempotent: false },
    }
}
