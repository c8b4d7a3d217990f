//! Tests the fleet membership as known to one VM.

use bytes::Bytes;
use ibisdale_relay::decide::{MemberFacts, MemberTable};

fn facts(name: &str, incarnation: u64) -> MemberFacts {
    MemberFacts {
        name: Bytes::copy_from_slice(name.as_bytes()),
        incarnation,
        ip: [10, 0, 0, 1].into(),
        peer_port: 7_000,
        entry_port: 80,
        domain: Bytes::from_static(b"east"),
        region: Bytes::from_static(b"north"),
        is_serving: true,
    }
}

#[test]
fn silent_vm_is_not_live_and_is_reported_once() {
    let mut table = MemberTable::default();
    assert!(table.record_heartbeat(facts("a", 1), 1_000));
    assert_eq!(table.live(2_000).count(), 1);
    assert_eq!(table.live(3_000).count(), 0);
    assert_eq!(table.take_newly_silent(3_000).len(), 1);
    assert_eq!(table.take_newly_silent(3_100).len(), 0);
    assert!(table.record_heartbeat(facts("a", 1), 3_200));
}

#[test]
fn registered_vm_is_counted_while_it_is_silent() {
    let mut table = MemberTable::default();
    table.set_registered(vec![facts("a", 1)], 1_000);
    table.expire(60_000);
    assert_eq!(table.count(60_000), (1, 1));
    table.set_registered(Vec::new(), 60_000);
    assert_eq!(table.count(60_000), (0, 0));
}

#[test]
fn heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut table = MemberTable::default();
    table.record_heartbeat(facts("a", 5), 1_000);
    assert!(!table.record_heartbeat(facts("a", 4), 1_100));
    assert_eq!(table.incarnation(facts("a", 0).key()), Some(5));
}

#[test]
fn remove_ignores_another_incarnation() {
    let mut table = MemberTable::default();
    table.record_heartbeat(facts("a", 5), 1_000);
    let key = facts("a", 0).key();
    assert!(!table.remove(key, 4, 1_000));
    assert!(table.remove(key, 5, 1_000));
    assert_eq!(table.count(1_000), (0, 0));
}

#[test]
fn all_vms_agree_on_the_home_of_a_program() {
    let names = ["a", "b", "c"];
    for program in 0..30 {
        let homes: Vec<Bytes> = names
            .iter()
            .map(|own| {
                let mut table = MemberTable::default();
                for other in names.iter().filter(|other| *other != own) {
                    table.record_heartbeat(facts(other, 1), 1_000);
                }
                let homes = table.ranked_homes(facts(own, 1).key(), program, 1_000);
                let first = homes.into_iter().next().unwrap();
                first.map_or_else(|| Bytes::copy_from_slice(own.as_bytes()), |home| home.name)
            })
            .collect();
        assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
    }
}

/// Guards against asking only VMs that have sent a heartbeat: after a restart of all VMs
/// a registered one may have been home before its first heartbeat, and its counts were
/// missed.
#[test]
fn home_candidates_include_registered_vms_without_heartbeat() {
    let mut table = MemberTable::default();
    let names = ["a", "b", "c", "d", "e"];
    let registered = names.iter().map(|name| facts(name, 1)).collect();
    table.set_registered(registered, 1_000);
    table.record_heartbeat(facts("b", 2), 1_100);
    let own = facts("own", 1).key();
    let ranked: Vec<_> = table
        .ranked_homes(own, 7, 1_200)
        .into_iter()
        .flatten()
        .collect();
    assert_eq!(table.home_candidates(own, 7, 1_200, 3), ranked[..3]);
}
