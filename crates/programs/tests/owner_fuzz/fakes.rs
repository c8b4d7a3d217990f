//! Fakes of the holders, the journal and the upstreams, and the answers that
//! callers received.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use ibisdale_core::{AttemptKey, HistoryDigest, ProgramId, SlotId, WorkspaceName};
use ibisdale_programs::{EngineAddress, ProgramRecord, StepKind};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::oracle::CallKind;

/// An attempt: program index, step number and attempt number.
pub(crate) type AttemptId = (usize, u32, u8);

/// Fake holder of one slot's histories; refuses stale epochs and checks that there
/// is no gap.
#[derive(Debug, Default)]
pub(crate) struct FakeHolder {
    pub(crate) sealed_epoch: u64,
    pub(crate) stored: BTreeMap<ProgramId, Vec<Bytes>>,
}

impl FakeHolder {
    pub(crate) fn append(&mut self, epoch: u64, records: &[ProgramRecord]) -> bool {
        if epoch < self.sealed_epoch {
            return false;
        }
        for record in records {
            let history = self.stored.entry(record.root).or_default();
            assert_eq!(
                record.sequence,
                history.len() as u64,
                "records are appended without a gap"
            );
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

/// Fake journal of intents; refuses commits with a stale epoch.
#[derive(Debug, Default)]
pub(crate) struct FakeJournal {
    pub(crate) sealed_epoch: u64,
    pub(crate) intents: BTreeSet<AttemptId>,
}

impl FakeJournal {
    pub(crate) fn commit(&mut self, epoch: u64, attempt: AttemptId) -> bool {
        epoch >= self.sealed_epoch && self.intents.insert(attempt)
    }
}

/// Fake engine, which checks fencing numbers, and fake service.
#[derive(Debug, Default)]
pub(crate) struct FakeUpstreams {
    pub(crate) runs: Vec<AttemptId>,
    pub(crate) sessions: BTreeSet<usize>,
    fencing_epochs: BTreeMap<usize, u64>,
}

impl FakeUpstreams {
    /// Runs a call, unless its epoch is below that of the last clean-up request.
    pub(crate) fn run(&mut self, attempt: AttemptId, epoch: u64) -> bool {
        let fencing_epoch = self
            .fencing_epochs
            .get(&attempt.0)
            .copied()
            .unwrap_or_default();
        let is_model = CallKind::of_attempt(attempt.2) == CallKind::Model;
        if is_model && epoch < fencing_epoch {
            return false;
        }
        self.runs.push(attempt);
        if is_model {
            self.sessions.insert(attempt.0);
        }
        true
    }

    /// Finishes a call, which leaves its session on the engine.
    pub(crate) fn finish(&mut self, attempt: AttemptId, epoch: u64) {
        let fencing_epoch = self
            .fencing_epochs
            .get(&attempt.0)
            .copied()
            .unwrap_or_default();
        if CallKind::of_attempt(attempt.2) == CallKind::Model && epoch >= fencing_epoch {
            self.sessions.insert(attempt.0);
        }
    }

    pub(crate) fn release(&mut self, program: usize, epoch: u64) {
        let fencing_epoch = self.fencing_epochs.entry(program).or_default();
        if epoch >= *fencing_epoch {
            *fencing_epoch = epoch;
            self.sessions.remove(&program);
        }
    }

    pub(crate) fn count(&self, attempt: AttemptId) -> usize {
        self.runs.iter().filter(|run| **run == attempt).count()
    }
}

/// Exchanges that were delivered to the callers of one program.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeliveredAnswers {
    pub(crate) exchanges: Vec<(Bytes, Bytes)>,
}

impl DeliveredAnswers {
    pub(crate) fn digest(exchanges: &[(Bytes, Bytes)]) -> HistoryDigest {
        exchanges
            .iter()
            .fold(HistoryDigest::EMPTY, |digest, (request, answer)| {
                digest.append(request).append(answer)
            })
    }
}

pub(crate) fn slot() -> SlotId {
    SlotId::new(3).expect("valid slot")
}

pub(crate) fn program_id(program: usize) -> ProgramId {
    ProgramId::generate(slot(), &mut SmallRng::seed_from_u64(program as u64))
}

pub(crate) fn workspace(name: &'static str) -> WorkspaceName {
    WorkspaceName::new(name).expect("valid name")
}

pub(crate) fn attempt_key(attempt: u8) -> AttemptKey {
    AttemptKey::new(format!("attempt-{attempt}")).expect("valid key")
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
    match CallKind::of_attempt(attempt) {
        CallKind::Model => StepKind::Model {
            prompt_tokens: 10,
            max_tokens: 20,
        },
        CallKind::Read => StepKind::Call { idempotent: true },
        CallKind::Paid => StepKind::Call { idempotent: false },
    }
}
