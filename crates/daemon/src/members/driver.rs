//! The task that owns the member table.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use ibisdale_fleet::{FleetHandlers, FleetLinks};
use ibisdale_net::TrafficExecutor;
use ibisdale_policy::{MemberFacts, MemberOptions, MemberState, MemberTable, ProbeKind};
use ibisdale_telemetry::record_event;
use rand::Rng;
use rand::rngs::SmallRng;

use super::handle::{MemberHandle, MemberMessage, MemberSnapshot};
use super::probe::{ProbeClient, ProbeTask};
use crate::clock::unix_now;
use crate::control::ControlHandle;
use crate::settings_feed::SettingsFeed;

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the interval by which probes of different daemons are spread.
const PROBE_JITTER: f64 = 0.2;
/// Members asked to probe one that did not answer.
const PROXIES: usize = 2;

/// What the membership starts with.
#[derive(Debug)]
pub(crate) struct MemberSettings {
    /// What this daemon tells of itself.
    pub(crate) facts: MemberFacts,
    /// Raised at each start of this daemon.
    pub(crate) incarnation: u64,
    /// Random numbers.
    pub(crate) random: SmallRng,
}

struct MemberDriver {
    table: MemberTable,
    random: SmallRng,
    probes: Arc<ProbeClient>,
    executor: TrafficExecutor,
    snapshot: Arc<ArcSwap<MemberSnapshot>>,
    revision_seen: Sender<u64>,
}

/// Starts the membership on the control thread.
///
/// `revision_seen` gets settings revisions of other daemons that are higher
/// than this daemon's.
pub(crate) fn start_members(
    settings: MemberSettings,
    control: &ControlHandle,
    links: &FleetLinks,
    feed: &SettingsFeed,
    executor: &TrafficExecutor,
    revision_seen: Sender<u64>,
) -> MemberHandle {
    let (sender, receiver) = async_channel::unbounded();
    let snapshot = Arc::new(ArcSwap::from_pointee(MemberSnapshot::default()));
    let members = MemberHandle::new(sender, Arc::clone(&snapshot));
    let options = MemberOptions::default();
    let driver = MemberDriver {
        table: MemberTable::new(settings.facts, settings.incarnation, options),
        random: settings.random,
        probes: Arc::new(ProbeClient {
            links: links.clone(),
            members: members.clone(),
            feed: feed.clone(),
        }),
        executor: TrafficExecutor::clone(executor),
        snapshot,
        revision_seen,
    };
    control.spawn(driver.run(receiver));
    members
}

impl MemberHandle {
    /// Adds the handlers of other daemons' probes.
    pub(crate) fn add_handlers(
        &self,
        handlers: FleetHandlers,
        links: &FleetLinks,
        feed: &SettingsFeed,
    ) -> FleetHandlers {
        let probes = Arc::new(ProbeClient {
            links: links.clone(),
            members: self.clone(),
            feed: feed.clone(),
        });
        let indirect = Arc::clone(&probes);
        handlers
            .ping(move |request| {
                let probes = Arc::clone(&probes);
                async move { Ok(probes.answer(request).await) }
            })
            .ping_indirect(move |request| {
                let probes = Arc::clone(&indirect);
                async move { Ok(probes.answer_indirect(request).await) }
            })
    }
}

impl MemberDriver {
    async fn run(mut self, receiver: Receiver<MemberMessage>) {
        self.publish();
        let mut next_probe = Instant::now();
        loop {
            let timer = async {
                smol::Timer::at(next_probe).await;
                None
            };
            let message = async { Some(receiver.recv().await) };
            match message.or(timer).await {
                Some(Ok(message)) => self.handle(message),
                Some(Err(_)) => return,
                None => {
                    self.probe();
                    let factor = self
                        .random
                        .random_range(1.0 - PROBE_JITTER..1.0 + PROBE_JITTER);
                    next_probe = Instant::now() + PROBE_INTERVAL.mul_f64(factor);
                }
            }
            self.publish();
        }
    }

    fn handle(&mut self, message: MemberMessage) {
        let now = unix_now();
        match message {
            MemberMessage::Exchange(updates, reply) => {
                let sender = updates.first().map(|update| update.facts.fleet_address);
                self.merge(updates);
                let address = sender.unwrap_or(self.table.own_update().facts.fleet_address);
                let _ = reply.try_send(self.table.updates_to_send(address));
            }
            MemberMessage::Outgoing(address, reply) => {
                let _ = reply.try_send(self.table.updates_to_send(address));
            }
            MemberMessage::Answered(updates) => self.merge(updates),
            MemberMessage::Unanswered(key) => {
                if let Some(name) = self.table.get_name(key) {
                    record_event!(MemberSuspect, daemon = name);
                }
                self.table.suspect(key, now);
            }
            MemberMessage::Proposed(addresses) => self.table.set_candidates(&addresses),
            MemberMessage::Revision(revision) => self.table.set_revision(revision),
            MemberMessage::Drain => self.table.start_drain(),
        }
    }

    fn merge(&mut self, updates: Vec<ibisdale_policy::MemberUpdate>) {
        let now = unix_now();
        let own_revision = self.table.own_update().facts.settings_revision;
        for update in updates {
            if update.facts.settings_revision > own_revision {
                // A full channel means that a fetch is due anyway.
                let _ = self.revision_seen.try_send(update.facts.settings_revision);
            }
            let known = self
                .table
                .get(&update.facts.name)
                .map(|member| member.state);
            if known != Some(update.state) {
                record_state(&update);
            }
            self.table.merge(update, now);
        }
    }

    fn probe(&mut self) {
        for name in self.table.expire(unix_now()) {
            record_event!(MemberDead, daemon = name);
        }
        let Some(order) = self.table.next_probe(&mut self.random) else {
            return;
        };
        let proxies = match order.kind {
            ProbeKind::Member(key) => self.table.choose_proxies(key, PROXIES, &mut self.random),
            ProbeKind::Candidate => Vec::new(),
        };
        let task = ProbeTask {
            kind: order.kind,
            address: order.address,
            proxies,
        };
        self.executor
            .spawn(Arc::clone(&self.probes).run(task))
            .detach();
    }

    /// Publishes the members, unless nothing has changed.
    fn publish(&self) {
        let mut others: Vec<_> = self.table.all_members().cloned().collect();
        others.sort_by(|left, right| left.facts.name.cmp(&right.facts.name));
        let own = Some(self.table.own_update().clone());
        let known = self.snapshot.load();
        if known.own != own || known.others != others {
            self.snapshot
                .store(Arc::new(MemberSnapshot { own, others }));
        }
    }
}

fn record_state(update: &ibisdale_policy::MemberUpdate) {
    let name = &update.facts.name;
    match update.state {
        MemberState::Alive => record_event!(MemberAlive, daemon = name),
        MemberState::Draining => record_event!(MemberDraining, daemon = name),
        MemberState::Suspect | MemberState::Dead => {}
    }
}
