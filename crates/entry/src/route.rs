//! Routes of the callers' and the operators' interface.

use http::{Method, Uri};
use ibisdale_core::{
    KeyName, ProgramId, RefusalCode, RequestRefusal, RouteName, ServiceName, StepNumber,
    WorkspaceName,
};

/// What an address request asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// The workspace that will send requests.
    pub workspace: Option<WorkspaceName>,
    /// The program whose owner comes first in the answer.
    pub program: Option<ProgramId>,
}

/// Names a step of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepPath {
    /// The program.
    pub program: ProgramId,
    /// The step in it.
    pub step: StepNumber,
}

/// Names an open route of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenPath {
    /// The service.
    pub service: ServiceName,
    /// The route's name in the settings.
    pub route: RouteName,
}

/// A request of the callers' interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerRoute {
    /// Asks which addresses to use.
    Addresses(AddressQuery),
    /// Starts a program.
    StartProgram,
    /// Reads a program's state.
    ProgramState(ProgramId),
    /// Starts a sub-agent of a program.
    StartChild(ProgramId),
    /// Runs a model call.
    ChatStep(StepPath),
    /// Runs a call to a plain service.
    CallStep(StepPath),
    /// Reads what became of a step.
    StepState(StepPath),
    /// Ends a program.
    EndProgram(ProgramId),
    /// Cancels a program.
    CancelProgram(ProgramId),
    /// Runs a program of one model call.
    ChatCompletion,
    /// Calls an open route of a service.
    OpenCall(OpenPath),
}

impl CallerRoute {
    /// Returns the route's name, for metrics and spans.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Addresses(_) => "addresses",
            Self::StartProgram => "start_program",
            Self::ProgramState(_) => "program_state",
            Self::StartChild(_) => "start_child",
            Self::ChatStep(_) => "chat_step",
            Self::CallStep(_) => "call_step",
            Self::StepState(_) => "step_state",
            Self::EndProgram(_) => "end_program",
            Self::CancelProgram(_) => "cancel_program",
            Self::ChatCompletion => "chat_completion",
            Self::OpenCall(_) => "open_call",
        }
    }
}

/// A request of the operators' interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRoute {
    /// Reads the settings in force.
    Settings,
    /// Applies settings.
    ApplySettings,
    /// Lists the revisions kept.
    Revisions,
    /// Reads one revision.
    Revision(u64),
    /// Grants a key.
    GrantKey(KeyPath),
    /// Withdraws a key.
    WithdrawKey(KeyPath),
    /// Lists this daemon's programs.
    Programs,
    /// Reads one program.
    Program(ProgramId),
    /// Cancels a program.
    CancelProgram(ProgramId),
    /// Reads the daemon's status.
    Status,
    /// Starts a graceful shutdown.
    Drain,
    /// Reads the metrics.
    Metrics,
}

/// Names a key of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyPath {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// The key's name.
    pub key: KeyName,
}

fn unknown_route() -> RequestRefusal {
    RequestRefusal::new(RefusalCode::UnknownRoute, "there is no such route")
}

fn wrong_method(allowed: &str) -> RequestRefusal {
    let message = format!("this route takes {allowed} only");
    RequestRefusal::new(RefusalCode::MethodNotAllowed, message)
}

fn bad_path(what: &str, error: &dyn std::fmt::Display) -> RequestRefusal {
    RequestRefusal::new(
        RefusalCode::BadRequest,
        format!("{what} in the path: {error}"),
    )
}

fn require(method: &Method, allowed: &Method) -> Result<(), RequestRefusal> {
    if method == allowed {
        Ok(())
    } else {
        Err(wrong_method(allowed.as_str()))
    }
}

fn parse_program(text: &str) -> Result<ProgramId, RequestRefusal> {
    text.parse().map_err(|error| bad_path("program", &error))
}

fn parse_step(program: &str, step: &str) -> Result<StepPath, RequestRefusal> {
    let program = parse_program(program)?;
    let number: u32 = step.parse().map_err(|error| bad_path("step", &error))?;
    Ok(StepPath {
        program,
        step: StepNumber::new(number),
    })
}

