//! Simulates the rate limits of a fleet of VMs in steps of virtual time.

use ibisdale_relay::decide::{ProgramStage, QuotaLedger, QuotaTolerance};
use rstest::rstest;

const WORKSPACE: u64 = 7;
const RATE_PER_S: f64 = 100.0;
const WINDOW_MS: u64 = 5_000;
const ROUND_MS: u64 = 250;
const STEP_MS: u64 = 10;
/// Time since a workspace's last admitted request up to which its counters are reported.
const REPORT_AGE_MS: u64 = 10_000;
/// Limit including the tolerated excess: (rate x window + burst) x 1.1 + 20.
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
    /// Network partition; VMs of different partitions can't reach each other.
    partition: u8,
}

struct QuotaFleet {
    vms: Vec<VmState>,
    now_ms: u64,
    admitted_at_ms: Vec<u64>,
    refused: u64,
    due_requests: f64,
    seed: u64,
    rate: f64,
}

impl QuotaFleet {
    fn new(size: usize) -> Self {
        let start = |_| VmState {
            ledger: ledger(true, RATE_PER_S),
            incarnation: 1,
            started_ms: 0,
            is_up: true,
            partition: 0,
        };
        Self {
            vms: (0..size).map(start).collect(),
            now_ms: 1,
            admitted_at_ms: Vec::new(),
            refused: 0,
            due_requests: 0.0,
            seed: 20_261_203,
            rate: RATE_PER_S,
        }
    }

