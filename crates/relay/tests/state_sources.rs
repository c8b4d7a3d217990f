//! Sources of newer state, and what is fetched from which.

use std::net::{Ipv4Addr, SocketAddrV4};

use ibisdale_relay::decide::SourceQueue;

fn vm(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn ports(queue: &mut SourceQueue, in_force: u64, tries_max: u32) -> Vec<u16> {
    let taken = std::iter::from_fn(|| {
        let (address, _) = queue.take(in_force, tries_max, 0)?;
        queue.end(address);
        Some(address.port())
    });
    taken.collect()
}

#[test]
fn source_that_was_not_tried_goes_before_one_that_names_its_version_again() {
    let mut queue = SourceQueue::default();
    queue.offer(vm(1), 5);
    let first = queue.take(4, 2, 0);
    queue.offer(vm(2), 5);
    queue.offer(vm(1), 5);
    let second = queue.take(4, 2, 0);
    insta::assert_debug_snapshot!((first, second), @"
    (
        Some(
            (
                127.0.0.1:1,
                5,
            ),
        ),
        Some(
            (
                127.0.0.1:2,
                5,
            ),
        ),
    )
    ");
}

#[test]
fn sources_of_versions_that_are_not_newer_are_forgotten() {
    let mut queue = SourceQueue::default();
    queue.offer(vm(1), 6);
    queue.offer(vm(2), 5);
    let newest = queue.take(4, 1, 0).map(|(_, version)| version);
    let has_newer = (queue.has_newer(5), queue.has_newer(6));
    let left = ports(&mut queue, 5, 1);
    insta::assert_debug_snapshot!((newest, has_newer, left), @"
    (
        Some(
            6,
        ),
        (
            true,
            false,
        ),
        [],
    )
    ");
}

#[test]
fn source_that_names_a_newer_version_is_tried_anew() {
    let mut queue = SourceQueue::default();
    queue.offer(vm(1), 5);
    let tried = ports(&mut queue, 4, 2);
    queue.offer(vm(1), 5);
    let same = ports(&mut queue, 4, 2);
    queue.offer(vm(1), 6);
    let newer = ports(&mut queue, 4, 2);
    insta::assert_debug_snapshot!((tried, same, newer), @"
    (
        [
            1,
            1,
        ],
        [],
        [
            1,
            1,
        ],
    )
    ");
}

#[test]
fn of_too_many_sources_those_that_were_tried_are_forgotten_first() {
    let mut queue = SourceQueue::default();
    (1..=16).for_each(|port| queue.offer(vm(port), 5));
    let tried = queue.take(4, 1, 0).map(|(address, _)| address.port());
    queue.offer(vm(17), 5);
    let left = ports(&mut queue, 4, 1);
    insta::assert_debug_snapshot!((tried, left.len(), left.contains(&1)), @"
    (
        Some(
            1,
        ),
        16,
        false,
    )
    ");
}

#[test]
fn source_is_asked_once_at_a_time() {
    let mut queue = SourceQueue::default();
    queue.offer(vm(1), 5);
    let first = queue.take(4, 2, 0).is_some();
    queue.offer(vm(1), 5);
    queue.offer(vm(1), 6);
    let meanwhile = queue.take(4, 2, 0).is_some();
    queue.end(vm(1));
    let after = queue.take(4, 2, 0).is_some();
    insta::assert_debug_snapshot!((first, meanwhile, after), @"
    (
        true,
        false,
        true,
    )
    ");
}

#[test]
fn vms_that_know_the_same_sources_ask_different_ones() {
    let mut queue = SourceQueue::default();
    (1..=3).for_each(|port| queue.offer(vm(port), 5));
    let asked = (0..4).map(|random| {
        let taken = queue.clone().take(4, 2, random);
        taken.map(|(address, _)| address.port())
    });
    let asked: Vec<_> = asked.flatten().collect();
    insta::assert_debug_snapshot!(asked, @"
    [
        1,
        2,
        3,
        1,
    ]
    ");
}
