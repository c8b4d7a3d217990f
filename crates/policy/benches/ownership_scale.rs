//! Measures the store calls and the planning time of slot ownership in a large fleet.
//!
//! `cargo bench -p ibisdale-policy --bench ownership_scale`

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::hint::black_box;
use std::time::{Duration, Instant};

use fleet::simulation::{FleetSimulation, daemon_name};
use ibisdale_policy::ownership::{PlanDaemon, PlanOwner, plan_moves};

const SLOTS: u16 = 1_024;
const DAEMONS: usize = 360;
/// Number of daemons in the largest of 19 failure domains (360 / 19, rounded up).
const DOMAIN_DAEMONS: usize = 19;
const PLAN_ROUNDS: u32 = 20;

fn print_store_calls(event: &str, world: &FleetSimulation, before: (u64, u64)) {
    let writes = world.store.write_count - before.0;
    let reads = world.store.read_count - before.1;
    println!("{event}: {writes} writes, {reads} reads");
}

fn store_counts(world: &FleetSimulation) -> (u64, u64) {
    (world.store.write_count, world.store.read_count)
}

/// Returns the mean time of a plan with all slots unowned or, for any other `owner`,
/// spread evenly over the daemons.
fn mean_plan_time(owner: PlanOwner) -> Duration {
    let daemons: Vec<PlanDaemon> = (0..DAEMONS)
        .map(|daemon| PlanDaemon {
            name: daemon_name(daemon),
            is_draining: false,
        })
        .collect();
    let mut owners = vec![owner; usize::from(SLOTS)];
    if owner != PlanOwner::Unowned {
        for (slot, owner) in owners.iter_mut().enumerate() {
            *owner = PlanOwner::Daemon(slot % DAEMONS);
        }
    }
    let started = Instant::now();
    for _ in 0..PLAN_ROUNDS {
        black_box(plan_moves(black_box(&daemons), black_box(&owners)));
    }
    started.elapsed() / PLAN_ROUNDS
}

fn main() {
    println!(
        "plan with all slots owned: {:?}",
        mean_plan_time(PlanOwner::Unreadable)
    );
    println!(
        "plan with 1,024 unowned slots: {:?}",
        mean_plan_time(PlanOwner::Unowned)
    );
    let mut world = FleetSimulation::new(DAEMONS, SLOTS, |options| options);
    (0..DAEMONS).for_each(|daemon| world.start(daemon));
    world.run_without_faults(Duration::from_secs(30));
    world.check_all_owned();
    print_store_calls("start of 360 daemons", &world, (0, 0));
    let before = store_counts(&world);
    world.kill(0);
    world.run_without_faults(Duration::from_secs(20));
    world.check_all_owned();
    print_store_calls("failure of 1 of 360 daemons", &world, before);
    let before = store_counts(&world);
    (1..=DOMAIN_DAEMONS).for_each(|daemon| world.kill(daemon));
    world.run_without_faults(Duration::from_secs(25));
    world.check_all_owned();
    print_store_calls("failure of 19 of 359 daemons", &world, before);
}
