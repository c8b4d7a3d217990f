//! Decisions of the account of memory for clients.

use ibisdale_clients::{
    BodyKey, ClientMemory, ClientMemoryUse, MemoryShortage, ResponseKey, TransferKey,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const MB: usize = 1_000_000;

/// Adds a body that holds `size` bytes and has received `received` of them at `now_ms`.
fn add(memory: &mut ClientMemory, size: usize, received: usize, now_ms: u64) -> BodyKey {
    let key = memory.begin_body(now_ms);
    assert_eq!(memory.grow_body(key, size, now_ms), Ok(Vec::new()));
    memory.record_data(key, received, now_ms);
    key
}

/// Guards against a burst of legal requests that is refused by a VM of 110 MB (review 5).
#[test]
fn burst_of_thirteen_large_bodies_fits() {
    let mut memory = ClientMemory::new(60_625_000);
    for _ in 0..13 {
        add(&mut memory, 4 * MB, 0, 5);
    }
    let usage = memory.usage();
    assert_eq!(usage.unfinished, 52 * MB);
}

/// Complete bodies may be on their way to a replica, so a refusal would not be truthful.
#[test]
fn complete_bodies_keep_their_memory() {
    let mut memory = ClientMemory::new(8 * MB);
    let complete = add(&mut memory, 7 * MB, 7 * MB, 0);
    memory.complete_body(complete, 7 * MB);
    let late = memory.begin_body(60_000);
    let result = memory.grow_body(late, MB, 60_000);
    assert_eq!(result, Err(MemoryShortage));
    memory.remove_body(complete);
    assert_eq!(memory.grow_body(late, MB, 60_000), Ok(Vec::new()));
}

/// Guards against clients that stop just short of the end and keep others out.
#[test]
fn stalled_body_makes_room_before_a_slow_one() {
    let mut memory = ClientMemory::new(8 * MB);
    let slow = add(&mut memory, 3 * MB, 100, 0);
    let stalled = add(&mut memory, 3 * MB, 3 * MB - 1, 0);
    memory.record_data(slow, 100, 9_900);
    let next = memory.begin_body(10_000);
    assert_eq!(
        memory.grow_body(next, 3 * MB, 10_000),
        Ok(vec![TransferKey::Body(stalled)])
    );
    let last = memory.begin_body(10_100);
    assert_eq!(
        memory.grow_body(last, 2 * MB, 10_100),
        Ok(vec![TransferKey::Body(slow)])
    );
}

/// Guards against simultaneous bodies that take each other's memory until none is complete.
#[test]
fn body_with_the_least_progress_is_refused_itself() {
    let mut memory = ClientMemory::new(8 * MB);
    let fast = add(&mut memory, 7 * MB, 3 * MB, 0);
    let fresh = memory.begin_body(300);
    memory.record_data(fast, MB, 300);
    assert_eq!(memory.grow_body(fresh, MB, 300), Err(MemoryShortage));
    assert_eq!(memory.usage().unfinished, 7 * MB);
}

#[test]
fn nothing_is_evicted_if_it_would_not_suffice() {
    let mut memory = ClientMemory::new(8 * MB);
    let complete = add(&mut memory, 5 * MB, 5 * MB, 0);
    memory.complete_body(complete, 5 * MB);
    let stalled = add(&mut memory, MB, 10, 0);
    let next = memory.begin_body(5_000);
    assert_eq!(memory.grow_body(next, 4 * MB, 5_000), Err(MemoryShortage));
    assert_eq!(
        memory.grow_body(next, 2 * MB, 5_000),
        Ok(vec![TransferKey::Body(stalled)])
    );
}

/// Guards against ordinary requests that are refused beside large bodies.
#[test]
fn small_bodies_have_reserved_memory() {
    let mut memory = ClientMemory::new(8 * MB);
    add(&mut memory, 7 * MB, 0, 0);
    for _ in 0..15 {
        add(&mut memory, 65_536, 0, 0);
    }
}

/// A slow client is not subject to a time limit while memory is free.
#[test]
fn slow_body_keeps_its_memory_while_there_is_enough() {
    let mut memory = ClientMemory::new(16 * MB);
    let slow = add(&mut memory, 4 * MB, 1, 0);
    for round in 0..50 {
        let now_ms = round * 10_000;
        let other = add(&mut memory, 4 * MB, 4 * MB, now_ms);
        memory.complete_body(other, 4 * MB);
        memory.remove_body(other);
    }
    assert_eq!(memory.grow_body(slow, 4 * MB, 600_000), Ok(Vec::new()));
}

#[test]
fn responses_share_what_bodies_leave_free() {
    let mut memory = ClientMemory::new(8 * MB);
    let first = memory.begin_response(0);
    assert_eq!(memory.grow_response(first, 4 * MB, 0), Ok(Vec::new()));
    assert_eq!(memory.grow_response(first, 5 * MB, 0), Err(MemoryShortage));
    memory.remove_response(first);
    add(&mut memory, 7 * MB, 0, 0);
    let second = memory.begin_response(0);
    assert_eq!(memory.grow_response(second, MB, 0), Err(MemoryShortage));
    assert_eq!(memory.grow_response(second, MB / 2, 0), Ok(Vec::new()));
}

/// Adds a response of which its client has taken `taken` bytes at `now_ms`.
fn deliver(memory: &mut ClientMemory, size: usize, taken: usize, now_ms: u64) -> ResponseKey {
    let key = memory.begin_response(now_ms);
    assert_eq!(memory.deliver_response(key, size, now_ms), Ok(Vec::new()));
    memory.record_taken(key, taken, size, true, now_ms);
    key
}

/// Guards against responses that nobody reads and that keep new ones out.
#[test]
fn unread_response_makes_room_before_a_slow_one() {
    let mut memory = ClientMemory::new(8 * MB);
    let slow = deliver(&mut memory, 3 * MB, 8_000, 0);
    let unread = deliver(&mut memory, 3 * MB, 8_000, 0);
    memory.record_taken(slow, 8_000, 3 * MB, true, 9_900);
    let next = memory.begin_response(10_000);
    let evicted = memory.grow_response(next, 2 * MB, 10_000);
    assert_eq!(evicted, Ok(vec![TransferKey::Response(unread)]));
    let last = memory.begin_response(10_100);
    let evicted = memory.grow_response(last, 2 * MB, 10_100);
    assert_eq!(evicted, Ok(vec![TransferKey::Response(slow)]));
}

/// Guards against responses that wait for their upstream, or that clients have just got.
#[test]
fn response_whose_client_reads_keeps_its_memory() {
    let mut memory = ClientMemory::new(8 * MB);
    let begun = deliver(&mut memory, 3 * MB, 8_000, 9_900);
    let upstream = deliver(&mut memory, 3 * MB, 8_000, 0);
    memory.record_taken(upstream, 0, 3 * MB, false, 0);
    let next = memory.begin_response(10_000);
    assert_eq!(
        memory.grow_response(next, 2 * MB, 10_000),
        Err(MemoryShortage)
    );
    memory.remove_response(begun);
    assert_eq!(memory.grow_response(next, 2 * MB, 10_000), Ok(Vec::new()));
}

/// An answer to a request that has run comes before the body of one that has not.
#[test]
fn stalled_body_makes_room_for_a_response() {
    let mut memory = ClientMemory::new(8 * MB);
    let stalled = add(&mut memory, 6 * MB, 6 * MB - 1, 0);
    let next = memory.begin_response(5_000);
    let evicted = memory.grow_response(next, 3 * MB, 5_000);
    assert_eq!(evicted, Ok(vec![TransferKey::Body(stalled)]));
}

/// Responses keep their part of the memory, however many bodies arrive.
#[test]
fn unread_response_makes_room_for_a_body_only_beyond_the_reserve() {
    let mut memory = ClientMemory::new(8 * MB);
    let unread = deliver(&mut memory, MB, 8_000, 0);
    let body = memory.begin_body(10_000);
    let shortage = Err(MemoryShortage);
    assert_eq!(memory.grow_body(body, 8 * MB, 10_000), shortage);
    assert_eq!(memory.grow_body(body, 7 * MB, 10_000), Ok(Vec::new()));
    memory.remove_response(unread);
    assert_eq!(memory.usage().responses, 0);
}

/// A client that does not read holds its connection no longer than one that does not send.
#[test]
fn unread_response_loses_its_place_to_a_new_connection() {
    let mut memory = ClientMemory::new(8 * MB);
    let unread = deliver(&mut memory, 0, 8_000, 0);
    let upstream = memory.begin_response(0);
    memory.record_taken(upstream, 8_000, 0, false, 0);
    assert_eq!(memory.evict_stalled(999), None);
    let evicted = memory.evict_stalled(1_500);
    assert_eq!(evicted, Some(TransferKey::Response(unread)));
    assert_eq!(memory.evict_stalled(60_000), None);
}

/// Guards against an account that exceeds its capacity or loses bytes.
#[test]
fn account_stays_within_its_capacity() {
    let mut random = Pcg64::seed_from_u64(20_261_206);
    let mut memory = ClientMemory::new(8 * MB);
    let mut keys: Vec<BodyKey> = Vec::new();
    for now_ms in 0..20_000 {
        match random.random_range(0..5) {
            0 => keys.push(memory.begin_body(now_ms)),
            1 if !keys.is_empty() => {
                let key = keys.swap_remove(random.random_range(0..keys.len()));
                memory.remove_body(key);
            }
            _ if !keys.is_empty() => {
                let key = keys[random.random_range(0..keys.len())];
                let size = random.random_range(0..3 * MB);
                memory.record_data(key, size / 10, now_ms);
                if let Ok(evicted) = memory.grow_body(key, size, now_ms) {
                    keys.retain(|key| !evicted.contains(&TransferKey::Body(*key)));
                }
            }
            _ => {}
        }
        assert!(memory.usage().unfinished <= memory.capacity());
    }
    for key in keys {
        memory.remove_body(key);
    }
    assert_eq!(memory.usage(), ClientMemoryUse::default());
}

/// A new connection must not close one whose client sends slowly, or whose body is complete.
#[test]
fn only_stalled_bodies_lose_their_place() {
    let mut memory = ClientMemory::new(8 * MB);
    let complete = memory.begin_body(0);
    memory.complete_body(complete, 100);
    let first = memory.begin_body(0);
    let slow = memory.begin_body(0);
    memory.record_data(slow, 1, 900);
    assert_eq!(memory.evict_stalled(999), None);
    assert_eq!(memory.evict_stalled(1_500), Some(TransferKey::Body(first)));
    assert_eq!(memory.evict_stalled(1_500), None);
}
