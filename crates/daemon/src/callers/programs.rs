//! Starting, reading and ending programs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use ibisdale_core::{ProgramId, ProgramName, RefusalCode, RequestRefusal};
use ibisdale_entry::{
    AnswerHead, BudgetBody, ChildBody, LimitsBody, ProgramReply, StartBody, StepPath, StepReply,
    json_answer, parse_json,
};
use ibisdale_net::BoxBody;
use ibisdale_programs::{
    KeyLabel, ProgramBudget, ProgramLimits, ProgramStatus, ProgramSummary, RecordedOutcome,
    StepView,
};
use ibisdale_settings::{ProgramLimit, ProgramSettings};

use super::access::{program_settings, workspace_settings};
use super::dispatch::CallerRequest;
use crate::clock::unix_now;
use crate::context::DaemonContext;
use crate::control::NewProgram;
use crate::credit::RateSubject;

/// Builds a program from what the caller wishes and the settings allow.
pub(super) fn new_program(
    request: &CallerRequest,
    settings: &ProgramSettings,
    deadline_ms: Option<u64>,
    budget: BudgetBody,
    limits: LimitsBody,
) -> Result<NewProgram, RequestRefusal> {
    let ranges = &settings.limits;
    let deadline = choose("deadline_ms", ranges.deadline_ms, deadline_ms)?;
    let tokens = choose("budget.tokens", ranges.tokens, budget.tokens)?;
    let actions = budget.paid_actions.map(u64::from);
    let paid_actions = choose("budget.paid_actions", ranges.paid_actions, actions)?;
    let steps = choose("limits.steps", ranges.steps, limits.steps.map(u64::from))?;
    let wall_clock = choose(
        "limits.wall_clock_ms",
        ranges.wall_clock_ms,
        limits.wall_clock_ms,
    )?;
    Ok(NewProgram {
        workspace: request.caller.workspace.clone(),
        name: Bytes::copy_from_slice(settings.name.as_bytes()),
        key: key_label(request),
        parent: None,
        deadline: Some(unix_now().plus(Duration::from_millis(deadline))),
        budget: ProgramBudget {
            tokens: Some(tokens),
            paid_actions: Some(paid_actions),
        },
        limits: ProgramLimits {
            steps: Some(u32::try_from(steps).unwrap_or(u32::MAX)),
            wall_clock_ms: Some(wall_clock),
        },
    })
}

fn key_label(request: &CallerRequest) -> Option<KeyLabel> {
    let key = request.caller.key.as_ref()?;
    Some(KeyLabel::new(Bytes::copy_from_slice(key.as_bytes())))
}

fn choose(field: &str, range: ProgramLimit, wish: Option<u64>) -> Result<u64, RequestRefusal> {
    range.resolve(wish).ok_or_else(|| {
        let message = format!("{field} is over the {} that the settings allow", range.max);
        RequestRefusal::new(RefusalCode::NotAllowed, message)
    })
}

/// Starts a program.
pub(super) async fn start_program(
    context: &Arc<DaemonContext>,
    request: &CallerRequest,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let body: StartBody = parse_json(&request.body)?;
    let snapshot = context.settings();
    let workspace = workspace_settings(&snapshot, &request.caller.workspace)?;
    let settings = program_settings(workspace, &body.program)?;
    take_program_credit(context, request, &body.program).await?;
    let new = new_program(
        request,
        settings,
        body.deadline_ms,
        body.budget,
        body.limits,
    )?;
    answer_started(context, request, new).await
}

/// Takes one start of the program's own rate.
pub(super) async fn take_program_credit(
    context: &DaemonContext,
    request: &CallerRequest,
    program: &ProgramName,
) -> Result<(), RequestRefusal> {
    let workspace = request.caller.workspace.clone();
    let subject = RateSubject {
        workspace,
        program: Some(program.clone()),
    };
    context.credit.take(subject).await
}

