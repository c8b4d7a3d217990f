//! Subsetting of replicas and assignment of watchers.

use std::collections::BTreeSet;

use ibisdale_policy::{required_watchers, watched_replicas};

const DAEMONS: usize = 360;
const REPLICAS: usize = 4_600;
const SUBSET_SIZE: usize = 24;
const WATCHERS: usize = 3;

fn names(prefix: &str, count: usize) -> Vec<Vec<u8>> {
    (0..count)
        .map(|index| format!("{prefix}-{index}").into_bytes())
        .collect()
}

fn slices(names: &[Vec<u8>]) -> Vec<&[u8]> {
    names.iter().map(Vec::as_slice).collect()
}

#[test]
fn subset_size_is_independent_of_the_fleet() {
    let replicas = names("replica", REPLICAS);
    for count in [10, 1_000, REPLICAS] {
        let watched = watched_replicas(b"daemon-1", &slices(&replicas[..count]), SUBSET_SIZE);
        assert_eq!(watched.len(), SUBSET_SIZE.min(count));
    }
}

#[test]
fn removed_replica_changes_only_one_member() {
    let replicas = names("replica", 1_000);
    let before = watched_replicas(b"daemon-1", &slices(&replicas), SUBSET_SIZE);
    let removed = *before.first().unwrap();
    let mut fewer = replicas.clone();
    fewer.remove(removed);
    let after = watched_replicas(b"daemon-1", &slices(&fewer), SUBSET_SIZE);
    let before: BTreeSet<&[u8]> = before.iter().map(|index| &replicas[*index][..]).collect();
    let after: BTreeSet<&[u8]> = after.iter().map(|index| &fewer[*index][..]).collect();
    assert_eq!(before.difference(&after).count(), 1);
}

#[test]
fn replicas_are_spread_evenly_over_watchers() {
    let daemons = names("daemon", DAEMONS);
    let daemons = slices(&daemons);
    let mut watched_counts = vec![0; DAEMONS];
    for replica in names("replica", REPLICAS) {
        let chosen = required_watchers(&replica, &daemons, WATCHERS);
        assert_eq!(chosen.len(), WATCHERS);
        for daemon in chosen {
            watched_counts[daemon] += 1;
        }
    }
    let mean = REPLICAS * WATCHERS / DAEMONS;
    let most = *watched_counts.iter().max().unwrap();
    assert!(
        most <= mean * 2,
        "{most} replicas at one daemon, mean {mean}"
    );
}
