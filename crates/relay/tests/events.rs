//! Splitting of event streams.

use ibisdale_relay::gateway::EventSplitter;
use rstest::rstest;

fn ids(stream: &[u8], part: usize) -> (Vec<Option<u64>>, bool) {
    let mut splitter = EventSplitter::default();
    let mut ids = Vec::new();
    for data in stream.chunks(part) {
        splitter.push(data);
        while let Some(event) = splitter.next_event() {
            assert!(event.data.ends_with(b"\n"));
            ids.push(event.id);
        }
    }
    (ids, splitter.has_partial())
}

#[rstest]
fn events_are_whole_however_their_bytes_arrive(#[values(1, 2, 3, 7, 1_000)] part: usize) {
    let stream = b"version: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\n";
    let expected = (vec![Some(1), Some(2), None], false);
    assert_eq!(ids(stream, part), expected);
}

#[rstest]
fn line_ends_of_two_bytes_are_understood(#[values(1, 2, 3, 7, 1_000)] part: usize) {
    let stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    assert_eq!(ids(stream, part), (vec![Some(1), Some(2)], false));
}

#[test]
fn part_of_an_event_is_kept_back() {
    assert_eq!(
        ids(b"id: 1\ndata: a\n\nid: 2\nda", 4),
        (vec![Some(1)], true)
    );
}
