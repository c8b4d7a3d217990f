//! Oracle: predicts the table's answers from a list of past events.

use ibisdale_core::RefusalCode;

/// Token budget of each root program.
pub(crate) const TOKENS: u64 = 120;
/// Paid actions of each root program.
pub(crate) const PAID_ACTIONS: u64 = 2;
/// Step limit of each root program.
pub(crate) const STEPS: u32 = 5;
/// Maximum distance of an early request's step from the next step.
const MAX_STEPS_AHEAD: u32 = 8;

/// Kind of an attempt's call, which the attempt's number determines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Model,
    Read,
    Paid,
}

impl CallKind {
    pub(crate) fn of_attempt(attempt: u8) -> Self {
        match attempt {
            0 | 1 => Self::Model,
            2 => Self::Read,
            _ => Self::Paid,
        }
    }

    pub(crate) fn tokens(self) -> u64 {
        if self == Self::Model { 30 } else { 0 }
    }
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Answer(u64),
    NotRun,
    Ran,
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    ProgramStarted {
        program: usize,
        parent: Option<usize>,
    },
    AttemptStarted {
        program: usize,
        step: u32,
        attempt: u8,
    },
    AttemptFinished {
        program: usize,
        outcome: Outcome,
    },
    ProgramEnded {
        program: usize,
    },
}

/// Expected answer of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expected {
    Run,
    Wait,
    Join,
    Recorded(Outcome),
    Refused(RefusalCode),
}

#[derive(Clone, Copy, Debug)]
struct AttemptModel {
    step: u32,
    attempt: u8,
    /// Tokens of the program's last completed model call, which the prompt repeats.
    history_tokens: u64,
    outcome: Option<Outcome>,
}

impl AttemptModel {
    fn is_settled(self) -> bool {
        match self.outcome {
            Some(Outcome::Answer(_)) => true,
            Some(Outcome::Ran | Outcome::Unknown) => {
                CallKind::of_attempt(self.attempt) == CallKind::Paid
            }
            Some(Outcome::NotRun) | None => false,
        }
    }

    fn tokens(self) -> u64 {
        match self.outcome {
            Some(Outcome::Answer(used)) => used,
            Some(Outcome::NotRun) => 0,
            Some(_) | None => worst_case_tokens(self.attempt, self.history_tokens),
        }
    }

    fn is_counted(self) -> bool {
        self.outcome != Some(Outcome::NotRun)
    }

    fn is_paid(self) -> bool {
        self.is_counted() && CallKind::of_attempt(self.attempt) == CallKind::Paid
    }
}

fn worst_case_tokens(attempt: u8, history: u64) -> u64 {
    let call = CallKind::of_attempt(attempt);
    call.tokens() + if call == CallKind::Model { history } else { 0 }
}

fn history_tokens(found: &[(usize, AttemptModel)], program: usize) -> u64 {
    let own = found
        .iter()
        .rev()
        .filter(|(attempt_program, _)| *attempt_program == program);
    let mut answered = own.filter_map(|(_, model)| match model.outcome {
        Some(Outcome::Answer(used)) if CallKind::of_attempt(model.attempt) == CallKind::Model => {
            Some(used)
        }
        _ => None,
    });
    answered.next().unwrap_or(0)
}

/// Events of one root program and its sub-agents, oldest first; the first
/// `stored_count` are stored.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgramTree {
    pub(crate) events: Vec<Event>,
    pub(crate) stored_count: usize,
}

impl ProgramTree {
    fn attempts(&self, program_filter: Option<usize>) -> Vec<AttemptModel> {
        let mut found: Vec<(usize, AttemptModel)> = Vec::new();
        for event in &self.events {
            match *event {
                Event::AttemptStarted {
                    program,
                    step,
                    attempt,
                } => {
                    let model = AttemptModel {
                        step,
                        attempt,
                        history_tokens: history_tokens(&found, program),
                        outcome: None,
                    };
                    found.push((program, model));
                }
                Event::AttemptFinished { program, outcome } => {
                    let last = found
                        .iter_mut()
                        .rfind(|(attempt_program, _)| *attempt_program == program);
                    last.expect("an attempt is running").1.outcome = Some(outcome);
                }
                Event::ProgramStarted { .. } | Event::ProgramEnded { .. } => {}
            }
        }
        found.retain(|(attempt_program, _)| {
            program_filter.is_none_or(|program| program == *attempt_program)
        });
        found.into_iter().map(|(_, attempt)| attempt).collect()
    }

