//! Seeded play of entry VMs, holders, disks and messages, in memory.
//!
//! The decisions are those of the product; the world around them draws delays, losses,
//! kills, wiped disks, cuts, pauses and orders to empty a VM from a seed, within what the
//! deployment tolerates. The checker knows which turns were answered whole.

mod callers;
mod checker;
mod faults;
mod holder;
mod repairs;
mod world;

use checker::PlayOutcome;
use rstest::rstest;
use world::{PlayOptions, PlayWorld};

fn play(seed: u64, holders: usize, tolerated: usize) -> PlayOutcome {
    let options = PlayOptions {
        seed,
        holders,
        tolerated,
        is_repair_off: false,
    };
    PlayWorld::new(options).run()
}

#[rstest]
#[case::four_holders_and_one_lost(4, 1, 0..600)]
#[case::nine_holders_and_two_lost(9, 2, 0..200)]
#[case::three_holders_and_one_lost(3, 1, 0..200)]
fn no_turn_is_denied_altered_or_lost(
    #[case] holders: usize,
    #[case] tolerated: usize,
    #[case] seeds: std::ops::Range<u64>,
) {
    let (mut kept, mut denials) = (0, 0);
    for seed in seeds {
        let outcome = play(seed, holders, tolerated);
        assert_eq!(outcome.findings, Vec::<String>::new(), "seed {seed}");
        kept += outcome.kept;
        denials += outcome.missing;
    }
    assert!(kept > 10_000, "{kept} turns were kept");
    assert!(
        denials > 100,
        "{denials} unknown turns were certain not to exist"
    );
}

#[test]
fn play_is_the_same_each_time() {
    assert_eq!(play(11, 4, 1), play(11, 4, 1));
}

#[test]
fn checker_finds_lost_turns_when_copies_are_not_restored() {
    let lost = (0..200).filter(|seed| {
        let options = PlayOptions {
            seed: *seed,
            holders: 4,
            tolerated: 1,
            is_repair_off: true,
        };
        !PlayWorld::new(options).run().findings.is_empty()
    });
    assert!(lost.count() > 10);
}
