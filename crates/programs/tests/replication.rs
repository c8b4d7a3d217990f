//! Tests of history replication: choice of holders, append progress, fencing and
//! re-copying.

use std::collections::BTreeSet;

use ibisdale_core::{DaemonName, ProgramId, SlotId, TimeStamp};
use ibisdale_programs::{
    AppendEffect, AppendStatus, FailureDomain, HolderKey, HolderState, HolderTable,
    ReplicationPolicy, ReplicationProgress, ReplicationQueue, ReplicationTask,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const POLICY: ReplicationPolicy = ReplicationPolicy {
    copies: 2,
    domains: 2,
};

fn holder(number: usize, domain: usize) -> HolderState {
    HolderState {
        name: DaemonName::new(format!("vm-{number}")).expect("valid name"),
        domain: FailureDomain::new(format!("domain-{domain}")),
        is_live: true,
        is_leaving: false,
        is_disk_unusable: false,
    }
}

fn table(domains: &[usize]) -> (HolderTable, Vec<HolderKey>) {
    let mut table = HolderTable::default();
    let holders = domains.iter().enumerate();
    let keys = holders.map(|(number, domain)| table.update(holder(number, *domain)));
    let keys = keys.collect();
    (table, keys)
}

fn count_domains(table: &HolderTable, keys: &[HolderKey]) -> usize {
    let names = keys
        .iter()
        .map(|key| &table.get(*key).expect("known key").domain);
    names.collect::<BTreeSet<_>>().len()
}

#[rstest]
#[case::one_domain(&[1, 1, 1])]
#[case::one_holder(&[1])]
#[case::none(&[])]
fn too_few_holders_refuse_the_request_as_not_run(#[case] holder_domains: &[usize]) {
    let (table, _) = table(holder_domains);
    let slot = SlotId::new(1).expect("valid slot");
    let shortage = table
        .choose(slot, POLICY, &[])
        .expect_err("too few holders");
    let refusal = shortage.refusal();
    assert_eq!(refusal.get_code().as_str(), "history_unavailable");
    assert_eq!(refusal.get_run_state(), ibisdale_core::RunState::NotRun);
    assert!(refusal.get_retry_after().is_some());
    assert_eq!(shortage.holders, holder_domains.len());
}

#[rstest]
#[case::dead(|state: &mut HolderState| state.is_live = false)]
#[case::leaving(|state: &mut HolderState| state.is_leaving = true)]
#[case::disk(|state: &mut HolderState| state.is_disk_unusable = true)]
fn an_unusable_holder_is_replaced_and_the_other_one_kept(#[case] fail: fn(&mut HolderState)) {
    let (mut table, _) = table(&[1, 1, 2, 2, 3]);
    for slot in SlotId::all().take(64) {
        let before = table.choose(slot, POLICY, &[]).expect("enough holders");
        let mut state = table.get(before[0]).expect("known key").clone();
        fail(&mut state);
        table.update(state.clone());
        let after = table.choose(slot, POLICY, &before).expect("enough holders");
        assert!(after.contains(&before[1]) && !after.contains(&before[0]));
        assert_eq!(count_domains(&table, &after), 2);
        state = holder(0, 0);
        let failed = table.get(before[0]).expect("known key").clone();
        table.update(HolderState {
            name: failed.name,
            domain: failed.domain,
            ..state
        });
    }
}

#[test]
fn slots_are_spread_evenly_over_the_holders() {
    let (table, keys) = table(&[1, 2, 3, 4]);
    let chosen =
        SlotId::all().flat_map(|slot| table.choose(slot, POLICY, &[]).expect("enough holders"));
    let chosen: Vec<_> = chosen.collect();
    let counts = keys
        .iter()
        .map(|key| chosen.iter().filter(|found| *found == key).count());
    let counts: Vec<_> = counts.collect();
    insta::assert_debug_snapshot!(counts, @"
    [
        535,
        484,
        526,
        503,
    ]
    ");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A new owner that seals and reads any single holder must find every record
    /// that was reported as fully replicated, also while a holder is replaced.
    #[test]
    fn every_replicated_record_is_found_at_any_single_holder(
        appends in prop::collection::vec((0..3_usize, 0..6_u8), 1..60),
        joins_at in 0..60_usize,
        read_member in 0..2_usize,
    ) {
        let (_, keys) = table(&[1, 2, 3]);
        let mut members = vec![keys[0], keys[1]];
        let mut progress = ReplicationProgress::new(&members);
        let mut stored = [0_u64; 3];
        let (mut length, mut reported) = (0, 0);
        for (index, (holder, outcome)) in appends.into_iter().enumerate() {
            if index == joins_at {
                progress.add_joining(keys[2]);
            }
            if progress.stored(keys[2]).is_some() && progress.is_caught_up(length) && length > 0 {
                members = vec![keys[1], keys[2]];
                progress.set_holders(&members);
            }
            let sequence = stored[holder];
            length = length.max(sequence + 1);
            let status = match outcome {
                0 => AppendStatus::DiskFull,
                1 => AppendStatus::Gap,
                _ => AppendStatus::Stored,
            };
            let is_target = progress.targets().any(|key| key == keys[holder]);
            match status {
                AppendStatus::Stored => stored[holder] += 1,
                AppendStatus::Gap => (stored[holder], reported) = (0, 0),
                _ => {}
            }
            let effect = progress.record_append(keys[holder], sequence, status);
            prop_assert_eq!(effect == AppendEffect::Ignored, !is_target);
            reported = progress.replicated_length().max(reported);
            let index = keys.iter().position(|key| *key == members[read_member]);
            let index = index.expect("known key");
            prop_assert!(reported <= stored[index], "{} replicated, {} found", reported, stored[index]);
        }
    }
}

#[test]
fn a_stale_epoch_from_any_holder_fences_the_owner() {
    let (_, keys) = table(&[1, 2, 3]);
    let mut progress = ReplicationProgress::new(&keys[..2]);
    assert_eq!(
        progress.record_append(keys[0], 0, AppendStatus::Stored),
        AppendEffect::Stored(0)
    );
    assert_eq!(
        progress.record_append(keys[1], 0, AppendStatus::Stored),
        AppendEffect::Stored(1)
    );
    assert_eq!(
        progress.record_append(keys[1], 1, AppendStatus::StaleEpoch),
        AppendEffect::Fenced
    );
    assert_eq!(
        progress.record_append(keys[2], 1, AppendStatus::StaleEpoch),
        AppendEffect::Fenced
    );
    assert_eq!(progress.replicated_length(), 1);
}

#[test]
fn replication_queue_keeps_to_its_rate_and_sends_prioritized_programs_first() {
    let (_, keys) = table(&[1]);
    let slot = SlotId::new(1).expect("valid slot");
    let mut queue = ReplicationQueue::new(1_000);
    let programs: Vec<_> = (0..5)
        .map(|seed| ProgramId::generate(slot, &mut SmallRng::seed_from_u64(seed)))
        .collect();
    for program in &programs {
        let (holder, from, bytes) = (keys[0], 0, 500);
        queue.push(ReplicationTask {
            program: *program,
            holder,
            from,
            bytes,
        });
    }
    queue.prioritize(programs[4]);
    queue.cancel(programs[3]);
    let mut sent = Vec::new();
    for millis in 0..5_000 {
        while let Some(task) = queue.next(TimeStamp::from_millis(millis)) {
            let number = programs.iter().position(|program| *program == task.program);
            sent.push((millis, number.expect("known program")));
        }
    }
    let sent: Vec<_> = sent
        .iter()
        .map(|(at, number)| format!("{at} ms: {number}"))
        .collect();
    insta::assert_snapshot!(sent.join(", "), @"0 ms: 4, 500 ms: 0, 1000 ms: 1, 1500 ms: 2");
    assert!(queue.is_empty());
}
