//! Tests of event stream splitting.

use ibisdale_relay::gateway::EventSplitter;
use rstest::rstest;

/// Returns the ids of the events and whether an incomplete event is left.
fn split_ids(stream: &[u8], chunk_size: usize) -> (Vec<Option<u64>>, bool) {
    let mut splitter = EventSplitter::default();
    let mut ids = Vec::new();
    for data in stream.chunks(chunk_size) {
        splitter.push(data);
        while let Some(event) = splitter.next_event() {
            assert!(event.raw.ends_with(b"\n"));
            ids.push(event.id);
        }
    }
    (ids, splitter.has_partial())
}

#[rstest]
fn events_are_split_for_any_chunk_size(#[values(1, 2, 3, 7, 1_000)] chunk_size: usize) {
    let stream = b"version: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\n";
    let expected = (vec![Some(1), Some(2), None], false);
    assert_eq!(split_ids(stream, chunk_size), expected);
}

#[rstest]
fn crlf_line_endings_are_supported(#[values(1, 2, 3, 7, 1_000)] chunk_size: usize) {
    let stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    assert_eq!(
        split_ids(stream, chunk_size),
        (vec![Some(1), Some(2)], false)
    );
}

#[test]
fn incomplete_event_is_buffered() {
    assert_eq!(
        split_ids(b"id: 1\ndata: a\n\nid: 2\nda", 4),
        (vec![Some(1)], true)
    );
}
