//! Runs the steps of a program in order.

use std::time::Duration;

use ibisdale_core::{AttemptKey, HistoryDigest, ProgramId, RefusalCode, RunState, StepNumber};
use ibisdale_entry::LimitsBody;
use rand::Rng;
use serde::Serialize;
use serde_json::Value;

use crate::error::CommandError;
use crate::output::OutputFormat;
use crate::run::caller::{CallerClient, StartedProgram, StepAnswer, StepCall};
use crate::run::file::{ChildFile, ProgramFile, StepFile};
use crate::run::report::{RunReport, StepReport};

/// Times that a step which has not run is sent again.
const RETRIES_MAX: u32 = 10;
/// Pause before a step is looked up again.
const POLL_DELAY: Duration = Duration::from_millis(250);
/// Times that a running step is looked up after its answer was lost.
const POLLS_MAX: u32 = 240;

/// Runs programs and shows their progress.
#[derive(Debug)]
pub(crate) struct ProgramRunner {
    client: CallerClient,
    /// Addresses in the order in which to try them.
    addresses: Vec<String>,
    format: OutputFormat,
}

/// A program or sub-agent under way.
#[derive(Clone, Copy, Debug)]
struct ProgramCursor {
    id: ProgramId,
    digest: HistoryDigest,
    next: StepNumber,
}

impl ProgramCursor {
    fn new(started: &StartedProgram) -> Self {
        Self {
            id: started.id,
            digest: started.digest,
            next: StepNumber::FIRST,
        }
    }
}

impl ProgramRunner {
    pub(crate) fn new(client: CallerClient, format: OutputFormat) -> Self {
        Self {
            client,
            addresses: Vec::new(),
            format,
        }
    }

    /// Returns the client for an attempt: the first address at first, then the
    /// others in turn.
    fn client_for(&self, attempt: u32) -> CallerClient {
        let mut addresses = self.addresses.iter().cycle();
        match addresses.nth(attempt as usize) {
            Some(address) => self.client.at(address),
            None => self.client.clone(),
        }
    }

    /// Runs a program to its end.
    pub(crate) async fn run(mut self, file: &ProgramFile) -> Result<RunReport, CommandError> {
        let addresses = self.client.find_addresses(&file.workspace).await?;
        self.addresses = addresses.addresses;
        let started = self.start(file).await?;
        // The program's owner comes first from now on.
        self.addresses.retain(|address| *address != started.address);
        self.addresses.insert(0, started.address.clone());
        self.client = self.client.at(&started.address);
        self.progress(format_args!("program {} started", started.id));
        let mut report = RunReport {
            program: started.id,
            digest: started.digest,
            steps: Vec::new(),
        };
        let cursor = ProgramCursor::new(&started);
        report.digest = self.run_steps(cursor, &file.steps, &mut report).await?;
        self.until_run(async |client| client.end(started.id).await)
            .await?;
        Ok(report)
    }

    /// Starts the program, at the other addresses where one can't be reached.
    async fn start(&self, file: &ProgramFile) -> Result<StartedProgram, CommandError> {
        self.until_run(async |client| client.start(&file.start).await)
            .await
    }

    /// Sends a request until it has run; again only where it has not.
    async fn until_run<T>(
        &self,
        send: impl AsyncFn(CallerClient) -> Result<T, CommandError>,
    ) -> Result<T, CommandError> {
        let mut attempt = 0;
        loop {
            let error = match send(self.client_for(attempt)).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let (Some(delay), true) = (not_run_delay(&error), attempt < RETRIES_MAX) else {
                return Err(error);
            };
            attempt += 1;
            self.progress(format_args!("{error}, again in {delay:?}"));
            smol::Timer::after(delay).await;
        }
    }

    async fn run_steps(
        &self,
        mut cursor: ProgramCursor,
        steps: &[StepFile],
        report: &mut RunReport,
    ) -> Result<HistoryDigest, CommandError> {
        for step in steps {
            match step {
                StepFile::Chat(body) => {
                    let target = format!("chat {}", body.model);
                    self.run_step(&mut cursor, "chat", target, body, report)
                        .await?;
                }
                StepFile::Call(body) => {
                    let target = format!("call {}/{}", body.service, body.route);
                    self.run_step(&mut cursor, "call", target, body, report)
                        .await?;
                }
                StepFile::Child(child) => self.run_child(cursor.id, child, report).await?,
            }
        }
        Ok(cursor.digest)
    }

    async fn run_child(
        &self,
        parent: ProgramId,
        child: &ChildFile,
        report: &mut RunReport,
    ) -> Result<(), CommandError> {
        let limits: LimitsBody = child.limits;
        let started = self
            .until_run(async |client| client.start_child(parent, limits).await)
            .await?;
        self.progress(format_args!("sub-agent {} started", started.id));
        let cursor = ProgramCursor::new(&started);
        Box::pin(self.run_steps(cursor, &child.steps, report)).await?;
        self.until_run(async |client| client.end(started.id).await)
            .await
    }