    /// Sets the rate and the burst of the workspace on all VMs.
    fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        for vm in 0..self.vms.len() {
            let now_ms = self.uptime_ms(vm);
            let rates = [(WORKSPACE, rate, rate)].into_iter();
            self.vms[vm].ledger.set_rates(rates, now_ms);
        }
    }

    /// Returns the time since the VM's start.
    fn uptime_ms(&self, vm: usize) -> u64 {
        self.now_ms - self.vms[vm].started_ms
    }

    /// Restarts a VM, which gets the window and the counters of its live peers.
    fn restart(&mut self, vm: usize) {
        self.vms[vm] = VmState {
            ledger: ledger(false, self.rate),
            incarnation: self.now_ms,
            started_ms: self.now_ms - 1,
            is_up: true,
            partition: 0,
        };
        let snapshots: Vec<_> = (0..self.vms.len())
            .filter(|other| *other != vm && self.vms[*other].is_up)
            .map(|other| self.vms[other].ledger.snapshot(self.uptime_ms(other)))
            .collect();
        for snapshot in snapshots {
            self.vms[vm].ledger.apply_snapshot(&snapshot, 1);
        }
        for other in (0..self.vms.len()).filter(|other| *other != vm) {
            if self.vms[other].is_up {
                let counters = self.vms[other].ledger.reports(0);
                let incarnation = self.vms[other].incarnation;
                let ledger = &mut self.vms[vm].ledger;
                ledger.set_baseline(other as u64, incarnation, &counters);
            }
        }
    }

    /// Restarts all VMs at once, so that no VM knows the previous admissions.
    fn restart_all(&mut self) {
        self.vms.iter_mut().for_each(|vm| vm.is_up = false);
        for vm in 0..self.vms.len() {
            self.restart(vm);
            self.vms[vm].is_up = false;
        }
        self.vms.iter_mut().for_each(|vm| vm.is_up = true);
    }

    /// Exchanges the counters of all VMs that reach each other and starts a round.
    fn run_round(&mut self) {
        let up: Vec<usize> = (0..self.vms.len())
            .filter(|vm| self.vms[*vm].is_up)
            .collect();
        for &vm in &up {
            let partition = self.vms[vm].partition;
            let reachable: Vec<usize> = up
                .iter()
                .copied()
                .filter(|other| *other != vm && self.vms[*other].partition == partition)
                .collect();
            for &other in &reachable {
                let since_ms = self.uptime_ms(other).saturating_sub(REPORT_AGE_MS);
                let reports = self.vms[other].ledger.reports(since_ms);
                let incarnation = self.vms[other].incarnation;
                let is_older = incarnation + 3_000 < self.vms[vm].incarnation;
                let now_ms = self.uptime_ms(vm);
                let ledger = &mut self.vms[vm].ledger;
                ledger.record_peer_counters(other as u64, incarnation, is_older, &reports, now_ms);
            }
            let vm_count = u32::try_from(self.vms.len()).unwrap();
            let silent = vm_count - 1 - u32::try_from(reachable.len()).unwrap();
            let now_ms = self.uptime_ms(vm);
            self.vms[vm].ledger.set_vm_counts(vm_count, silent);
            self.vms[vm].ledger.start_round(now_ms);
        }
    }

    /// Sends `per_s` requests per second to random VMs that are up.
    fn send_requests(&mut self, duration_ms: u64, per_s: f64, stage: ProgramStage) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            if self.now_ms % ROUND_MS < STEP_MS {
                self.run_round();
            }
            self.due_requests += per_s * 0.01;
            while self.due_requests >= 1.0 {
                self.due_requests -= 1.0;
                let up: Vec<usize> = (0..self.vms.len())
                    .filter(|vm| self.vms[*vm].is_up)
                    .collect();
                let vm = up[self.next_random() % up.len()];
                match self.admit(vm, stage) {
                    Ok(()) => self.admitted_at_ms.push(self.now_ms),
                    Err(_) => self.refused += 1,
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    /// Admits a request at a VM or at the workspace's home, which is the first VM that
    /// this VM can reach.
    fn admit(&mut self, vm: usize, stage: ProgramStage) -> Result<(), u64> {
        let now_ms = self.uptime_ms(vm);
        if self.vms[vm].ledger.admit(WORKSPACE, stage, now_ms) {
            return Ok(());
        }
        let partition = self.vms[vm].partition;
        let home = (0..self.vms.len())
            .find(|vm| self.vms[*vm].is_up && self.vms[*vm].partition == partition);
        let home = home.unwrap();
        let now_ms = self.uptime_ms(home);
        let ledger = &mut self.vms[home].ledger;
        let admitted = ledger.admit_as_home(WORKSPACE, stage, 0, now_ms);
        admitted.map_err(|refusal| refusal.after_ms)
    }

    /// Returns a pseudo-random number, which selects the VM of a request.
    fn next_random(&mut self) -> usize {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        usize::try_from(self.seed >> 40).unwrap()
    }

    /// Returns the largest number of requests admitted in any window.
    fn max_requests_in_window(&self) -> u64 {
        let counts = self
            .admitted_at_ms
            .iter()
            .enumerate()
            .map(|(index, start)| {
                let end = self
                    .admitted_at_ms
                    .partition_point(|at| *at < start + WINDOW_MS);
                (end - index) as u64
            });
        counts.max().unwrap_or(0)
    }
}

fn ledger(is_first_start: bool, rate: f64) -> QuotaLedger {
    let mut ledger = QuotaLedger::new(tolerance(), is_first_start);
    ledger.set_rates([(WORKSPACE, rate, rate)].into_iter(), 1);
    ledger
}

#[rstest]
#[case(1)]
#[case(7)]
#[case(40)]
fn requests_below_the_limit_are_not_refused(#[case] size: usize) {
    let mut fleet = QuotaFleet::new(size);
    fleet.send_requests(20_000, 62.0, ProgramStage::UnderWay);
    assert_eq!(fleet.refused, 0);
}

#[rstest]
#[case(1)]
#[case(7)]
#[case(40)]
fn workspace_over_its_rate_is_limited(#[case] size: usize) {
    let mut fleet = QuotaFleet::new(size);
    fleet.send_requests(3_000, 60.0, ProgramStage::UnderWay);
    fleet.send_requests(15_000, 750.0, ProgramStage::UnderWay);
    let worst = fleet.max_requests_in_window();
    assert!(
        worst <= BOUND,
        "{worst} requests in a window, bound {BOUND}"
    );
}

/// In a large fleet the equal share of a small workspace is below one request.
#[test]
fn small_workspace_in_a_large_fleet_is_served_below_its_limit() {
    let mut fleet = QuotaFleet::new(54);
    fleet.set_rate(10.0);
    fleet.send_requests(20_000, 5.5, ProgramStage::Begins);
    assert_eq!(fleet.refused, 0);
    fleet.send_requests(10_000, 75.0, ProgramStage::UnderWay);
    // (10 x 5 + 10) x 1.1 + 20.
    let worst = fleet.max_requests_in_window();
    assert!(worst <= 86, "{worst} requests in a window, bound 86");
}

#[test]
fn running_programs_are_admitted_when_new_ones_are_refused() {
    let mut fleet = QuotaFleet::new(7);
    fleet.send_requests(10_000, 500.0, ProgramStage::Begins);
    assert!(fleet.refused > 0);
    fleet.refused = 0;
    fleet.send_requests(100, 300.0, ProgramStage::UnderWay);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn restarted_vm_refuses_nothing_below_the_limit() {
    let mut fleet = QuotaFleet::new(7);
    fleet.send_requests(10_000, 62.0, ProgramStage::Begins);
    for vm in [2, 3, 4] {
        fleet.restart(vm);
        fleet.send_requests(1_300, 62.0, ProgramStage::Begins);
    }
    fleet.send_requests(8_000, 62.0, ProgramStage::Begins);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn restart_of_all_vms_causes_no_refusals_below_the_limit() {
    let mut fleet = QuotaFleet::new(7);
    fleet.send_requests(10_000, 55.0, ProgramStage::UnderWay);
    fleet.restart_all();
    fleet.send_requests(10_000, 55.0, ProgramStage::UnderWay);
    assert_eq!(fleet.refused, 0);
    assert!(fleet.max_requests_in_window() <= BOUND);
}

#[test]
fn three_failed_vms_of_seven_leave_capacity_for_normal_traffic() {
    let mut fleet = QuotaFleet::new(7);
    fleet.send_requests(10_000, 62.0, ProgramStage::UnderWay);
    for vm in [0, 1, 2] {
        fleet.vms[vm].is_up = false;
    }
    fleet.send_requests(6_000, 62.0, ProgramStage::UnderWay);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn partitioned_halves_together_stay_within_the_limit() {
    let mut fleet = QuotaFleet::new(8);
    fleet.send_requests(10_000, 100.0, ProgramStage::UnderWay);
    for vm in 0..4 {
        fleet.vms[vm].partition = 1;
    }
    fleet.send_requests(12_000, 100.0, ProgramStage::UnderWay);
    let worst = fleet.max_requests_in_window();
    assert!(
        worst <= BOUND,
        "{worst} requests in a window, bound {BOUND}"
    );
}

#[test]
fn lower_rate_applies_from_the_next_round() {
    let mut fleet = QuotaFleet::new(7);
    fleet.send_requests(6_000, 90.0, ProgramStage::UnderWay);
    let now_ms = fleet.now_ms;
    for vm in &mut fleet.vms {
        vm.ledger
            .set_rates([(WORKSPACE, 10.0, 10.0)].into_iter(), now_ms);
    }
    fleet.send_requests(300, 90.0, ProgramStage::UnderWay);
    fleet.admitted_at_ms.clear();
    fleet.send_requests(10_000, 90.0, ProgramStage::UnderWay);
    // (10 x 5 + 10) x 1.1 + 20.
    assert!(fleet.max_requests_in_window() <= 86);
}

/// Guards against refusing a small workspace after a restart of all VMs; it was refused
/// for half a second.
#[test]
fn small_workspace_is_served_after_a_restart_of_a_large_fleet() {
    let mut fleet = QuotaFleet::new(59);
    fleet.set_rate(10.0);
    fleet.send_requests(10_000, 6.0, ProgramStage::UnderWay);
    fleet.restart_all();
    // The VMs don't know each other before the first round.
    fleet.run_round();
    fleet.send_requests(10_000, 6.0, ProgramStage::UnderWay);
    assert_eq!(fleet.refused, 0);
    // (10 x 5 + 10) x 1.1 + 20.
    let worst = fleet.max_requests_in_window();
    assert!(worst <= 86, "{worst} requests in a window, bound 86");
}

/// Simulated program that sends its calls one after the other.
struct ProgramRun {
    calls_left: u32,
    next_ms: u64,
    waited_ms: u64,
    is_started: bool,
}

/// Number of calls of a program.
const PROGRAM_CALLS: u32 = 11;
/// Time between two calls of a program.
const CALL_GAP_MS: u64 = 300;
/// Total waiting time after which a program is abandoned; abandoned programs that had
/// started count as late.
const MAX_WAIT_MS: u64 = 1_000;

/// Runs `per_s` new programs per second; returns how many finished in time and how many
/// started ones were late.
fn run_programs(fleet: &mut QuotaFleet, duration_ms: u64, per_s: f64) -> (u32, u32) {
    let end_ms = fleet.now_ms + duration_ms;
    let mut programs: Vec<ProgramRun> = Vec::new();
    let (mut in_time, mut late, mut due_requests) = (0, 0, 0.0);
    while fleet.now_ms < end_ms {
        if fleet.now_ms % ROUND_MS < STEP_MS {
            fleet.run_round();
        }
        due_requests += per_s * 0.01;
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            programs.push(ProgramRun {
                calls_left: PROGRAM_CALLS,
                next_ms: fleet.now_ms,
                waited_ms: 0,
                is_started: false,
            });
        }
        for program in &mut programs {
            if program.next_ms > fleet.now_ms {
                continue;
            }
            let stage = if program.is_started {
                ProgramStage::UnderWay
            } else {
                ProgramStage::Begins
            };
            let vm = fleet.next_random() % fleet.vms.len();
            match fleet.admit(vm, stage) {
                Ok(()) => {
                    fleet.admitted_at_ms.push(fleet.now_ms);
                    program.is_started = true;
                    program.calls_left -= 1;
                    program.next_ms += CALL_GAP_MS;
                }
                Err(wait_ms) => {
                    program.waited_ms += wait_ms;
                    program.next_ms += wait_ms;
                }
            }
        }
        programs.retain(|program| {
            let is_late = program.waited_ms > MAX_WAIT_MS;
            in_time += u32::from(program.calls_left == 0 && !is_late);
            late += u32::from(is_late && program.is_started);
            program.calls_left > 0 && !is_late
        });
        fleet.now_ms += STEP_MS;
    }
    (in_time, late)
}

/// Guards against starting more programs than the rate can serve to their end.
#[rstest]
#[case(7)]
#[case(59)]
fn started_programs_finish_in_time(#[case] size: usize) {
    let mut fleet = QuotaFleet::new(size);
    run_programs(&mut fleet, 10_000, 5.6);
    let (in_time, late) = run_programs(&mut fleet, 15_000, 40.0);
    // The rate serves 9 programs per second, and the last one to finish starts 12 s after
    // the first. When program starts were not limited and the home VM granted nothing,
    // 23 to 28 programs finished in time and 255 to 282 were late.
    assert!(late * 10 <= in_time, "{in_time} in time, {late} late");
    assert!(in_time >= 100, "{in_time} in time, {late} late");
    let worst = fleet.max_requests_in_window();
    assert!(worst <= BOUND, "{worst} requests in a window");
}

/// Guards against a restarted VM that assumes an even usage of the last window: it
/// admitted requests while those of a burst still counted (soak seeds 23 and 32).
#[rstest]
#[case::another_vm(2)]
#[case::home(0)]
fn restarted_vm_keeps_the_limit_after_a_burst(#[case] vm: usize) {
    let worst = (1_500..4_500).step_by(250).map(|burst_ms| {
        let mut fleet = QuotaFleet::new(3);
        fleet.set_rate(20.0);
        fleet.send_requests(burst_ms, 90.0, ProgramStage::UnderWay);
        fleet.restart(vm);
        fleet.send_requests(8_000, 90.0, ProgramStage::UnderWay);
        fleet.max_requests_in_window()
    });
    // (20 x 5 + 20) x 1.1 + 20.
    let worst = worst.max().unwrap();
    assert!(worst <= 152, "{worst} requests in a window, bound 152");
}

/// Guards against granting a workspace that has used its limit its burst again after a
/// restart of all VMs (soak seeds 29, 49 and 50).
#[rstest]
#[case(3, 20.0)]
#[case(7, 100.0)]
#[case(59, 20.0)]
fn start_of_all_vms_keeps_the_limit_of_a_busy_workspace(#[case] size: usize, #[case] rate: f64) {
    let worst = (2_000..6_000).step_by(250).map(|busy_ms| {
        let mut fleet = QuotaFleet::new(size);
        fleet.set_rate(rate);
        fleet.send_requests(busy_ms, 4.0 * rate, ProgramStage::UnderWay);
        fleet.restart_all();
        fleet.send_requests(8_000, 4.0 * rate, ProgramStage::UnderWay);
        fleet.max_requests_in_window()
    });
    let worst = worst.max().unwrap();
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small")]
    let bound = (rate * 6.0 * 1.1 + 20.0) as u64;
    assert!(
        worst <= bound,
        "{worst} requests in a window, bound {bound}"
    );
}

/// Guards against a limit on program starts that allows none if the window's limit is
/// below the number of requests of a program.
#[test]
fn workspace_whose_limit_is_below_one_program_still_starts_some() {
    let mut ledger = ledger(true, 1.0);
    let mut now_ms = 1;
    let mut starts_ms = Vec::new();
    // Each step offers one program start and 23 calls; a window admits 16 (limit 16.3).
    while now_ms < 240_000 {
        ledger.set_vm_counts(1, 0);
        ledger.start_round(now_ms);
        let stages = std::iter::once(ProgramStage::Begins)
            .chain(std::iter::repeat_n(ProgramStage::UnderWay, 23));
        for stage in stages {
            let is_admitted = ledger.admit(WORKSPACE, stage, now_ms)
                || ledger.admit_as_home(WORKSPACE, stage, 0, now_ms).is_ok();
            if stage == ProgramStage::Begins && is_admitted {
                starts_ms.push(now_ms);
            }
        }
        now_ms += 2_500;
    }
    let starts_near_end = starts_ms.iter().filter(|at_ms| **at_ms > 200_000).count();
    assert!(starts_near_end > 0, "{starts_ms:?}");
}

/// Guards against joining VMs that miss the first request that each peer admits after an
/// idle period. A run of fleetbench admitted 113 requests in a window where 112 are allowed;
/// in its replay, ten VMs that had just joined 59 others admitted 93 of the 106 requests of
/// the worst window.
#[test]
fn joining_vms_count_requests_of_peers_after_an_idle_period() {
    let mut fleet = QuotaFleet::new(69);
    fleet.set_rate(14.0);
    fleet.send_requests(6_000, 60.0, ProgramStage::UnderWay);
    fleet.send_requests(11_000, 1.0, ProgramStage::UnderWay);
    (59..69).for_each(|vm| fleet.restart(vm));
    fleet.send_requests(8_000, 60.0, ProgramStage::UnderWay);
    // (14 x 5 + 14) x 1.1 + 20.
    let worst = fleet.max_requests_in_window();
    assert!(worst <= 112, "{worst} requests in a window, bound 112");
}
