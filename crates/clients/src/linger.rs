//! Closing of connections whose request is not read to its end.

use std::time::Duration;

use futures_lite::{AsyncRead, AsyncReadExt, FutureExt};
use http::header::CONNECTION;
use http::{HeaderValue, Response};
use smol::Timer;

/// Maximum number of bytes of a refused request's body that are read and discarded; 4 times the
/// largest body by default and 16 times the largest that a deployment sets.
pub const DISCARD_MAX_BYTES: usize = 16 * 1_024 * 1_024;
/// Maximum time for which the body of a refused request is read.
pub const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of a single read, in bytes.
const READ_BYTES: usize = 4 * 1_024;

/// Marker of a response that is sent before the body of its request is read whole.
#[derive(Clone, Copy, Debug)]
struct UnreadBody;

/// Closes the connection after a response to a request whose body is not read to its end.
pub fn close_after<B>(mut response: Response<B>) -> Response<B> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response.extensions_mut().insert(UnreadBody);
    response
}

/// Returns whether the connection is closed after the response by [`close_after`].
pub fn is_closed_after<B>(response: &Response<B>) -> bool {
    response.extensions().get::<UnreadBody>().is_some()
}

/// Reads and discards what a client still sends after a refusal.
///
/// Closing a connection that has unread data resets it, and the client may lose the response.
pub async fn discard_rest(mut stream: impl AsyncRead + Unpin) {
    let read = async {
        let mut buffer = [0_u8; READ_BYTES];
        let mut left = DISCARD_MAX_BYTES;
        while let Ok(size) = stream.read(&mut buffer).await {
            if size == 0 || size > left {
                return;
            }
            left -= size;
        }
    };
    let timed_out = async {
        Timer::after(DISCARD_TIMEOUT).await;
    };
    read.or(timed_out).await;
}
