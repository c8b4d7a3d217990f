//! Reading and applying the settings, and granting and withdrawing keys.

use bytes::Bytes;
use http::header::{ETAG, IF_MATCH};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use ibisdale_core::admin::{
    AdminRefusal, ApplyReply, ApplyRequest, KeyGrantReply, KeyWithdrawReply, RefusalDetail,
    RevisionsReply, SettingsText,
};
use ibisdale_core::{RefusalCode, RequestId, RequestRefusal, RunState};
use ibisdale_entry::{AnswerHead, KeyPath, json_answer, parse_json};
use ibisdale_net::BoxBody;
use ibisdale_settings::{SecretKey, grant_key, withdraw_key};
use ibisdale_telemetry::record_event;

use crate::context::DaemonContext;
use crate::settings_feed::{AppliedSettings, FeedError, SettingsFeed, StoredText};

/// Author of changes that name none.
const OPERATOR: &str = "operator";

fn settings_text(stored: &StoredText) -> SettingsText {
    let record = stored.record.as_ref();
    SettingsText {
        revision: stored.revision,
        author: record
            .map(|record| record.author.clone())
            .unwrap_or_default(),
        note: record.map(|record| record.note.clone()).unwrap_or_default(),
        text: String::from_utf8_lossy(&stored.text).into_owned(),
    }
}

fn with_etag(mut response: Response<BoxBody>, revision: u64) -> Response<BoxBody> {
    if let Ok(etag) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        response.headers_mut().insert(ETAG, etag);
    }
    response
}

/// Shows the settings in force.
pub(super) fn read_settings(feed: &SettingsFeed, id: RequestId) -> Response<BoxBody> {
    let stored = feed.get_text();
    let response = json_answer(AnswerHead::new(id), &settings_text(&stored));
    with_etag(response, stored.revision)
}

/// Shows a kept revision.
pub(super) async fn read_revision(
    feed: &SettingsFeed,
    id: RequestId,
    revision: u64,
) -> Result<Response<BoxBody>, SettingsRefusal> {
    let stored = feed.read_revision(revision).await?;
    Ok(json_answer(AnswerHead::new(id), &settings_text(&stored)))
}

/// Lists the kept revisions.
pub(super) async fn list_revisions(
    feed: &SettingsFeed,
    id: RequestId,
) -> Result<Response<BoxBody>, SettingsRefusal> {
    let revisions = feed.list_revisions().await?;
    Ok(json_answer(
        AnswerHead::new(id),
        &RevisionsReply { revisions },
    ))
}