    pub(crate) fn programs(&self) -> Vec<usize> {
        let started = self.events.iter().filter_map(|event| match *event {
            Event::ProgramStarted { program, .. } => Some(program),
            _ => None,
        });
        started.collect()
    }

    pub(crate) fn is_ended(&self, program: usize) -> bool {
        self.events.contains(&Event::ProgramEnded { program })
    }

    pub(crate) fn running(&self, program: usize) -> Option<(u32, u8)> {
        let attempts = self.attempts(Some(program));
        let last = attempts.last().filter(|last| last.outcome.is_none());
        last.map(|last| (last.step, last.attempt))
    }

    pub(crate) fn next_step(&self, program: usize) -> u32 {
        let attempts = self.attempts(Some(program));
        attempts
            .last()
            .map_or(1, |last| last.step + u32::from(last.is_settled()))
    }

    /// Returns the tokens and paid actions spent or reserved.
    pub(crate) fn used(&self) -> (u64, u64) {
        let attempts = self.attempts(None);
        let tokens = attempts.iter().map(|attempt| attempt.tokens()).sum();
        let paid = attempts.iter().filter(|attempt| attempt.is_paid()).count();
        (tokens, u64::try_from(paid).expect("count fits"))
    }

    pub(crate) fn counted_steps(&self) -> u32 {
        let children = self.programs().len() - 1;
        let attempts = self.attempts(None);
        let counted = attempts.iter().filter(|attempt| attempt.is_counted());
        u32::try_from(children + counted.count()).expect("count fits")
    }

    /// Drops the events that were not stored and records an outcome for each attempt
    /// that was running.
    pub(crate) fn recover(&mut self, mut resolve: impl FnMut(usize, u32, u8) -> Outcome) {
        self.events.truncate(self.stored_count);
        for program in self.programs() {
            if let Some((step, attempt)) = self.running(program) {
                let outcome = resolve(program, step, attempt);
                self.events
                    .push(Event::AttemptFinished { program, outcome });
            }
        }
    }

    pub(crate) fn predict(
        &self,
        program: usize,
        step: u32,
        attempt: u8,
        is_digest_wrong: bool,
    ) -> Expected {
        let attempts = self.attempts(Some(program));
        let same = attempts
            .iter()
            .find(|known| (known.step, known.attempt) == (step, attempt));
        if let Some(same) = same {
            return same.outcome.map_or(Expected::Join, Expected::Recorded);
        }
        let next = self.next_step(program);
        let is_running = self.running(program).is_some();
        let call = CallKind::of_attempt(attempt);
        let history = attempts.iter().map(|model| (program, *model));
        let history = history_tokens(&history.collect::<Vec<_>>(), program);
        let (tokens, paid) = self.used();
        let is_paid = u64::from(call == CallKind::Paid);
        let code = if self.is_ended(program) {
            RefusalCode::ProgramEnded
        } else if step > next {
            if step - next > MAX_STEPS_AHEAD {
                RefusalCode::WrongStep
            } else {
                return Expected::Wait;
            }
        } else if step < next {
            RefusalCode::AttemptMismatch
        } else if is_running {
            RefusalCode::StepRunning
        } else if is_digest_wrong {
            RefusalCode::HistoryMismatch
        } else if self.counted_steps() >= STEPS {
            RefusalCode::LimitReached
        } else if tokens + worst_case_tokens(attempt, history) > TOKENS
            || paid + is_paid > PAID_ACTIONS
        {
            RefusalCode::BudgetExceeded
        } else {
            return Expected::Run;
        };
        Expected::Refused(code)
    }
}
