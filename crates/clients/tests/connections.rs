//! Decisions on the limit of clients' connections.

use ibisdale_clients::{ConnectionTable, ConnectionsBusy};

/// Guards against idle connections that keep new clients out.
#[test]
fn connection_without_a_request_for_longest_is_closed_first() {
    let mut table = ConnectionTable::new(3);
    let (busy, _) = table.open(1).unwrap();
    let (kept, _) = table.open(2).unwrap();
    let (silent, _) = table.open(3).unwrap();
    table.begin_request(busy);
    table.begin_request(kept);
    table.end_request(kept, 500);
    let (newest, closed) = table.open(2_000).unwrap();
    assert_eq!(closed, Some(silent));
    table.remove(silent);
    assert_eq!(table.open(2_001).unwrap().1, Some(kept));
    table.remove(kept);
    assert_eq!(table.open(2_002).unwrap().1, Some(newest));
    table.remove(newest);
    assert_eq!(table.count(), 3);
}

/// Guards against requests and the ends of responses that are cut off by new connections.
#[test]
fn connections_in_use_are_not_closed() {
    let mut table = ConnectionTable::new(2);
    let (busy, _) = table.open(1).unwrap();
    let (answered, _) = table.open(1).unwrap();
    table.begin_request(busy);
    table.begin_request(answered);
    table.begin_request(answered);
    table.end_request(answered, 10);
    assert_eq!(table.open(60_000), Err(ConnectionsBusy));
    table.end_request(answered, 60_000);
    assert_eq!(table.open(60_999), Err(ConnectionsBusy));
    assert_eq!(table.open(61_000).unwrap().1, Some(answered));
    table.remove(answered);
    table.remove(busy);
    assert_eq!(table.open(61_001).unwrap().1, None);
}

/// Guards against connections that add up while those that are closed for them still have their
/// descriptors.
#[test]
fn closed_connection_counts_until_it_is_removed() {
    let mut table = ConnectionTable::new(1);
    let (first, _) = table.open(0).unwrap();
    assert_eq!(table.open(1).unwrap().1, Some(first));
    assert!(!table.is_within_limit());
    table.begin_request(first);
    table.end_request(first, 2);
    table.remove(first);
    assert!(table.is_within_limit());
}

/// Guards against refusals that are cut off for new connections while others are idle.
#[test]
fn lingering_connection_is_closed_after_idle_ones() {
    let mut table = ConnectionTable::new(2);
    let (refused, _) = table.open(0).unwrap();
    table.begin_request(refused);
    table.end_request(refused, 1);
    table.linger(refused, 1);
    let (idle, _) = table.open(5).unwrap();
    assert_eq!(table.open(6).unwrap().1, Some(idle));
    assert_eq!(table.close_lingering(), [refused]);
    table.remove(idle);
    assert_eq!(table.close_lingering(), []);
}

/// Guards against clients that keep others out by not reading, and against slow ones that are cut
/// off while idle connections are open.
#[test]
fn connection_that_is_not_read_is_closed_last() {
    let mut table = ConnectionTable::new(3);
    let keys = [0, 1, 2].map(|now_ms| table.open(now_ms).unwrap().0);
    let [unread, idle, busy] = keys;
    for key in keys {
        table.begin_request(key);
    }
    table.set_blocked(unread, Some(3));
    table.set_blocked(busy, Some(4));
    table.set_blocked(busy, None);
    table.end_request(idle, 4);
    assert_eq!(table.open(1_000), Err(ConnectionsBusy));
    let (fresh, closed) = table.open(1_004).unwrap();
    assert_eq!(closed, Some(idle));
    table.remove(idle);
    table.begin_request(fresh);
    assert_eq!(table.open(1_005).unwrap().1, Some(unread));
}

/// Guards against clients whose requests follow each other and that keep others out.
#[test]
fn connection_that_is_open_for_longest_ends_after_its_response() {
    let mut table = ConnectionTable::new(2);
    let (first, _) = table.open(0).unwrap();
    let (second, _) = table.open(1).unwrap();
    table.begin_request(second);
    table.begin_request(first);
    assert_eq!(table.open(5), Err(ConnectionsBusy));
    assert_eq!(table.retire(), Some(first));
    assert_eq!(table.retire(), Some(second));
    assert_eq!(table.retire(), None);
}
