//! Rates of workspaces over several VMs, played in steps of simulated time.

use ibisdale_relay::decide::{ProgramStage, QuotaLedger, QuotaTolerance};
use rstest::rstest;

const WORKSPACE: u64 = 7;
const RATE_PER_S: f64 = 100.0;
const BURST: f64 = 100.0;
const WINDOW_MS: u64 = 5_000;
const ROUND_MS: u64 = 250;
const STEP_MS: u64 = 10;
/// The rule's bound: (rate x window + burst) x 1.1 + 20.
const BOUND: u64 = 680;

fn tolerance() -> QuotaTolerance {
    QuotaTolerance {
        window_s: 5.0,
        excess: 0.1,
        slack: 20.0,
    }
}

struct VmState {
    ledger: QuotaLedger,
    incarnation: u64,
    started_ms: u64,
    is_up: bool,
    /// Half of the fleet that it can reach.
    side: u8,
}

struct QuotaFleet {
    vms: Vec<VmState>,
    now_ms: u64,
    admitted: Vec<u64>,
    refused: u64,
    credit: f64,
    seed: u64,
}

impl QuotaFleet {
    fn new(size: usize) -> Self {
        let start = |_| VmState {
            ledger: ledger(true, 1),
            incarnation: 1,
            started_ms: 0,
            is_up: true,
            side: 0,
        };
        Self {
            vms: (0..size).map(start).collect(),
            now_ms: 1,
            admitted: Vec::new(),
            refused: 0,
            credit: 0.0,
            seed: 20_261_203,
        }
    }

    /// Sets rate and burst of the workspace on all VMs.
    fn set_rate(&mut self, rate: f64) {
        for vm in 0..self.vms.len() {
            let now_ms = self.own_ms(vm);
            let rates = [(WORKSPACE, rate, rate)].into_iter();
            self.vms[vm].ledger.set_rates(rates, now_ms);
        }
    }

    fn own_ms(&self, vm: usize) -> u64 {
        self.now_ms - self.vms[vm].started_ms
    }

    fn restart(&mut self, vm: usize) {
        self.vms[vm] = VmState {
            ledger: ledger(false, 1),
            incarnation: self.now_ms,
            started_ms: self.now_ms - 1,
            is_up: true,
            side: 0,
        };
        let snapshots: Vec<_> = (0..self.vms.len())
            .filter(|other| *other != vm && self.vms[*other].is_up)
            .map(|other| self.vms[other].ledger.snapshot())
            .collect();
        for snapshot in snapshots {
            self.vms[vm].ledger.adopt(&snapshot, 1);
        }
    }

    fn round(&mut self) {
        let up: Vec<usize> = (0..self.vms.len())
            .filter(|vm| self.vms[*vm].is_up)
            .collect();
        for &vm in &up {
            let side = self.vms[vm].side;
            let heard: Vec<usize> = up
                .iter()
                .copied()
                .filter(|other| *other != vm && self.vms[*other].side == side)
                .collect();
            for &other in &heard {
                let reports = self.vms[other].ledger.reports(0);
                let incarnation = self.vms[other].incarnation;
                let is_older = incarnation + 3_000 < self.vms[vm].incarnation;
                let now_ms = self.own_ms(vm);
                let ledger = &mut self.vms[vm].ledger;
                ledger.record(other as u64, incarnation, is_older, &reports, now_ms);
            }
            let sharers = u32::try_from(self.vms.len()).unwrap();
            let silent = sharers - 1 - u32::try_from(heard.len()).unwrap();
            let now_ms = self.own_ms(vm);
            self.vms[vm].ledger.set_sharers(sharers, silent);
            self.vms[vm].ledger.start_round(now_ms);
        }
    }

