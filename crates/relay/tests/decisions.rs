//! Decisions of a home on calls that are sent more than once.

use std::net::{Ipv4Addr, SocketAddrV4};

use ibisdale_relay::decide::{RateRefusal, RecentDecisions};

/// Guards against counting a request again when its home is asked again.
#[test]
fn call_that_is_sent_again_is_decided_once() {
    let caller = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let mut decisions = RecentDecisions::default();
    let mut decided = Vec::new();
    // Call, time in milliseconds.
    for (call_id, now_ms) in [(1, 10), (1, 50), (2, 50), (1, 90), (1, 1_300)] {
        decisions.expire(now_ms);
        decisions.decide_once(caller, call_id, now_ms, || {
            decided.push((call_id, now_ms));
            Some(RateRefusal::silent_home(150))
        });
    }
    assert_eq!(decided, [(1, 10), (2, 50), (1, 1_300)]);
}
