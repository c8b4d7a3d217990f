//! Routes of the HTTP interfaces for callers and operators.

use http::{Method, Uri};
use ibisdale_core::{
    KeyName, ProgramId, RefusalCode, RequestRefusal, RouteName, ServiceName, StepNumber,
    WorkspaceName,
};

/// Query parameters of a request for daemon addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// The workspace whose callers will send requests.
    pub workspace: Option<WorkspaceName>,
    /// The program whose owner is listed first.
    pub program: Option<ProgramId>,
}

/// Path parameters that identify a step of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepPath {
    /// The program.
    pub program: ProgramId,
    /// The number of the step.
    pub step: StepNumber,
}

/// Path parameters that identify an open route of a service: one that needs no key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenPath {
    /// The service.
    pub service: ServiceName,
    /// The route's name in the settings.
    pub route: RouteName,
}

/// Route of the interface for callers, with its parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerRoute {
    /// Lists the daemon addresses to use.
    Addresses(AddressQuery),
    /// Starts a program.
    StartProgram,
    /// Reads a program's state.
    ProgramState(ProgramId),
    /// Starts a sub-agent of a program.
    StartChild(ProgramId),
    /// Runs a model call.
    ChatStep(StepPath),
    /// Runs a call to a service other than a model.
    CallStep(StepPath),
    /// Reads the state or result of a step.
    StepState(StepPath),
    /// Ends a program as finished; refused while a step is running.
    EndProgram(ProgramId),
    /// Cancels a program and its running steps.
    CancelProgram(ProgramId),
    /// Runs a program that consists of one model call.
    ChatCompletion,
    /// Calls an open route of a service.
    OpenCall(OpenPath),
}

impl CallerRoute {
    /// Returns the name of the route in metrics and spans.
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

/// Route of the interface for operators, with its parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRoute {
    /// Reads the settings in force.
    Settings,
    /// Applies settings.
    ApplySettings,
    /// Lists the stored revisions of the settings.
    Revisions,
    /// Reads one revision of the settings.
    Revision(u64),
    /// Creates a key of a workspace.
    GrantKey(KeyPath),
    /// Revokes a key of a workspace.
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

/// Path parameters that identify a key of a workspace.
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

fn invalid_parameter(part: &str, error: &dyn std::fmt::Display) -> RequestRefusal {
    RequestRefusal::new(
        RefusalCode::BadRequest,
        format!("{part} in the path: {error}"),
    )
}

fn require_method(method: &Method, allowed: &Method) -> Result<(), RequestRefusal> {
    if method == allowed {
        Ok(())
    } else {
        Err(wrong_method(allowed.as_str()))
    }
}

fn parse_program(text: &str) -> Result<ProgramId, RequestRefusal> {
    text.parse()
        .map_err(|error| invalid_parameter("program", &error))
}

fn parse_step_path(program: &str, step: &str) -> Result<StepPath, RequestRefusal> {
    let program = parse_program(program)?;
    let number: u32 = step
        .parse()
        .map_err(|error| invalid_parameter("step", &error))?;
    Ok(StepPath {
        program,
        step: StepNumber::new(number),
    })
}

/// Parses the caller route from a request's method and target.
///
/// # Errors
///
/// Refuses unknown routes, wrong methods and malformed identifiers.
pub fn parse_caller_route(method: &Method, uri: &Uri) -> Result<CallerRoute, RequestRefusal> {
    let parts: Vec<&str> = uri.path().split('/').skip(1).collect();
    match parts.as_slice() {
        ["v1", "addresses"] => {
            require_method(method, &Method::GET)?;
            parse_address_query(uri.query()).map(CallerRoute::Addresses)
        }
        ["v1", "programs"] => {
            require_method(method, &Method::POST)?;
            Ok(CallerRoute::StartProgram)
        }
        ["v1", "programs", program] => {
            require_method(method, &Method::GET)?;
            parse_program(program).map(CallerRoute::ProgramState)
        }
        ["v1", "programs", program, action] => parse_program_action(method, program, action),
        ["v1", "programs", program, "steps", step] => {
            require_method(method, &Method::GET)?;
            parse_step_path(program, step).map(CallerRoute::StepState)
        }
        ["v1", "programs", program, "steps", step, action] => {
            parse_step_action(method, program, step, action)
        }
        ["v1", "chat", "completions"] => {
            require_method(method, &Method::POST)?;
            Ok(CallerRoute::ChatCompletion)
        }
        ["v1", "open", service, route] => {
            require_method(method, &Method::POST)?;
            let service = ServiceName::new(service.as_bytes().to_vec())
                .map_err(|error| invalid_parameter("service", &error))?;
            let route = RouteName::new(route.as_bytes().to_vec())
                .map_err(|error| invalid_parameter("route", &error))?;
            Ok(CallerRoute::OpenCall(OpenPath { service, route }))
        }
        _ => Err(unknown_route()),
    }
}

fn parse_program_action(
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
    require_method(method, &Method::POST)?;
    parse_program(program).map(route)
}

fn parse_step_action(
    method: &Method,
    program: &str,
    step: &str,
    action: &str,
) -> Result<CallerRoute, RequestRefusal> {
    let route = match action {
        "chat" => CallerRoute::ChatStep,
        "call" => CallerRoute::CallStep,
        _ => return Err(unknown_route()),
    };
    require_method(method, &Method::POST)?;
    parse_step_path(program, step).map(route)
}

fn parse_address_query(query: Option<&str>) -> Result<AddressQuery, RequestRefusal> {
    let mut parsed = AddressQuery::default();
    for pair in query
        .unwrap_or_default()
        .split('&')
        .filter(|pair| !pair.is_empty())
    {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        match name {
            "workspace" => {
                let workspace = WorkspaceName::new(value.as_bytes().to_vec());
                parsed.workspace =
                    Some(workspace.map_err(|error| invalid_parameter(name, &error))?);
            }
            "program" => parsed.program = Some(parse_program(value)?),
            _ => {
                return Err(invalid_parameter(
                    "query",
                    &format!("unknown parameter '{name}'"),
                ));
            }
        }
    }
    Ok(parsed)
}

/// Parses the operator route from a request's method and target.
///
/// # Errors
///
/// Refuses unknown routes and malformed identifiers. Only `/metrics` and
/// `/admin/v1/settings` report a wrong method; on other paths it is an unknown route.
pub fn parse_operator_route(method: &Method, uri: &Uri) -> Result<OperatorRoute, RequestRefusal> {
    let parts: Vec<&str> = uri.path().split('/').skip(1).collect();
    if parts == ["metrics"] {
        require_method(method, &Method::GET)?;
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
                .map_err(|error| invalid_parameter("revision", &error))?;
            Ok(OperatorRoute::Revision(number))
        }
        (["keys", workspace, key], &Method::POST) => {
            parse_key_path(workspace, key).map(OperatorRoute::GrantKey)
        }
        (["keys", workspace, key], &Method::DELETE) => {
            parse_key_path(workspace, key).map(OperatorRoute::WithdrawKey)
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

fn parse_key_path(workspace: &str, key: &str) -> Result<KeyPath, RequestRefusal> {
    let workspace = WorkspaceName::new(workspace.as_bytes().to_vec())
        .map_err(|error| invalid_parameter("workspace", &error))?;
    let key =
        KeyName::new(key.as_bytes().to_vec()).map_err(|error| invalid_parameter("key", &error))?;
    Ok(KeyPath { workspace, key })
}
