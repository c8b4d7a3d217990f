//! How long a version takes to reach all VMs from the first one that has it.
//!
//! Played in steps of a millisecond: VMs tell each other their version in gossip rounds, and serve it
//! over a link that all transfers share. Some VMs accept requests for it and serve none.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use ibisdale_relay::decide::{PeerRotation, ROUND_MS, SourceQueue};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const VERSION: u64 = 1;
/// Time of a transfer that has the link for itself: 25 kB at 30 Mbit/s.
const TRANSFER_MS: f64 = 7.0;
/// Time after which a request for the version is given up.
const TIMEOUT_MS: u64 = 1_000;
/// Time of a message from one VM to another.
const DELAY_MS: u64 = 3;
/// Time after which a play ends.
const END_MS: u64 = 20_000;

/// How VMs fetch and serve a version.
#[derive(Clone, Copy)]
struct FetchRule {
    /// Time after which another source is asked; `None` if only one is asked at a time.
    next_source_ms: Option<u64>,
    fetches_max: usize,
    transfers_max: usize,
    /// Number of VMs that are told at once of a version that was fetched.
    told: usize,
}

const ONE_SOURCE: FetchRule = FetchRule {
    next_source_ms: None,
    fetches_max: 1,
    transfers_max: usize::MAX,
    told: 0,
};

const SEVERAL_SOURCES: FetchRule = FetchRule {
    next_source_ms: Some(100),
    fetches_max: 8,
    transfers_max: 8,
    told: 8,
};

/// A request for the version at the VM that serves it.
struct Transfer {
    receiver: usize,
    left_ms: f64,
    begun_ms: u64,
}

struct SpreadVm {
    is_silent: bool,
    has_version_ms: Option<u64>,
    next_round_ms: u64,
    rotation: PeerRotation,
    sources: SourceQueue,
    fetches: usize,
    asked_ms: u64,
    transfers: VecDeque<Transfer>,
}

struct SpreadPlay {
    random: Pcg64,
    vms: Vec<SpreadVm>,
    /// Messages on their way: when they arrive, from whom and to whom.
    messages: VecDeque<(u64, usize, usize)>,
    rule: FetchRule,
}

impl SpreadPlay {
    fn new(size: usize, silent_share: f64, rule: FetchRule, random: &mut Pcg64) -> Self {
        let vms = (0..size).map(|index| SpreadVm {
            is_silent: index > 0 && random.random::<f64>() < silent_share,
            has_version_ms: None,
            next_round_ms: random.random_range(0..ROUND_MS),
            rotation: PeerRotation::default(),
            sources: SourceQueue::default(),
            fetches: 0,
            asked_ms: 0,
            transfers: VecDeque::new(),
        });
        let mut play = Self {
            vms: vms.collect(),
            random: Pcg64::seed_from_u64(random.random()),
            messages: VecDeque::new(),
            rule,
        };
        play.vms[0].has_version_ms = Some(0);
        play.messages
            .extend((1..size).map(|receiver| (DELAY_MS, 0, receiver)));
        play
    }

    /// Returns when the last VM that serves others has the version, in milliseconds.
    fn run(mut self) -> u64 {
        for now_ms in 1..END_MS {
            self.deliver_messages(now_ms);
            for vm in 0..self.vms.len() {
                self.begin_round(vm, now_ms);
                self.serve(vm, now_ms);
                self.ask(vm, now_ms);
            }
            let serving = self.vms.iter().filter(|vm| !vm.is_silent);
            let last = serving
                .map(|vm| vm.has_version_ms.unwrap_or(u64::MAX))
                .max();
            if let Some(last_ms) = last.filter(|last_ms| *last_ms < u64::MAX) {
                return last_ms;
            }
        }
        END_MS
    }

    fn deliver_messages(&mut self, now_ms: u64) {
        while let Some((_, sender, receiver)) =
            self.messages.pop_front_if(|(at_ms, ..)| *at_ms <= now_ms)
        {
            let vm = &mut self.vms[receiver];
            let is_asking_one = self.rule.next_source_ms.is_none() && vm.fetches > 0;
            if vm.has_version_ms.is_none() && !is_asking_one {
                vm.sources.offer(address(sender), VERSION);
            }
        }
    }