/// Reads the caller's route from a request's method and target.
///
/// # Errors
///
/// Refuses unknown routes, wrong methods and malformed identifiers.
pub fn parse_caller_route(method: &Method, uri: &Uri) -> Result<CallerRoute, RequestRefusal> {
    let parts: Vec<&str> = uri.path().split('/').skip(1).collect();
    match parts.as_slice() {
        ["v1", "addresses"] => {
            require(method, &Method::GET)?;
            parse_address_query(uri.query()).map(CallerRoute::Addresses)
        }
        ["v1", "programs"] => {
            require(method, &Method::POST)?;
            Ok(CallerRoute::StartProgram)
        }
        ["v1", "programs", program] => {
            require(method, &Method::GET)?;
            parse_program(program).map(CallerRoute::ProgramState)
        }
        ["v1", "programs", program, action] => parse_action(method, program, action),
        ["v1", "programs", program, "steps", step] => {
            require(method, &Method::GET)?;
            parse_step(program, step).map(CallerRoute::StepState)
        }
        ["v1", "programs", program, "steps", step, kind] => {
            parse_step_run(method, program, step, kind)
        }
        ["v1", "chat", "completions"] => {
            require(method, &Method::POST)?;
            Ok(CallerRoute::ChatCompletion)
        }
        ["v1", "open", service, route] => {
            require(method, &Method::POST)?;
            let service = ServiceName::new(service.as_bytes().to_vec())
                .map_err(|error| bad_path("service", &error))?;
            let route = RouteName::new(route.as_bytes().to_vec())
                .map_err(|error| bad_path("route", &error))?;
            Ok(CallerRoute::OpenCall(OpenPath { service, route }))
        }
        _ => Err(unknown_route()),
    }
}

fn parse_action(
    method: &Method,
    program: &str,
    action: &str,
) -> Result<CallerRoute, RequestRefusal> {
    let route = match action {
        "children" => CallerRoute::StartChild,
        "end" => CallerRoute::EndProgram,
        "cancel" => CallerRoute::CancelProgram,
        _ => return Err(unknown_route()),
    };
    require(method, &Method::POST)?;
    parse_program(program).map(route)
}

fn parse_step_run(
    method: &Method,
    program: &str,
    step: &str,
    kind: &str,
) -> Result<CallerRoute, RequestRefusal> {
    let route = match kind {
        "chat" => CallerRoute::ChatStep,
        "call" => CallerRoute::CallStep,
        _ => return Err(unknown_route()),
    };
    require(method, &Method::POST)?;
    parse_step(program, step).map(route)
}

fn parse_address_query(query: Option<&str>) -> Result<AddressQuery, RequestRefusal> {
    let mut address = AddressQuery::default();
    for pair in query
        .unwrap_or_default()
        .split('&')
        .filter(|pair| !pair.is_empty())
    {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        match name {
            "workspace" => {
                let workspace = WorkspaceName::new(value.as_bytes().to_vec());
                address.workspace = Some(workspace.map_err(|error| bad_path(name, &error))?);
            }
            "program" => address.program = Some(parse_program(value)?),
            _ => return Err(bad_path("query", &format!("unknown parameter '{name}'"))),
        }
    }
    Ok(address)
}

/// Reads the operator's route from a request's method and target.
///
/// # Errors
///
/// Refuses unknown routes, wrong methods and malformed identifiers.
pub fn parse_operator_route(method: &Method, uri: &Uri) -> Result<OperatorRoute, RequestRefusal> {
    let parts: Vec<&str> = uri.path().split('/').skip(1).collect();
    if parts == ["metrics"] {
        require(method, &Method::GET)?;
        return Ok(OperatorRoute::Metrics);
    }
    let ["admin", "v1", rest @ ..] = parts.as_slice() else {
        return Err(unknown_route());
    };
    match (rest, method) {
        (["settings"], &Method::GET) => Ok(OperatorRoute::Settings),
        (["settings"], &Method::PUT) => Ok(OperatorRoute::ApplySettings),
        (["settings"], _) => Err(wrong_method("GET and PUT")),
        (["settings", "revisions"], &Method::GET) => Ok(OperatorRoute::Revisions),
        (["settings", revision], &Method::GET) => {
            let number = revision
                .parse()
                .map_err(|error| bad_path("revision", &error))?;
            Ok(OperatorRoute::Revision(number))
        }
        (["keys", workspace, key], &Method::POST) => {
            parse_key(workspace, key).map(OperatorRoute::GrantKey)
        }
        (["keys", workspace, key], &Method::DELETE) => {
            parse_key(workspace, key).map(OperatorRoute::WithdrawKey)
        }
        (["programs"], &Method::GET) => Ok(OperatorRoute::Programs),
        (["programs", program], &Method::GET) => parse_program(program).map(OperatorRoute::Program),
        (["programs", program, "cancel"], &Method::POST) => {
            parse_program(program).map(OperatorRoute::CancelProgram)
        }
        (["status"], &Method::GET) => Ok(OperatorRoute::Status),
        (["drain"], &Method::POST) => Ok(OperatorRoute::Drain),
        _ => Err(unknown_route()),
    }
}

fn parse_key(workspace: &str, key: &str) -> Result<KeyPath, RequestRefusal> {
    let workspace = WorkspaceName::new(workspace.as_bytes().to_vec())
        .map_err(|error| bad_path("workspace", &error))?;
    let key = KeyName::new(key.as_bytes().to_vec()).map_err(|error| bad_path("key", &error))?;
    Ok(KeyPath { workspace, key })
}