    async fn run_step(
        &self,
        cursor: &mut ProgramCursor,
        kind: &'static str,
        target: String,
        body: &impl Serialize,
        report: &mut RunReport,
    ) -> Result<(), CommandError> {
        let attempt = new_attempt()?;
        let call = StepCall {
            program: cursor.id,
            step: cursor.next,
            kind,
            attempt: &attempt,
            digest: cursor.digest,
        };
        let answer = self.run_attempts(call, body).await?;
        cursor.digest = match answer.digest {
            Some(digest) => digest,
            None => self.client.read_program(cursor.id).await?.digest,
        };
        self.progress(format_args!("step {} done: {target}", cursor.next));
        report.steps.push(StepReport {
            program: cursor.id,
            step: cursor.next.get(),
            target,
            answer: answer.answer,
        });
        cursor.next = cursor.next.next();
        Ok(())
    }

    /// Sends a step until it has an answer; again only where it has not run.
    async fn run_attempts(
        &self,
        call: StepCall<'_>,
        body: &impl Serialize,
    ) -> Result<StepAnswer, CommandError> {
        let mut attempt = 0;
        loop {
            let result = self.client_for(attempt).run_step(call, body).await;
            let error = match result {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if error.is_answer_lost()
                && let Some(answer) = self.find_outcome(call, &error).await?
            {
                return Ok(answer);
            }
            let delay = retry_delay(&error);
            let (Some(delay), true) = (delay, attempt < RETRIES_MAX) else {
                return Err(step_failure(call, error));
            };
            attempt += 1;
            self.progress(format_args!("step {} again in {delay:?}", call.step));
            smol::Timer::after(delay).await;
        }
    }

    /// Learns what became of a step whose answer is lost; `None` where it has
    /// not run.
    async fn find_outcome(
        &self,
        call: StepCall<'_>,
        error: &CommandError,
    ) -> Result<Option<StepAnswer>, CommandError> {
        for poll in 0..POLLS_MAX {
            let client = self.client_for(poll);
            let reply = match client.read_step(call.program, call.step).await {
                Ok(reply) => reply,
                Err(error) if is_unknown_step(&error) => return Ok(None),
                Err(error) if is_passing(&error) => {
                    smol::Timer::after(POLL_DELAY).await;
                    continue;
                }
                Err(error) => return Err(error),
            };
            match reply.state.as_str() {
                "running" => {}
                "completed" => {
                    return Ok(Some(StepAnswer {
                        answer: reply.answer.unwrap_or(Value::Null),
                        digest: reply.digest,
                    }));
                }
                "not_run" => return Ok(None),
                _ => break,
            }
            smol::Timer::after(POLL_DELAY).await;
        }
        Err(CommandError::OutcomeUnknown {
            message: format!("step {} may have run: {error}", call.step),
        })
    }

    fn progress(&self, text: impl std::fmt::Display) {
        self.format.report_progress(text);
    }
}

fn new_attempt() -> Result<AttemptKey, CommandError> {
    let number: u128 = rand::rng().random();
    AttemptKey::new(format!("{number:032x}")).map_err(|error| CommandError::Usage {
        message: error.to_string(),
    })
}

fn is_unknown_step(error: &CommandError) -> bool {
    matches!(error, CommandError::Refused { refusal }
        if refusal.error.refusal.get_code() == RefusalCode::UnknownStep)
}

/// Tells whether a look-up that failed may succeed later or elsewhere.
fn is_passing(error: &CommandError) -> bool {
    match error {
        CommandError::Unreachable { .. } => true,
        CommandError::Refused { refusal } => refusal.error.refusal.get_retry_after().is_some(),
        other => other.is_answer_lost(),
    }
}

/// Returns when to send a request again that is proven not to have run.
fn not_run_delay(error: &CommandError) -> Option<Duration> {
    match error {
        CommandError::Unreachable { .. } => Some(POLL_DELAY),
        CommandError::Refused { refusal } => {
            let refusal = &refusal.error.refusal;
            let delay = refusal.get_retry_after();
            delay.filter(|_| refusal.get_run_state() == RunState::NotRun)
        }
        _ => None,
    }
}

/// Returns when to send a step again, as the same attempt; after a lost answer
/// only where a look-up said that it has not run.
fn retry_delay(error: &CommandError) -> Option<Duration> {
    if error.is_answer_lost() {
        return Some(POLL_DELAY);
    }
    not_run_delay(error)
}

fn step_failure(call: StepCall<'_>, error: CommandError) -> CommandError {
    if matches!(error, CommandError::OutcomeUnknown { .. }) {
        return error;
    }
    let is_unknown = match &error {
        CommandError::Refused { refusal } => {
            refusal.error.refusal.get_run_state() == RunState::Unknown
        }
        other => other.is_answer_lost(),
    };
    let message = format!("step {} of program {}: {error}", call.step, call.program);
    if is_unknown {
        return CommandError::OutcomeUnknown { message };
    }
    CommandError::ProgramFailed { message }
}
