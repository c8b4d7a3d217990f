//! Bodies that another part of the process buffers.

use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use http_body::Body;
use http_body_util::{BodyExt, Full, StreamBody};
use ibisdale_clients::{ClientAccount, CountedBody};

fn poll<B>(body: &mut CountedBody<B>) -> Poll<Option<Result<usize, String>>>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut context = Context::from_waker(Waker::noop());
    let frame = Pin::new(body).poll_frame(&mut context);
    frame
        .map_ok(|frame| frame.data_ref().map_or(0, Bytes::len))
        .map_err(|error| error.to_string())
}

/// Guards against messages that are counted no longer while they are handled.
#[test]
fn complete_body_counts_until_its_guard_is_dropped() {
    let account = ClientAccount::new(1_000);
    let body = Full::new(Bytes::from(vec![0; 600]));
    let (mut counted, held) = CountedBody::begin(&account, body, 1_000).unwrap();
    assert_eq!(poll(&mut counted), Poll::Ready(Some(Ok(600))));
    drop(counted);
    assert_eq!(account.usage().complete, 600);
    drop(held);
    assert_eq!(account.usage().complete, 0);
}

/// Guards against a body that panics or goes on after it has lost its memory.
#[test]
fn evicted_body_fails_once_and_ends() {
    let account = ClientAccount::new(1_000);
    let pending = StreamBody::new(futures_lite::stream::pending());
    let pending = pending.map_err(|error: std::io::Error| error);
    let (mut counted, _held) = CountedBody::begin(&account, pending, 1_000).unwrap();
    assert_eq!(poll(&mut counted), Poll::Pending);
    std::thread::sleep(std::time::Duration::from_millis(1_100));
    assert!(account.evict_stalled());
    let refusal = "the body arrives too slowly while memory is short";
    assert_eq!(
        poll(&mut counted),
        Poll::Ready(Some(Err(refusal.to_owned())))
    );
    assert_eq!(poll(&mut counted), Poll::Ready(None));
}
