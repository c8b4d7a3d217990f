//! Sources of newer state, and what is fetched from which.

use std::net::{Ipv4Addr, SocketAddrV4};

use ibisdale_relay::decide::SourceQueue;

fn vm(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn ports(queue: &mut SourceQueue, in_force: u64, tries_max: u32) -> Vec<u16> {
    let taken = std::iter::from_fn(|| queue.take(in_force, tries_max));
    taken.map(|(address, _)| address.port()).collect()
}

#[test]
fn source_that_was_not_tried_goes_before_one_that_names_its_version_again() {
    let mut queue = SourceQueue::default();
    queue.offer(vm(1), 5);
    let first = queue.take(4, 2);
    queue.offer(vm(2), 5);
    queue.offer(vm(1), 5);
    let second = queue.take(4, 2);
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
fn newest_version_is_fetched_first_and_sources_of_older_ones_are_forgotten() {
    let mut queue = SourceQueue::default();
    queue.offer(vm(1), 6);
    queue.offer(vm(2), 5);
    let newest = queue.take(4, 1).map(|(_, version)| version);
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
    let tried = queue.take(4, 1).map(|(address, _)| address.port());
    queue.offer(vm(17), 5);
    let left = ports(&mut queue, 4, 1);
    insta::assert_debug_snapshot!((tried, left.len(), left.contains(&16)), @"
    (
        Some(
            16,
        ),
        16,
        false,
    )
    ");
}