    /// Sends `per_s` requests a second, spread over the VMs that are up.
    fn play(&mut self, span_ms: u64, per_s: f64, stage: ProgramStage) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            if self.now_ms % ROUND_MS < STEP_MS {
                self.round();
            }
            self.credit += per_s * 0.01;
            while self.credit >= 1.0 {
                self.credit -= 1.0;
                let up: Vec<usize> = (0..self.vms.len())
                    .filter(|vm| self.vms[*vm].is_up)
                    .collect();
                let vm = up[self.draw() % up.len()];
                let now_ms = self.own_ms(vm);
                match self.vms[vm].ledger.admit(WORKSPACE, stage, now_ms) {
                    Ok(()) => self.admitted.push(self.now_ms),
                    Err(_) => self.refused += 1,
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    /// Draws the VM that a caller has chosen.
    fn draw(&mut self) -> usize {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        usize::try_from(self.seed >> 40).unwrap()
    }

    fn worst_window(&self) -> u64 {
        let counts = self.admitted.iter().enumerate().map(|(index, start)| {
            let end = self.admitted.partition_point(|at| *at < start + WINDOW_MS);
            (end - index) as u64
        });
        counts.max().unwrap_or(0)
    }
}

fn ledger(is_first_start: bool, now_ms: u64) -> QuotaLedger {
    let mut ledger = QuotaLedger::new(tolerance(), is_first_start);
    ledger.set_rates([(WORKSPACE, RATE_PER_S, BURST)].into_iter(), now_ms);
    ledger
}

#[rstest]
#[case(1)]
#[case(7)]
#[case(40)]
fn requests_below_the_limit_are_not_refused(#[case] size: usize) {
    let mut fleet = QuotaFleet::new(size);
    fleet.play(20_000, 62.0, ProgramStage::UnderWay);
    assert_eq!(fleet.refused, 0);
}

#[rstest]
#[case(1)]
#[case(7)]
#[case(40)]
fn workspace_that_sends_many_times_its_rate_is_held_to_it(#[case] size: usize) {
    let mut fleet = QuotaFleet::new(size);
    fleet.play(3_000, 60.0, ProgramStage::UnderWay);
    fleet.play(15_000, 750.0, ProgramStage::UnderWay);
    let worst = fleet.worst_window();
    assert!(
        worst <= BOUND,
        "{worst} requests in a window, bound {BOUND}"
    );
}

/// The equal part of a small workspace among many VMs is below one request.
#[test]
fn small_workspace_in_a_large_fleet_is_served_below_its_limit() {
    let mut fleet = QuotaFleet::new(54);
    fleet.set_rate(10.0);
    fleet.play(20_000, 5.5, ProgramStage::Begins);
    assert_eq!(fleet.refused, 0);
    fleet.play(10_000, 75.0, ProgramStage::UnderWay);
    // (10 x 5 + 10) x 1.1 + 20.
    let worst = fleet.worst_window();
    assert!(worst <= 86, "{worst} requests in a window, bound 86");
}

#[test]
fn programs_under_way_are_admitted_when_new_ones_no_longer_are() {
    let mut fleet = QuotaFleet::new(7);
    fleet.play(10_000, 500.0, ProgramStage::Begins);
    assert!(fleet.refused > 0);
    fleet.refused = 0;
    fleet.play(100, 300.0, ProgramStage::UnderWay);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn vm_that_restarts_refuses_nothing_below_the_limit() {
    let mut fleet = QuotaFleet::new(7);
    fleet.play(10_000, 62.0, ProgramStage::Begins);
    for vm in [2, 3, 4] {
        fleet.restart(vm);
        fleet.play(1_300, 62.0, ProgramStage::Begins);
    }
    fleet.play(8_000, 62.0, ProgramStage::Begins);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn start_of_all_vms_refuses_nothing_below_the_limit() {
    let mut fleet = QuotaFleet::new(7);
    fleet.play(10_000, 55.0, ProgramStage::UnderWay);
    (0..7).for_each(|vm| fleet.restart(vm));
    fleet.play(10_000, 55.0, ProgramStage::UnderWay);
    assert_eq!(fleet.refused, 0);
    assert!(fleet.worst_window() <= BOUND);
}

#[test]
fn three_dead_vms_of_seven_leave_room_for_usual_traffic() {
    let mut fleet = QuotaFleet::new(7);
    fleet.play(10_000, 62.0, ProgramStage::UnderWay);
    for vm in [0, 1, 2] {
        fleet.vms[vm].is_up = false;
    }
    fleet.play(6_000, 62.0, ProgramStage::UnderWay);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn halves_that_do_not_hear_each_other_keep_the_limit_together() {
    let mut fleet = QuotaFleet::new(8);
    fleet.play(10_000, 100.0, ProgramStage::UnderWay);
    for vm in 0..4 {
        fleet.vms[vm].side = 1;
    }
    fleet.play(12_000, 100.0, ProgramStage::UnderWay);
    let worst = fleet.worst_window();
    assert!(
        worst <= BOUND,
        "{worst} requests in a window, bound {BOUND}"
    );
}

#[test]
fn lower_rate_binds_from_the_next_round() {
    let mut fleet = QuotaFleet::new(7);
    fleet.play(6_000, 90.0, ProgramStage::UnderWay);
    let now_ms = fleet.now_ms;
    for vm in &mut fleet.vms {
        vm.ledger
            .set_rates([(WORKSPACE, 10.0, 10.0)].into_iter(), now_ms);
    }
    fleet.play(300, 90.0, ProgramStage::UnderWay);
    fleet.admitted.clear();
    fleet.play(10_000, 90.0, ProgramStage::UnderWay);
    // (10 x 5 + 10) x 1.1 + 20.
    assert!(fleet.worst_window() <= 86);
}
