//! Token budgets of programs, counted by their homes.

use ibisdale_relay::decide::{BudgetBook, BudgetShare, BudgetVerdict, ClaimStep, StoredCeiling};
use rstest::rstest;

const PROGRAM: u64 = 42;
const BUDGET: u64 = 1_000;
const CALL: u64 = 100;
const REMEMBER_MS: u64 = 65_000;

fn home() -> BudgetBook {
    BudgetBook::new(1, 1_000)
}

fn ask(book: &mut BudgetBook, now_ms: u64) -> BudgetVerdict {
    let share = book.reserve(PROGRAM, CALL, now_ms);
    book.decide(PROGRAM, BUDGET, CALL, share, now_ms)
}

/// Asks as the daemon does: a ceiling that is needed is stored.
fn ask_storing(book: &mut BudgetBook, stored: &mut Option<u64>) -> bool {
    for _ in 0..2 {
        match ask_again(book) {
            BudgetVerdict::Granted { .. } => return true,
            BudgetVerdict::Spent { .. } => break,
            BudgetVerdict::NeedsCeiling { ceiling } => {
                *stored = Some(ceiling);
                book.record_ceiling(PROGRAM, ceiling);
            }
        }
    }
    book.settle(PROGRAM, CALL, 0, 1);
    false
}

fn ask_again(book: &mut BudgetBook) -> BudgetVerdict {
    let own = book.shares(PROGRAM).into_iter().find(|share| share.vm == 1);
    let share = match own {
        Some(share) if share.reserved > 0 => share,
        _ => book.reserve(PROGRAM, CALL, 1),
    };
    book.decide(PROGRAM, BUDGET, CALL, share, 1)
}

#[test]
fn first_call_is_told_from_later_ones() {
    let mut book = home();
    book.take_over(PROGRAM, BUDGET, false, 1);
    assert_eq!(ask(&mut book, 1), BudgetVerdict::Granted { is_first: true });
    assert_eq!(
        ask(&mut book, 2),
        BudgetVerdict::Granted { is_first: false }
    );
}