/// Applies settings made from the revision that `If-Match` names.
pub(super) async fn apply_settings(
    feed: &SettingsFeed,
    id: RequestId,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Response<BoxBody>, SettingsRefusal> {
    let expected = expected_revision(headers)?;
    let request: ApplyRequest = parse_json(body)?;
    let text = Bytes::from(request.text);
    let applied = feed
        .apply(text, expected, &request.author, &request.note)
        .await?;
    Ok(with_etag(
        json_answer(AnswerHead::new(id), &apply_reply(&applied)),
        applied.revision,
    ))
}

fn apply_reply(applied: &AppliedSettings) -> ApplyReply {
    ApplyReply {
        revision: applied.revision,
        digest: applied.digest.to_string(),
    }
}

fn expected_revision(headers: &HeaderMap) -> Result<u64, RequestRefusal> {
    let value = headers.get(IF_MATCH).and_then(|value| value.to_str().ok());
    let revision = value.and_then(|text| text.trim_matches('"').parse().ok());
    revision.ok_or_else(|| {
        let message = "If-Match must name the revision that the settings were made from";
        RequestRefusal::new(RefusalCode::BadRequest, message)
    })
}

/// Grants a new key; the answer is the only place where it is shown.
pub(super) async fn grant(
    feed: &SettingsFeed,
    id: RequestId,
    path: &KeyPath,
) -> Result<Response<BoxBody>, SettingsRefusal> {
    let secret = SecretKey::generate(&mut rand::rng());
    let hash = secret.hash();
    let (workspace, key) = (&path.workspace, &path.key);
    let change = |text: &str| grant_key(text, workspace, key, &hash);
    let applied = feed
        .edit(
            change,
            OPERATOR,
            &format!("key {key} of {workspace} granted"),
        )
        .await?;
    record_event!(
        KeyGranted,
        workspace = workspace,
        key = key,
        revision = applied.revision
    );
    let reply = KeyGrantReply {
        workspace: workspace.clone(),
        key: key.clone(),
        secret: secret.expose().to_owned(),
        revision: applied.revision,
    };
    Ok(json_answer(
        AnswerHead::new(id).status(StatusCode::CREATED),
        &reply,
    ))
}

/// Withdraws a key.
pub(super) async fn withdraw(
    feed: &SettingsFeed,
    id: RequestId,
    path: &KeyPath,
) -> Result<Response<BoxBody>, SettingsRefusal> {
    let (workspace, key) = (&path.workspace, &path.key);
    let change = |text: &str| withdraw_key(text, workspace, key);
    let note = format!("key {key} of {workspace} withdrawn");
    let applied = feed.edit(change, OPERATOR, &note).await?;
    record_event!(
        KeyWithdrawn,
        workspace = workspace,
        key = key,
        revision = applied.revision
    );
    let reply = KeyWithdrawReply {
        workspace: workspace.clone(),
        key: key.clone(),
        revision: applied.revision,
    };
    Ok(json_answer(AnswerHead::new(id), &reply))
}

/// Why a request about settings is refused.
pub(super) enum SettingsRefusal {
    /// The feed refuses it.
    Feed(FeedError),
    /// The request itself is at fault.
    Request(RequestRefusal),
}

impl From<FeedError> for SettingsRefusal {
    fn from(error: FeedError) -> Self {
        Self::Feed(error)
    }
}

impl From<RequestRefusal> for SettingsRefusal {
    fn from(refusal: RequestRefusal) -> Self {
        Self::Request(refusal)
    }
}

impl SettingsRefusal {
    /// Renders the refusal with findings and conflict.
    pub(super) fn into_response(self, id: RequestId) -> Response<BoxBody> {
        let body = match self {
            Self::Request(refusal) => admin_refusal(id, refusal),
            Self::Feed(error) => feed_refusal(id, error),
        };
        let status = body.error.refusal.get_code().http_status();
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        json_answer(AnswerHead::new(id).status(status), &body)
    }
}

fn admin_refusal(id: RequestId, refusal: RequestRefusal) -> AdminRefusal {
    let error = RefusalDetail {
        refusal,
        request_id: id,
    };
    AdminRefusal {
        error,
        findings: Vec::new(),
        conflict: None,
    }
}

/// Time after which the key-value service is worth another try.
const PLATFORM_RETRY_DELAY: std::time::Duration = std::time::Duration::from_secs(2);

fn feed_refusal(id: RequestId, error: FeedError) -> AdminRefusal {
    let message = error.to_string();
    let refuse = |code| RequestRefusal::new(code, message.clone());
    let unavailable = || refuse(RefusalCode::PlatformUnavailable).retry_after(PLATFORM_RETRY_DELAY);
    match error {
        FeedError::Findings { findings } => AdminRefusal {
            findings: findings.into_vec(),
            ..admin_refusal(id, refuse(RefusalCode::InvalidSettings))
        },
        FeedError::Conflict { conflict } => AdminRefusal {
            conflict: Some(*conflict),
            ..admin_refusal(id, refuse(RefusalCode::SettingsConflict))
        },
        FeedError::Unavailable { .. } => admin_refusal(id, unavailable()),
        FeedError::OutcomeUnknown { .. } => {
            admin_refusal(id, unavailable().run_state(RunState::Unknown))
        }
        FeedError::UnknownRevision { .. } => {
            admin_refusal(id, refuse(RefusalCode::UnknownRevision))
        }
        FeedError::Edit { .. } => admin_refusal(id, refuse(RefusalCode::BadRequest)),
        _ => admin_refusal(id, refuse(RefusalCode::Internal)),
    }
}

/// Returns the time since the settings were confirmed, in milliseconds.
pub(super) fn confirmed_ms(context: &DaemonContext) -> Option<u64> {
    let age = context.feed.get_confirmed_age()?;
    u64::try_from(age.as_millis()).ok()
}
