//! Kept turns: the body of a turn is put together from the turns that it continues, and a
//! response ends once the copies of its turn are on disk.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use ibisdale_clients::HeldBody;
use ibisdale_telemetry::record_event;
use ibisdale_turns::{ChainError, KeptTurn, TurnKey, join_chain};

use super::admit::{GatewayError, refuse_body};
use super::caller_request::{CallerRequest, millis};
use super::state::Gateway;
use crate::decide::hash_bytes;

/// Maximum time for looking up a chain.
const LOOKUP_MAX: Duration = Duration::from_millis(600);
/// Share of the remaining time that a lookup may take.
const LOOKUP_TIME_DIVISOR: u32 = 3;
/// Maximum time for making the copies of a turn; callers give up on a stream that is
/// silent for 2 s.
const KEEP_MAX: Duration = Duration::from_millis(1_500);

impl CallerRequest {
    fn turn_key(&self, id: &[u8]) -> TurnKey {
        TurnKey::new(self.workspace.as_deref().unwrap_or_default(), id)
    }

    /// Returns the hash by which the turns of the request's program are placed.
    fn turn_placement(&self) -> u64 {
        if self.program_id.is_empty() {
            hash_bytes(self.attempt_id.as_bytes())
        } else {
            hash_bytes(self.program_id.as_bytes())
        }
    }
}

/// Returns the body to send to a replica: for a turn that continues another, the inputs
/// and outputs of that chain and then the caller's body, which the account of the process counts
/// once more.
///
/// A turn that could not be kept is refused at once. A turn is refused with 404 only if it is certain that the turn that it continues does
/// not exist in the workspace, or else with 503.
pub(crate) async fn assemble_body(
    gateway: &Gateway,
    request: &CallerRequest,
) -> Result<(Bytes, Option<HeldBody>), GatewayError> {
    if request.route.keeps_turns && !gateway.state.turns.has_holders() {
        return Err(GatewayError::unavailable("no VM that keeps turns is known"));
    }
    let previous = request.previous_turn.as_ref();
    let Some(previous) = previous.filter(|_| request.route.keeps_turns) else {
        return Ok((request.body.clone(), None));
    };
    let started = Instant::now();
    let limit = LOOKUP_MAX.min(request.time_left() / LOOKUP_TIME_DIVISOR);
    let bytes_max = gateway
        .plan()
        .map_or(0, |plan| plan.get_limits().body_max_bytes)
        .saturating_sub(request.body.len());
    let key = request.turn_key(previous);
    let turns = &gateway.state.turns;
    let result = turns
        .chain(key, request.turn_placement(), limit, bytes_max)
        .await;
    match result {
        Ok(chain) => {
            let turns = chain.turns.iter();
            let chain_size: usize = turns.map(KeptTurn::content_bytes).sum();
            let size = chain_size + request.body.len();
            let held = gateway.state.clients.hold_body(size);
            let held = held.map_err(|refusal| refuse_body(gateway, refusal))?;
            let body = join_chain(&chain.turns, &request.body);
            record_event!(
                ChainAssembled,
                request = request.attempt_id,
                previous = String::from_utf8_lossy(previous),
                turns = chain.turns.len(),
                cached = chain.cached,
                bytes = body.len(),
                elapsed_ms = millis(started.elapsed()),
            );
            Ok((body, Some(held)))
        }
        Err(error) => {
            record_event!(
                ChainRefused,
                request = request.attempt_id,
                previous = String::from_utf8_lossy(previous),
                cause = error,
                holders = turns.holders().len(),
                elapsed_ms = millis(started.elapsed()),
            );
            Err(match error {
                ChainError::Missing => GatewayError::new(StatusCode::NOT_FOUND, "no such turn"),
                ChainError::Unknown => {
                    GatewayError::unavailable("the turn that is continued can't be looked up")
                }
                ChainError::TooLong => GatewayError::new(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "the turn is too large with those that it continues",
                ),
            })
        }
    }
}

/// Output of a turn: the data of its events, each followed by a line feed.
#[derive(Debug, Default)]
pub(crate) struct TurnOutput {
    data: BytesMut,
}

impl TurnOutput {
    /// Appends the data of an event, without the names of the fields.
    pub(crate) fn push_event(&mut self, raw: &[u8]) {
        let lines = raw.split(|byte| *byte == b'\n');
        let lines = lines.filter_map(|line| line.strip_prefix(b"data:"));
        let mut has_data = false;
        for line in lines {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if has_data {
                self.data.extend_from_slice(b"\n");
            }
            has_data = true;
            self.data
                .extend_from_slice(line.strip_prefix(b" ").unwrap_or(line));
        }
        if has_data {
            self.data.extend_from_slice(b"\n");
        }
    }
}

/// Makes the copies of a turn whose events have all been sent; returns whether they are
/// on disk, so that the response may end.
pub(crate) async fn keep_turn(
    gateway: &Gateway,
    request: &CallerRequest,
    output: TurnOutput,
) -> bool {
    let started = Instant::now();
    let turn = KeptTurn {
        key: request.turn_key(request.attempt_id.as_bytes()),
        previous: request
            .previous_turn
            .as_ref()
            .map(|previous| request.turn_key(previous)),
        placement: request.turn_placement(),
        retain_ms: request.route.retention_ms,
        input: request.input.clone(),
        output: output.data.freeze(),
    };
    let key = turn.key;
    let limit = KEEP_MAX.min(request.time_left());
    let is_kept = gateway.state.turns.keep(turn, limit).await;
    if is_kept {
        record_event!(
            TurnKept,
            request = request.attempt_id,
            turn = key,
            elapsed_ms = millis(started.elapsed()),
        );
    }
    is_kept
}
