//! Time for which dead members are remembered.

use std::net::SocketAddr;
use std::time::Duration;

use ibisdale_core::{DaemonName, TimeStamp};
use ibisdale_policy::{
    MemberFacts, MemberOptions, MemberState, MemberTable, MemberUpdate, MemberVersion,
};

fn facts(name: &'static str, port: u16) -> MemberFacts {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    MemberFacts {
        name: DaemonName::new(name).expect("valid name"),
        fleet_address: address,
        entry_address: address,
        failure_domain: "north".into(),
        settings_revision: 0,
        load_permille: 0,
        is_holder: false,
    }
}

fn dead_member() -> MemberUpdate {
    let version = MemberVersion {
        incarnation: 1,
        version: 0,
    };
    MemberUpdate {
        facts: facts("b", 7_202),
        version,
        state: MemberState::Dead,
    }
}

/// A partitioned daemon must count the members that it lost, however long the
/// partition lasts. An earlier version forgot them after two minutes, so such a
/// daemon assumed that it reached the whole fleet.
#[test]
fn dead_member_is_remembered_while_in_vm_list() {
    let mut table = MemberTable::new(facts("a", 7_201), 1, MemberOptions::default());
    let start = TimeStamp::from_millis(1_000);
    table.set_candidates(&[facts("b", 7_202).fleet_address]);
    table.merge(dead_member(), start);
    let later = start.plus(Duration::from_hours(2));
    table.expire(later);
    assert_eq!(table.all_members().count(), 1);
    table.set_candidates(&[]);
    table.expire(later);
    assert_eq!(table.all_members().count(), 0);
}
