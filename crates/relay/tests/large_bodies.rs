//! Memory for the bodies of requests.

use bytes::Bytes;
use http::{HeaderMap, Method};
use ibisdale_relay::http1::{serialize_parts, serialize_request};

/// A message that held a copy of its body took twice the memory of each large request, and
/// some at once ended the process (review 5).
#[test]
fn large_body_is_not_copied_into_the_message() {
    let body = Bytes::from(vec![b'x'; 4_000_000]);
    let parts = serialize_parts(&Method::POST, "/act/x", &HeaderMap::new(), &body);
    assert_eq!(parts[1].as_ptr(), body.as_ptr());
    let whole = serialize_request(&Method::POST, "/act/x", &HeaderMap::new(), &body);
    assert_eq!(parts.concat(), whole);
}

#[test]
fn small_body_is_sent_with_its_head() {
    let body = Bytes::from_static(b"small");
    let parts = serialize_parts(&Method::POST, "/act/x", &HeaderMap::new(), &body);
    let text = String::from_utf8(parts[0].to_vec()).unwrap();
    insta::assert_debug_snapshot!((text, parts[1].len()));
}
