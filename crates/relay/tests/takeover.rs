//! Tests who may act as a program's home, and what a new home knows.

use ibisdale_relay::decide::{
    AccountCopy, AccountReply, BudgetLedger, HomeRole, LossFacts, TakeoverFinding, TakeoverInput,
    VmLoss, VmProcess, assess_takeover, may_have_lost_pair,
};
use rstest::rstest;

const PROGRAM: u64 = 42;
const BUDGET: u64 = 1_000;
const WINDOW_MS: u64 = 2_000;
const NOW_MS: u64 = 100_000;
const NO_LOSSES: LossFacts<'_> = LossFacts {
    losses: &[],
    window_ms: WINDOW_MS,
    has_lost_counts: false,
};
const COMPLETE: TakeoverFinding = TakeoverFinding {
    may_miss_tokens: false,
    needs_record: false,
};

fn process(vm: u64) -> VmProcess {
    VmProcess { vm, incarnation: 1 }
}

fn loss(vm: u64, at_ms: u64) -> VmLoss {
    VmLoss {
        vm,
        incarnation: 1,
        at_ms,
    }
}

/// Returns the copy of a VM where process 1 acts as home with witness 2 in epoch 3.
fn copy(role_age_ms: u64) -> AccountCopy {
    AccountCopy {
        epoch: 3,
        role: Some(HomeRole {
            epoch: 3,
            home: process(1),
            witness: Some(process(2)),
        }),
        role_age_ms,
        ..AccountCopy::default()
    }
}

fn reply(vm: u64, account: Option<AccountCopy>) -> AccountReply {
    AccountReply {
        process: process(vm),
        account,
        absence_age_ms: None,
    }
}

/// VMs rank by their number; those of `down` are silent.
fn assess(replies: &[AccountReply], losses: &[VmLoss], down: &[u64]) -> TakeoverFinding {
    assess_takeover(&TakeoverInput {
        own: process(5),
        replies,
        ranked: &[1, 2, 3, 4, 5],
        losses,
        is_down: &|vm| down.contains(&vm),
        has_joined: &|_, _| false,
        has_ended: &|_| false,
        window_ms: WINDOW_MS,
        now_ms: NOW_MS,
        has_lost_counts: false,
        knows_records: false,
    })
}

#[rstest]
#[case::no_loss(&[], &[], None, false)]
#[case::one_of_both(&[loss(1, 50_000)], &[1], None, false)]
#[case::both_at_once(&[loss(1, 50_000), loss(2, 51_000)], &[], None, true)]
#[case::one_after_the_other(&[loss(1, 50_000), loss(2, 55_000)], &[], None, false)]
#[case::others_at_once(&[loss(3, 50_000), loss(4, 50_000)], &[], None, false)]
#[case::next_pair_while_the_first_is_down(
    &[loss(1, 10_000), loss(2, 50_000), loss(3, 50_000)], &[1], None, true
)]
#[case::next_pair_while_the_first_is_back(
    &[loss(1, 10_000), loss(2, 50_000), loss(3, 50_000)], &[], None, false
)]
#[case::next_pair_before_the_first_has_joined(
    &[loss(2, 50_000), loss(3, 50_000)], &[], Some((1, 51_000)), true
)]
#[case::first_has_joined_long_before(
    &[loss(2, 50_000), loss(3, 50_000)], &[], Some((1, 20_000)), false
)]
fn losses_of_both_vms_that_knew_a_program_are_found(
    #[case] losses: &[VmLoss],
    #[case] down: &[u64],
    #[case] joined: Option<(u64, u64)>,
    #[case] is_lost: bool,
) {
    let ranked = [1, 2, 3, 4, 5];
    let found = may_have_lost_pair(
        &ranked,
        losses,
        &|vm| down.contains(&vm),
        &|vm, since_ms| joined.is_some_and(|(new, at_ms)| vm == new && at_ms >= since_ms),
        WINDOW_MS,
    );
    assert_eq!(found, is_lost);
}

#[test]
fn findings_of_a_new_home() {
    let both_lost = [loss(1, 50_000), loss(2, 50_000)];
    let findings = [
        (
            "nobody knows the program",
            assess(&[reply(1, None), reply(2, None)], &[], &[]),
        ),
        (
            "both members reply",
            assess(
                &[reply(1, Some(copy(9))), reply(2, Some(copy(9)))],
                &[],
                &[],
            ),
        ),
        (
            "the home is silent",
            assess(&[reply(2, Some(copy(9)))], &[loss(1, 99_000)], &[1]),
        ),
        (
            "both members are silent",
            assess(&[reply(3, Some(copy(50_000)))], &both_lost, &[1, 2]),
        ),
        (
            "both were lost and are back",
            assess(&[reply(1, None), reply(2, None)], &both_lost, &[]),
        ),
        (
            "the role is from after the loss",
            assess(&[reply(2, Some(copy(9)))], &both_lost, &[]),
        ),
        (
            "two others were lost since the role is known",
            assess(
                &[reply(1, None), reply(2, Some(copy(9_000)))],
                &[loss(3, 95_000), loss(4, 95_500)],
                &[],
            ),
        ),
        (
            "one other was lost since the role is known",
            assess(
                &[reply(1, None), reply(2, Some(copy(9_000)))],
                &[loss(3, 95_000)],
                &[],
            ),
        ),
        (
            "this VM was absent while the first two served",
            assess(
                &[reply(1, None), reply(2, None)],
                &[loss(1, 99_000), loss(2, 99_000), loss(5, 99_500)],
                &[],
            ),
        ),
        (
            "no VM replies",
            assess(&[], &[1, 2, 3, 4].map(|vm| loss(vm, NOW_MS)), &[1, 2, 3, 4]),
        ),
    ];
    let lines = findings.map(|(name, finding)| {
        let TakeoverFinding {
            may_miss_tokens,
            needs_record,
        } = finding;
        format!("{name}: may miss tokens {may_miss_tokens}, needs a record {needs_record}")
    });
    insta::assert_debug_snapshot!(lines);
}

