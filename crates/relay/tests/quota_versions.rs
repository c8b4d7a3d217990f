//! Counts of workspaces across versions of the configuration.

use ibisdale_relay::decide::{ProgramStage, QuotaLedger, QuotaTolerance};

const WORKSPACE: u64 = 7;
const RATE_PER_S: f64 = 20.0;
const BURST: f64 = 20.0;
/// Requests allowed in a window, with all that is tolerated.
const BOUND: usize = 152;

fn ledger(is_first_start: bool) -> QuotaLedger {
    let tolerance = QuotaTolerance {
        window_s: 5.0,
        excess: 0.1,
        slack: 20.0,
    };
    let mut ledger = QuotaLedger::new(tolerance, is_first_start);
    ledger.set_vm_counts(1, 0);
    ledger
}

/// Applies a version that has the workspace with `rate_per_s`, or lacks it.
fn apply(ledger: &mut QuotaLedger, rate_per_s: Option<f64>, now_ms: u64) {
    let rates = rate_per_s.map(|rate_per_s| (WORKSPACE, rate_per_s, BURST));
    ledger.set_rates(rates.into_iter(), now_ms);
    ledger.start_round(now_ms);
}

/// Returns how many of many requests are admitted in a round.
fn admit_all(ledger: &mut QuotaLedger, now_ms: u64) -> usize {
    ledger.start_round(now_ms);
    let mut admit = |_: &usize| {
        ledger.admit(WORKSPACE, ProgramStage::UnderWay, now_ms)
            || ledger
                .admit_as_home(WORKSPACE, ProgramStage::UnderWay, 0, now_ms)
                .is_ok()
    };
    (0..1_000).filter(|number| admit(number)).count()
}

/// Guards against a limit that starts anew when a version lacks a workspace and the next one has it
/// again (review 3, `quota-readded`).
#[test]
fn workspace_that_was_away_for_a_version_keeps_its_counts() {
    let mut ledger = ledger(true);
    apply(&mut ledger, Some(RATE_PER_S), 1);
    let before = admit_all(&mut ledger, 1_000);
    apply(&mut ledger, None, 1_250);
    let meanwhile = admit_all(&mut ledger, 1_500);
    apply(&mut ledger, Some(RATE_PER_S), 1_950);
    let after = admit_all(&mut ledger, 2_200);
    assert!(before > 50, "{before}");
    assert!(
        before + meanwhile + after <= BOUND,
        "{before}, {meanwhile} and {after} admitted"
    );
}

/// Guards against counters that start anew within a process, which other VMs take for old ones.
#[test]
fn counters_of_a_workspace_that_was_away_do_not_start_anew() {
    let mut ledger = ledger(true);
    apply(&mut ledger, Some(RATE_PER_S), 1);
    admit_all(&mut ledger, 1_000);
    let before = ledger.reports(0)[0].admitted;
    apply(&mut ledger, None, 1_250);
    apply(&mut ledger, Some(RATE_PER_S), 20_000);
    assert!(admit_all(&mut ledger, 20_250) > 0);
    assert!(ledger.reports(0)[0].admitted > before);
}
