//! Reads of the stored record of the versions that streams may have begun at.
//!
//! Many streams are taken up at once when VMs are lost; requests that arrive close together
//! share a read, which begins after the last of them.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use smol::channel::{Sender, bounded};

use super::state::Gateway;
use crate::decide::StreamOrigin;

/// Time for which requests are collected before a read; short compared with the time to a
/// stream's first event.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Time after which the record counts as unknown.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Receives the recorded origins; `None` if they can't be known.
pub(crate) type OriginWaiter = Sender<Option<Rc<[StreamOrigin]>>>;

/// Returns the recorded origins as of now or later; `None` if they can't be known.
pub(crate) async fn read_recorded_origins(gateway: &Gateway) -> Option<Rc<[StreamOrigin]>> {
    let (waiter, result) = bounded(1);
    let is_first = {
        let mut waiters = gateway.state.origin_waiters.borrow_mut();
        waiters.push(waiter);
        waiters.len() == 1
    };
    if is_first {
        let reader = gateway.clone();
        gateway.spawn(async move { read_for_waiters(&reader).await });
    }
    result.recv().await.ok().flatten()
}

async fn read_for_waiters(gateway: &Gateway) {
    Timer::after(BATCH_DELAY).await;
    let waiters = std::mem::take(&mut *gateway.state.origin_waiters.borrow_mut());
    let read = (gateway.state.options.store.read_origins)();
    let timed_out = async {
        Timer::after(READ_TIMEOUT).await;
        None
    };
    let recorded = read.or(timed_out).await.map(Rc::from);
    for waiter in waiters {
        // Fails if the request was cancelled.
        let _ = waiter.try_send(recorded.clone());
    }
}
