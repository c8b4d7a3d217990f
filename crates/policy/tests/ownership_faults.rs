//! Focused faults of ownership.

mod fleet;

use std::time::Duration;

use fleet::world::World;

const SLOTS: u16 = 8;

/// Two daemons; the first has recorded a paid action in each of its slots.
fn fleet_with_actions() -> World {
    let mut world = World::new(2, SLOTS, |options| options);
    (0..2).for_each(|daemon| world.start(daemon));
    world.settle(Duration::from_secs(20));
    (0..SLOTS).for_each(|slot| world.ask(0, slot, 0, 1));
    run(&mut world, 10);
    world
}

fn run(world: &mut World, rounds: u32) {
    for _ in 0..rounds {
        world.advance(50);
        world.deliver_running(usize::MAX);
        (0..2).for_each(|daemon| world.report(daemon, usize::MAX));
        world.check();
    }
}

#[test]
fn lagging_read_is_not_taken_for_what_was_recorded() {
    let mut world = fleet_with_actions();
    world.drain(0);
    world.set_read_lag(4);
    run(&mut world, 100);
    world.settle(Duration::from_secs(10));
    world.check_all_owned();
}

#[test]
fn action_recorded_by_a_stalled_owner_is_not_sent_again() {
    let mut world = fleet_with_actions();
    world.stall(0, 2);
    run(&mut world, 200);
    for step in 1..3 {
        (0..SLOTS).for_each(|slot| world.ask(1, slot, 0, step));
    }
    world.settle(Duration::from_secs(40));
    world.check_all_owned();
}