    fn begin_round(&mut self, vm: usize, now_ms: u64) {
        if self.vms[vm].next_round_ms > now_ms {
            return;
        }
        self.vms[vm].next_round_ms += ROUND_MS;
        let others: Vec<_> = (0..self.vms.len()).filter(|other| *other != vm).collect();
        let addresses: Vec<_> = others.into_iter().map(address).collect();
        let chosen = self.vms[vm].rotation.next_round(&addresses);
        if self.vms[vm].has_version_ms.is_some() {
            let receivers = chosen.iter().map(|peer| usize::from(peer.port()));
            let messages = receivers.map(|receiver| (now_ms + DELAY_MS, vm, receiver));
            self.messages.extend(messages);
        }
    }

    /// Shares a millisecond of the link among the transfers of a VM.
    fn serve(&mut self, vm: usize, now_ms: u64) {
        let mut transfers = std::mem::take(&mut self.vms[vm].transfers);
        // A VM that has the version closes its other requests.
        transfers.retain(|transfer| self.vms[transfer.receiver].has_version_ms.is_none());
        let is_silent = self.vms[vm].is_silent;
        let served = if is_silent {
            0
        } else {
            self.rule.transfers_max
        };
        let active = transfers.len().min(served);
        let share_ms = 1.0 / f64::from(u32::try_from(active.max(1)).unwrap());
        for transfer in transfers.iter_mut().take(active) {
            transfer.left_ms -= share_ms;
        }
        let mut done = Vec::new();
        transfers.retain(|transfer| {
            let is_done = transfer.left_ms <= 0.0;
            let is_given_up = now_ms >= transfer.begun_ms + TIMEOUT_MS;
            let receiver = &mut self.vms[transfer.receiver];
            if is_done {
                receiver.has_version_ms.get_or_insert(now_ms);
                done.push(transfer.receiver);
            } else if is_given_up {
                receiver.fetches -= 1;
                receiver.sources.end(address(vm));
            }
            !is_done && !is_given_up
        });
        self.vms[vm].transfers = transfers;
        for adopter in done {
            for _ in 0..self.rule.told {
                let to = self.random.random_range(0..self.vms.len());
                self.messages.push_back((now_ms + DELAY_MS, adopter, to));
            }
        }
    }

    fn ask(&mut self, vm: usize, now_ms: u64) {
        let rule = self.rule;
        let asking = &mut self.vms[vm];
        let is_due = rule
            .next_source_ms
            .is_some_and(|next_ms| now_ms >= asking.asked_ms + next_ms);
        let may_ask = asking.fetches == 0 || is_due && asking.fetches < rule.fetches_max;
        if asking.has_version_ms.is_some() || !may_ask {
            return;
        }
        let tries_max = if rule.next_source_ms.is_some() {
            3
        } else {
            u32::MAX
        };
        if let Some((source, _)) = asking.sources.take(0, tries_max, self.random.random()) {
            asking.fetches += 1;
            asking.asked_ms = now_ms;
            if rule.next_source_ms.is_none() {
                asking.sources = SourceQueue::default();
            }
            let transfer = Transfer {
                receiver: vm,
                left_ms: TRANSFER_MS,
                begun_ms: now_ms,
            };
            self.vms[usize::from(source.port())]
                .transfers
                .push_back(transfer);
        }
    }
}

/// Returns the address of a VM, whose port is its number.
fn address(vm: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, u16::try_from(vm).unwrap())
}

#[test]
fn version_reaches_all_vms_that_serve_although_most_of_its_sources_do_not() {
    let mut lines = Vec::new();
    for size in [7, 77, 300] {
        for silent_share in [0.0, 0.3, 0.6] {
            let last_ms = [ONE_SOURCE, SEVERAL_SOURCES].map(|rule| {
                let mut random = Pcg64::seed_from_u64(20_261_208);
                let plays =
                    (0..4).map(|_| SpreadPlay::new(size, silent_share, rule, &mut random).run());
                plays.max().unwrap_or(END_MS)
            });
            let [one, several] = last_ms;
            lines.push(format!(
                "{size} VMs, {silent_share} silent: {one} ms from one source, {several} ms from several"
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"), @"
    7 VMs, 0 silent: 45 ms from one source, 45 ms from several
    7 VMs, 0.3 silent: 45 ms from one source, 45 ms from several
    7 VMs, 0.6 silent: 45 ms from one source, 45 ms from several
    77 VMs, 0 silent: 535 ms from one source, 231 ms from several
    77 VMs, 0.3 silent: 535 ms from one source, 319 ms from several
    77 VMs, 0.6 silent: 535 ms from one source, 339 ms from several
    300 VMs, 0 silent: 2509 ms from one source, 241 ms from several
    300 VMs, 0.3 silent: 4325 ms from one source, 379 ms from several
    300 VMs, 0.6 silent: 4309 ms from one source, 586 ms from several
    ");
}