/// Starts a sub-agent of a program.
pub(super) async fn start_child(
    context: &Arc<DaemonContext>,
    request: &CallerRequest,
    parent: ProgramId,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let body: ChildBody = if request.body.is_empty() {
        ChildBody::default()
    } else {
        parse_json(&request.body)?
    };
    let workspace = request.caller.workspace.clone();
    let summary = context
        .control
        .summary(parent, Some(workspace.clone()))
        .await?;
    let new = NewProgram {
        workspace,
        name: Bytes::from(summary.name),
        key: key_label(request),
        parent: Some(parent),
        deadline: summary.deadline,
        budget: ProgramBudget::default(),
        limits: ProgramLimits {
            steps: body.limits.steps,
            wall_clock_ms: body.limits.wall_clock_ms,
        },
    };
    answer_started(context, request, new).await
}

async fn answer_started(
    context: &Arc<DaemonContext>,
    request: &CallerRequest,
    new: NewProgram,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let started = context.control.start(new).await?;
    let summary = context.control.summary(started.id, None).await?;
    let head = AnswerHead::new(request.id)
        .status(StatusCode::CREATED)
        .digest(started.digest);
    Ok(json_answer(head, &program_reply(context, &summary)))
}

fn program_reply(context: &DaemonContext, summary: &ProgramSummary) -> ProgramReply {
    let state = match summary.status {
        ProgramStatus::Running => "running".to_owned(),
        ProgramStatus::Ended { reason, .. } => reason.as_str().to_owned(),
    };
    let actions_left = summary.budget.paid_actions.remaining().unwrap_or(u64::MAX);
    ProgramReply {
        id: summary.id,
        state,
        digest: summary.digest,
        next_step: summary.next_step,
        tokens_left: summary.budget.tokens.remaining().unwrap_or(u64::MAX),
        paid_actions_left: u32::try_from(actions_left).unwrap_or(u32::MAX),
        address: context.identity.entry_address.to_string(),
    }
}

fn answer_summary(
    context: &DaemonContext,
    request: &CallerRequest,
    summary: &ProgramSummary,
) -> Response<BoxBody> {
    let head = AnswerHead::new(request.id).digest(summary.digest);
    json_answer(head, &program_reply(context, summary))
}

/// Reads a program's state.
pub(super) async fn read_program(
    context: &Arc<DaemonContext>,
    request: &CallerRequest,
    program: ProgramId,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let workspace = request.caller.workspace.clone();
    let summary = context.control.summary(program, Some(workspace)).await?;
    Ok(answer_summary(context, request, &summary))
}

/// Ends a program.
pub(super) async fn end_program(
    context: &Arc<DaemonContext>,
    request: &CallerRequest,
    program: ProgramId,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let workspace = request.caller.workspace.clone();
    let summary = context.control.end(program, workspace).await?;
    Ok(answer_summary(context, request, &summary))
}

/// Cancels a program and what runs in it.
pub(super) async fn cancel_program(
    context: &Arc<DaemonContext>,
    request: &CallerRequest,
    program: ProgramId,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let workspace = request.caller.workspace.clone();
    let summary = context.control.cancel(program, Some(workspace)).await?;
    Ok(answer_summary(context, request, &summary))
}

/// Reads what became of a step.
pub(super) async fn read_step(
    context: &Arc<DaemonContext>,
    request: &CallerRequest,
    path: StepPath,
) -> Result<Response<BoxBody>, RequestRefusal> {
    let workspace = request.caller.workspace.clone();
    let view = context
        .control
        .step(path.program, workspace, path.step)
        .await?;
    let mut reply = StepReply {
        program: path.program,
        step: path.step,
        state: "running".to_owned(),
        answer: None,
        refusal: None,
        digest: None,
    };
    match view {
        StepView::Running(_) => {}
        StepView::Waiting => "waiting".clone_into(&mut reply.state),
        StepView::Recorded(record) => {
            reply.digest = Some(record.digest);
            match record.result {
                RecordedOutcome::Completed { answer, .. } => {
                    "completed".clone_into(&mut reply.state);
                    reply.answer = serde_json::from_slice(&answer).ok();
                }
                RecordedOutcome::Refused(refusal) => {
                    refusal
                        .get_run_state()
                        .as_str()
                        .clone_into(&mut reply.state);
                    reply.refusal = Some(refusal);
                }
            }
        }
    }
    Ok(json_answer(AnswerHead::new(request.id), &reply))
}