/// A home that stood still must not grant after another VM has taken over.
#[test]
fn witness_refuses_the_home_of_an_earlier_epoch() {
    let mut home = BudgetLedger::new(1, 1);
    home.take_over(PROGRAM, BUDGET, COMPLETE, 1);
    home.set_witness(PROGRAM, process(2), |_| true, &NO_LOSSES, 1);
    let mut witness = BudgetLedger::new(2, 1);
    assert!(witness.accept(PROGRAM, &home.copy(PROGRAM, 1).unwrap(), 1));
    witness.take_over(PROGRAM, BUDGET, COMPLETE, 2);
    assert!(witness.is_home(PROGRAM));
    assert!(!witness.accept(PROGRAM, &home.copy(PROGRAM, 3).unwrap(), 3));
    home.merge_copy(PROGRAM, &witness.copy(PROGRAM, 3).unwrap(), 3);
    assert!(!home.is_home(PROGRAM));
}

/// A home that is asked for its role grants nothing more in its epoch.
#[test]
fn home_that_yields_its_role_takes_over_again() {
    let mut home = BudgetLedger::new(1, 1);
    home.take_over(PROGRAM, BUDGET, COMPLETE, 1);
    let epoch = home.yield_role(PROGRAM, process(2), 2).unwrap().epoch;
    assert!(!home.is_home(PROGRAM));
    home.take_over(PROGRAM, BUDGET, COMPLETE, 3);
    assert_eq!(home.copy(PROGRAM, 3).unwrap().epoch, epoch + 2);
}

/// Of two VMs that claim the role in the same epoch, both must choose the same one.
#[test]
fn one_of_two_homes_of_an_epoch_yields() {
    let mut ledgers = [1, 2].map(|vm| {
        let mut ledger = BudgetLedger::new(vm, 1);
        ledger.take_over(PROGRAM, BUDGET, COMPLETE, 1);
        ledger.set_witness(PROGRAM, process(3 - vm), |_| true, &NO_LOSSES, 1);
        ledger
    });
    let copies = ledgers
        .each_ref()
        .map(|ledger| ledger.copy(PROGRAM, 1).unwrap());
    let accepted = [
        ledgers[0].accept(PROGRAM, &copies[1], 1),
        ledgers[1].accept(PROGRAM, &copies[0], 1),
    ];
    assert_ne!(accepted[0], accepted[1]);
    let homes = ledgers.each_ref().map(|ledger| ledger.is_home(PROGRAM));
    assert_ne!(homes[0], homes[1]);
}

/// A home whose witness and another VM were lost can't know whether they had a later role, and a
/// former witness that may still run would later be taken for one that knows all (play 3709).
#[rstest]
#[case::witness_alone(&[loss(2, 50)], true, true)]
#[case::witness_may_run(&[loss(2, 50)], false, false)]
#[case::witness_and_another(&[loss(2, 50), loss(3, 60)], true, false)]
#[case::one_after_the_other(&[loss(2, 50), loss(3, 50 + 2 * WINDOW_MS)], true, true)]
#[case::own_absence(&[loss(1, 50), loss(2, 50)], true, true)]
fn home_replaces_its_witness_without_a_record(
    #[case] losses: &[VmLoss],
    #[case] has_ended: bool,
    #[case] is_allowed: bool,
) {
    let mut home = BudgetLedger::new(1, 1);
    home.take_over(PROGRAM, BUDGET, COMPLETE, 1);
    home.set_witness(PROGRAM, process(2), |_| true, &NO_LOSSES, 1);
    let facts = LossFacts {
        losses,
        ..NO_LOSSES
    };
    assert_eq!(
        home.set_witness(PROGRAM, process(4), |_| has_ended, &facts, 100),
        is_allowed
    );
}

/// A message to a witness that has restarted must not be answered by its next process.
#[test]
fn process_accepts_only_as_the_witness_that_is_meant() {
    let mut home = BudgetLedger::new(1, 1);
    home.take_over(PROGRAM, BUDGET, COMPLETE, 1);
    home.set_witness(PROGRAM, process(2), |_| true, &NO_LOSSES, 1);
    let copy = home.copy(PROGRAM, 1).unwrap();
    let accepted = [1, 2].map(|incarnation| {
        let mut witness = BudgetLedger::new(2, incarnation);
        witness.accept(PROGRAM, &copy, 1)
    });
    assert_eq!(accepted, [true, false]);
}
