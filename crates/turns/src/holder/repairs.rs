//! Compares turns with other holders and sends them what they lack.

use std::time::Duration;

use ibisdale_telemetry::record_event;
use smol::Timer;

use super::state::TurnHolder;
use crate::message::{HolderReply, HolderRequest, StoreOutcome};
use crate::repair::{CheckOutcome, PeerCheck};
use crate::turn::{KeptTurn, TurnKey};

/// Interval at which due messages are sent.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of a message.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Length of the turns up to which they are sent in one message, in bytes.
const STORE_BYTES: usize = 256 * 1_024;

/// Sends due messages until the process ends.
pub(crate) async fn run_repairs(holder: TurnHolder) {
    loop {
        Timer::after(ROUND_INTERVAL).await;
        let now_ms = holder.now_ms();
        let checks = holder.state.core.borrow_mut().due_checks(now_ms);
        for check in checks {
            let cloned = holder.clone();
            holder.spawn(async move { run_check(&cloned, check).await });
        }
    }
}

async fn run_check(holder: &TurnHolder, check: PeerCheck) {
    let outcome = compare(holder, &check).await;
    let now_ms = holder.now_ms();
    let mut core = holder.state.core.borrow_mut();
    core.finish_check(&check, outcome, now_ms);
}

/// Compares turns with a peer and sends the missing ones.
async fn compare(holder: &TurnHolder, check: &PeerCheck) -> CheckOutcome {
    let address = check.holder.address();
    let request = HolderRequest::Check {
        sender: holder.state.options.info.clone(),
        receiver_generation: check.peer_generation,
        keys: check.keys.clone(),
        is_last: check.is_last,
    };
    let links = &holder.state.links;
    let reply = links.call(address, &request, CALL_TIMEOUT).await;
    let Ok(HolderReply::Checked {
        generation,
        missing,
    }) = reply
    else {
        return CheckOutcome::Failed;
    };
    if missing.is_empty() {
        return CheckOutcome::Equal { generation };
    }
    let is_stored = send_missing(holder, check, &missing).await;
    let outcome = if is_stored { "stored" } else { "failed" };
    record_event!(
        PeerRepaired,
        holder = String::from_utf8_lossy(&check.holder.name),
        compared = check.keys.len(),
        missing = missing.len(),
        outcome = outcome,
    );
    let restored = &holder.state.metrics.restored;
    let count = u64::try_from(missing.len()).unwrap_or(u64::MAX);
    restored.with_label_values(&[outcome]).inc_by(count);
    if is_stored {
        CheckOutcome::Restored { generation }
    } else {
        CheckOutcome::Failed
    }
}

async fn send_missing(holder: &TurnHolder, check: &PeerCheck, missing: &[TurnKey]) -> bool {
    let mut batch: Vec<KeptTurn> = Vec::new();
    let mut bytes = 0;
    for key in missing {
        let link = holder.state.core.borrow().index().get(*key);
        // A turn that has expired since needs no copy.
        let Some(link) = link else {
            continue;
        };
        match holder.read_links(vec![link]).await {
            Ok(turns) => {
                bytes += turns.iter().map(KeptTurn::content_bytes).sum::<usize>();
                batch.extend(turns);
            }
            Err(error) => {
                record_event!(DiskFailed, operation = "read a turn", error = error);
                continue;
            }
        }
        if bytes >= STORE_BYTES {
            if !send_batch(holder, check, std::mem::take(&mut batch)).await {
                return false;
            }
            bytes = 0;
        }
    }
    batch.is_empty() || send_batch(holder, check, batch).await
}

async fn send_batch(holder: &TurnHolder, check: &PeerCheck, turns: Vec<KeptTurn>) -> bool {
    let request = HolderRequest::Store { turns };
    let links = &holder.state.links;
    let address = check.holder.address();
    let reply = links.call(address, &request, CALL_TIMEOUT).await;
    matches!(reply, Ok(HolderReply::Store(StoreOutcome::Stored)))
}
