//! Calls of the operators' interface.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use clap::ArgMatches;
use http::{HeaderValue, Method};
use ibisdale_core::admin::{
    ApplyReply, ApplyRequest, DrainReply, KeyGrantReply, KeyWithdrawReply, ProgramSummary,
    ProgramsReply, RevisionsReply, SettingsText, StatusReply,
};
use ibisdale_core::{KeyName, ProgramId, WorkspaceName};
use ibisdale_net::TrafficExecutor;
use serde::de::DeserializeOwned;

use crate::error::CommandError;
use crate::operator::exchange::{HttpCall, read_key_file};

const SETTINGS_PATH: &str = "/admin/v1/settings";

/// Calls a daemon's operators' interface.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    address: SocketAddr,
    key: HeaderValue,
    executor: TrafficExecutor,
}

impl OperatorClient {
    /// Creates a client from the global arguments.
    pub(crate) fn from_args(matches: &ArgMatches) -> Result<Self, CommandError> {
        let address = matches.get_one::<SocketAddr>("operator").copied();
        let key_file = matches.get_one::<PathBuf>("operator-key-file");
        let (Some(address), Some(key_file)) = (address, key_file) else {
            return Err(CommandError::Usage {
                message: "this command needs --operator-key-file FILE".to_owned(),
            });
        };
        Ok(Self {
            address,
            key: read_key_file(key_file)?,
            executor: Arc::default(),
        })
    }

    /// Creates a client of the operators' interface at `address`.
    pub(crate) fn new(address: SocketAddr, key: HeaderValue, executor: TrafficExecutor) -> Self {
        Self {
            address,
            key,
            executor,
        }
    }

    fn call<T: DeserializeOwned>(&self, call: HttpCall) -> Result<T, CommandError> {
        let call = call.key(Some(&self.key));
        let exchange = call.send(self.address, &self.executor);
        let reply = smol::block_on(self.executor.run(exchange))?;
        reply.parse()
    }

    pub(crate) fn read_settings(&self) -> Result<SettingsText, CommandError> {
        self.call(HttpCall::new(
            "reading the settings",
            Method::GET,
            SETTINGS_PATH,
        ))
    }

    pub(crate) fn read_revision(&self, revision: u64) -> Result<SettingsText, CommandError> {
        let path = format!("{SETTINGS_PATH}/{revision}");
        self.call(HttpCall::new("reading a revision", Method::GET, &path))
    }

    pub(crate) fn list_revisions(&self) -> Result<RevisionsReply, CommandError> {
        let path = format!("{SETTINGS_PATH}/revisions");
        self.call(HttpCall::new("listing the revisions", Method::GET, &path))
    }

    /// Applies settings; a lost answer is resolved by reading them back.
    pub(crate) fn apply(
        &self,
        expected: u64,
        request: &ApplyRequest,
    ) -> Result<ApplyReply, CommandError> {
        let call = HttpCall::new("applying the settings", Method::PUT, SETTINGS_PATH)
            .header("if-match", &format!("\"{expected}\""))
            .json(request);
        match self.call(call) {
            Err(error) if error.is_answer_lost() => self.resolve_apply(expected, request, error),
            result => result,
        }
    }

    fn resolve_apply(
        &self,
        expected: u64,
        request: &ApplyRequest,
        error: CommandError,
    ) -> Result<ApplyReply, CommandError> {
        let Ok(current) = self.read_settings() else {
            return Err(error);
        };
        let is_ours = current.revision == expected + 1 && current.text == request.text;
        if !is_ours {
            return Err(CommandError::OutcomeUnknown {
                message: format!(
                    "{error}\nrevision {} is in force; look again with 'history' before repeating",
                    current.revision,
                ),
            });
        }
        Ok(ApplyReply {
            revision: current.revision,
            digest: ibisdale_settings::store::TextDigest::of(current.text.as_bytes()).to_string(),
        })
    }

    pub(crate) fn grant_key(
        &self,
        workspace: &WorkspaceName,
        key: &KeyName,
    ) -> Result<KeyGrantReply, CommandError> {
        let path = format!("/admin/v1/keys/{workspace}/{key}");
        self.call(HttpCall::new("granting a key", Method::POST, &path))
    }

    pub(crate) fn withdraw_key(
        &self,
        workspace: &WorkspaceName,
        key: &KeyName,
    ) -> Result<KeyWithdrawReply, CommandError> {
        let path = format!("/admin/v1/keys/{workspace}/{key}");
        self.call(HttpCall::new("withdrawing a key", Method::DELETE, &path))
    }

    pub(crate) fn list_programs(&self) -> Result<ProgramsReply, CommandError> {
        self.call(HttpCall::new(
            "listing programs",
            Method::GET,
            "/admin/v1/programs",
        ))
    }

    pub(crate) fn read_program(&self, program: ProgramId) -> Result<ProgramSummary, CommandError> {
        let path = format!("/admin/v1/programs/{program}");
        self.call(HttpCall::new("reading a program", Method::GET, &path))
    }

    pub(crate) fn cancel_program(
        &self,
        program: ProgramId,
    ) -> Result<ProgramSummary, CommandError> {
        let path = format!("/admin/v1/programs/{program}/cancel");
        self.call(HttpCall::new("cancelling a program", Method::POST, &path))
    }

    pub(crate) fn read_status(&self) -> Result<StatusReply, CommandError> {
        self.call(HttpCall::new(
            "reading the status",
            Method::GET,
            "/admin/v1/status",
        ))
    }

    pub(crate) fn drain(&self) -> Result<DrainReply, CommandError> {
        self.call(HttpCall::new(
            "starting the shutdown",
            Method::POST,
            "/admin/v1/drain",
        ))
    }
}
