//! Grants of a home for requests to limited replicas.

use ibisdale_relay::decide::{GrantCandidate, GrantLedger, GrantOutcome, GrantQuery, GrantShare};

const SERVICE: u64 = 1;
const WHOLE: GrantShare = GrantShare {
    rank: 0,
    vm_count: 8,
    silent_count: 0,
    returned_count: 0,
    is_settled: true,
};

/// Asks for a grant for one of two replicas, which name `per_s` requests per second.
fn ask(
    ledger: &mut GrantLedger,
    per_s: f64,
    (affinity, work): (Option<u64>, u64),
    share: GrantShare,
    now_ms: u64,
) -> GrantOutcome {
    let per_s = Some(per_s);
    let candidates = [1, 2].map(|start| GrantCandidate {
        start,
        per_s,
        is_cold: false,
    });
    let query = GrantQuery {
        service: SERVICE,
        affinity,
        work,
        candidates: &candidates,
        is_refusal_final: affinity.is_none(),
    };
    ledger.grant(&query, share, now_ms)
}

/// Guards against homes that together grant more than a limit (incident LIMIT).
#[test]
fn home_grants_its_part_of_the_limits() {
    let shares = [(0, 0), (1, 0), (2, 0), (9, 0), (0, 4), (1, 6)];
    let granted = shares.map(|(rank, silent_count)| {
        let share = GrantShare {
            rank,
            silent_count,
            ..WHOLE
        };
        let mut ledger = GrantLedger::default();
        let asked = (0..2_000).map(|step| ask(&mut ledger, 2.0, (None, 0), share, step * 10));
        asked
            .filter(|outcome| matches!(outcome, GrantOutcome::Granted(_)))
            .count()
    });
    // Of two replicas that take 2 requests a second each, in 20 s.
    assert_eq!(granted, [78, 18, 6, 6, 38, 4]);
}

#[test]
fn refused_requests_return_one_after_the_other() {
    let mut ledger = GrantLedger::default();
    let outcomes = [0; 5].map(|now_ms| ask(&mut ledger, 2.0, (None, 0), WHOLE, now_ms));
    let expected = [250, 500, 750, 1_000, 1_250];
    let expected = expected.map(|after_ms| GrantOutcome::NoRoom { after_ms });
    assert_eq!(outcomes, expected);
}

#[test]
fn program_goes_on_where_it_began() {
    let mut ledger = GrantLedger::default();
    ask(&mut ledger, 4.0, (Some(7), 100), WHOLE, 0);
    let outcomes = [2_000, 2_010, 2_020, 2_030].map(|now_ms| {
        let other = ask(&mut ledger, 4.0, (Some(now_ms), 100), WHOLE, now_ms);
        let program = ask(&mut ledger, 4.0, (Some(7), 100), WHOLE, now_ms);
        [other, program].map(|outcome| match outcome {
            GrantOutcome::Granted(start) => start,
            GrantOutcome::NoRoom { .. } => 0,
        })
    });
    // The first replica has no room for a second program to begin, the second one has.
    assert_eq!(outcomes, [[1, 2], [0, 2], [0, 2], [0, 2]]);
}

#[test]
fn program_with_more_work_begins_with_less_room() {
    let begins = [50, 100, 400].map(|work| {
        let mut ledger = GrantLedger::default();
        for step in 0..50 {
            ask(&mut ledger, 4.0, (Some(step), 100), WHOLE, 0);
        }
        let mut times = (0..200).map(|step| step * 10);
        times.find(|now_ms| {
            let outcome = ask(&mut ledger.clone(), 4.0, (Some(99), work), WHOLE, *now_ms);
            matches!(outcome, GrantOutcome::Granted(_))
        })
    });
    assert_eq!(begins, [Some(1_250), Some(1_250), Some(950)]);
}