#[test]
fn calls_beyond_the_free_part_need_a_stored_ceiling() {
    let mut book = home();
    book.take_over(PROGRAM, BUDGET, false, 1);
    let verdicts: Vec<_> = (0..5).map(|_| ask(&mut book, 1)).collect();
    insta::assert_debug_snapshot!(verdicts, @r"
    [
        Granted {
            is_first: true,
        },
        Granted {
            is_first: false,
        },
        Granted {
            is_first: false,
        },
        Granted {
            is_first: false,
        },
        NeedsCeiling {
            ceiling: 830,
        },
    ]
    ");
}

#[test]
fn budget_holds_no_call_more_than_its_tokens() {
    let mut book = home();
    let mut stored = None;
    book.take_over(PROGRAM, BUDGET, false, 1);
    let mut handed_out = 0;
    while ask_storing(&mut book, &mut stored) {
        book.settle(PROGRAM, CALL, CALL, 1);
        handed_out += CALL;
        assert!(handed_out <= BUDGET);
    }
    assert_eq!(handed_out, BUDGET);
    assert_eq!(stored, Some(BUDGET));
}

#[test]
fn reservation_of_a_refused_call_does_not_count() {
    let mut book = home();
    book.take_over(PROGRAM, BUDGET, false, 1);
    let foreign = BudgetShare {
        vm: 2,
        incarnation: 1,
        sequence: 1,
        spent: 0,
        reserved: BUDGET + 1,
    };
    let verdict = book.decide(PROGRAM, BUDGET, BUDGET + 1, foreign, 1);
    assert_eq!(verdict, BudgetVerdict::Spent { total: 0 });
    assert_eq!(book.total(PROGRAM), 0);
}

/// The home's own pending call once lowered what was assumed to be lost, so that
/// a program got more than its budget and one call.
#[rstest]
#[case::without_ceiling(None)]
#[case::with_ceiling(Some(830))]
fn tokens_over_a_loss_of_all_vms_stay_within_budget_and_one_call(#[case] ceiling: Option<u64>) {
    // Most that can have been handed out without a further ceiling.
    let before = ceiling.unwrap_or(BUDGET * 33 / 100) + CALL;
    let mut book = home();
    if let Some(ceiling) = ceiling {
        book.record_ceiling(PROGRAM, ceiling);
    }
    let mut stored = ceiling;
    let first = book.reserve(PROGRAM, CALL, 1);
    book.take_over(PROGRAM, BUDGET, true, 1);
    book.decide(PROGRAM, BUDGET, CALL, first, 1);
    book.settle(PROGRAM, CALL, 0, 1);
    let mut after = 0;
    while ask_storing(&mut book, &mut stored) {
        book.settle(PROGRAM, CALL, CALL, 1);
        after += CALL;
    }
    assert!(before + after <= BUDGET + CALL, "{before} + {after}");
}

#[test]
fn shares_of_a_dead_home_come_back_from_where_the_program_has_been() {
    let mut dead = home();
    dead.take_over(PROGRAM, BUDGET, false, 1);
    dead.reserve(PROGRAM, CALL, 1);
    dead.settle(PROGRAM, CALL, CALL, 1);
    let mut edge = BudgetBook::new(2, 1_000);
    edge.merge(PROGRAM, &dead.shares(PROGRAM), 1);
    edge.reserve(PROGRAM, CALL, 1);
    let mut next = BudgetBook::new(3, 1_000);
    next.merge(PROGRAM, &edge.shares(PROGRAM), 2);
    next.take_over(PROGRAM, BUDGET, false, 2);
    assert_eq!(next.total(PROGRAM), 2 * CALL);
}

#[test]
fn older_news_of_a_share_changes_nothing() {
    let mut book = home();
    let mut other = BudgetBook::new(2, 1_000);
    let early = other.reserve(PROGRAM, CALL, 1);
    let late = other.settle(PROGRAM, CALL, 30, 1);
    book.merge(PROGRAM, &[late], 1);
    book.merge(PROGRAM, &[early], 1);
    assert_eq!(book.total(PROGRAM), 30);
}

#[test]
fn programs_are_forgotten_after_their_time() {
    let mut book = home();
    book.reserve(PROGRAM, CALL, 1);
    book.settle(PROGRAM, CALL, 10, 1);
    book.forget(REMEMBER_MS, REMEMBER_MS);
    assert_eq!(book.total(PROGRAM), 10);
    book.forget(REMEMBER_MS, REMEMBER_MS + 1);
    assert_eq!(book.total(PROGRAM), 0);
}

/// Grants calls of 8 tokens at a home until it needs a ceiling that it does not get;
/// returns the tokens granted.
fn grant_all(
    book: &mut BudgetBook,
    asker: u64,
    stored: &mut Option<StoredCeiling>,
    most: usize,
) -> u64 {
    let mut share = BudgetShare {
        vm: asker,
        incarnation: 1,
        sequence: 0,
        spent: 0,
        reserved: 0,
    };
    for _ in 0..most {
        share.sequence += 1;
        share.reserved += 8;
        let mut verdict = book.decide(9, 40, 8, share, 1);
        if let BudgetVerdict::NeedsCeiling { ceiling } = verdict {
            let claim = book.claim(9, ceiling);
            match claim.compare(*stored) {
                ClaimStep::Taken => return share.reserved - 8,
                ClaimStep::Done => {}
                ClaimStep::Write => {
                    *stored = Some(StoredCeiling {
                        ceiling,
                        owner: claim.owner,
                    });
                }
            }
            book.record_ceiling(9, ceiling);
            verdict = book.decide(9, 40, 8, share, 1);
        }
        if !matches!(verdict, BudgetVerdict::Granted { .. }) {
            return share.reserved - 8;
        }
    }
    share.reserved
}

/// Found by the soak (seed 3): while a home was paused, two others took its place and
/// shared a ceiling; 56 tokens were handed out of 40.
#[test]
fn homes_at_the_same_time_hand_out_one_call_too_much_at_most() {
    let mut stored = None;
    let mut home = BudgetBook::new(1, 1);
    home.take_over(9, 40, false, 1);
    let mut total = grant_all(&mut home, 11, &mut stored, 2);
    for vm in [2, 3] {
        let mut other = BudgetBook::new(vm, 1);
        other.take_over(9, 40, true, 1);
        total += grant_all(&mut other, 10 + vm, &mut stored, 4);
    }
    assert!(total <= 48, "{total} tokens of 40, 8 a call");
}
