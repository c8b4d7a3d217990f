//! When the key-value service answered this VM and the others.

use std::time::{Duration, Instant};

use super::boot_time::BootTime;
use super::caller_request::millis;
use super::state::Gateway;
use crate::decide::{
    ReaderCandidate, ReaderRanks, ReaderRole, is_unavailable, may_be_cut_off, substitute_retry_ms,
};

impl Gateway {
    /// Returns whether this VM is a reader, which watches the key-value service itself.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.reader_role().is_some()
    }

    /// Returns the reason for which this VM is a reader; `None` if it is none.
    #[must_use]
    pub fn reader_role(&self) -> Option<ReaderRole> {
        self.reader_ranks().role(self.feed_age().map(millis))
    }

    fn reader_ranks(&self) -> ReaderRanks {
        let members = self.state.members.borrow();
        let own = ReaderCandidate {
            vm: self.state.options.facts.key(),
            is_store_lost: self.is_store_lost(),
        };
        let others = members.store_contacts(self.now_ms());
        let others = others.map(|(vm, is_store_lost)| ReaderCandidate { vm, is_store_lost });
        ReaderRanks::new(own, others)
    }

    /// Returns the time between two attempts to read the key-value service if this VM is only a
    /// substitute; zero otherwise.
    #[must_use]
    pub fn substitute_retry_delay(&self) -> Duration {
        if self.reader_role() != Some(ReaderRole::Substitute) {
            return Duration::ZERO;
        }
        let (others, _) = self.state.members.borrow().count(self.now_ms());
        Duration::from_millis(substitute_retry_ms(others + 1))
    }

    /// Returns whether the key-value service refuses this VM's calls or does not answer them.
    #[must_use]
    pub fn is_store_lost(&self) -> bool {
        self.state.lost_feeds.get() > 0
    }

    /// Records that a feed of this VM has lost contact with the key-value service, and reports
    /// the first one to all VMs at once if their roles depend on it.
    pub fn record_feed_lost(&self) {
        let lost_feeds = self.state.lost_feeds.get();
        self.state.lost_feeds.set(lost_feeds + 1);
        if lost_feeds == 0 {
            self.announce_store_contact();
        }
    }

    /// Records that a lost feed has contact again, and reports the last one to all VMs at once if
    /// their roles depend on it.
    pub fn record_feed_regained(&self) {
        let lost_feeds = self.state.lost_feeds.get();
        self.state.lost_feeds.set(lost_feeds.saturating_sub(1));
        if lost_feeds == 1 {
            self.announce_store_contact();
        }
    }

    /// Sends this VM's state to all others if their roles depend on its contact.
    ///
    /// In an outage for all VMs, each of them loses contact; if each sent its state to all, a
    /// fleet of 360 would exchange 130,000 messages within a second.
    fn announce_store_contact(&self) {
        if self.reader_ranks().concerns_others() {
            self.announce();
        }
    }

    /// Records that the key-value service has just confirmed the configuration.
    pub fn confirm_feed(&self) {
        let now = BootTime::now();
        self.state.feed_confirmed_at.set(Some(now));
        let mut knowledge = self.state.plan_knowledge.borrow_mut();
        knowledge.record_confirmed(now.since_boot());
        record_answer(self, now);
    }

    /// Returns the time since the key-value service last confirmed the configuration to any
    /// VM.
    #[must_use]
    pub fn feed_age(&self) -> Option<Duration> {
        let own = self.state.feed_confirmed_at.get();
        let latest = own.max(self.state.peer_feed_confirmed_at.get());
        latest.map(BootTime::elapsed)
    }

    /// Returns whether the key-value service has answered no VM for a while; only readers call it
    /// until it answers again.
    #[must_use]
    pub fn is_store_unavailable(&self) -> bool {
        is_unavailable(self.feed_age().map(millis))
    }

    /// Returns when the key-value service last confirmed the configuration to any other VM.
    #[must_use]
    pub fn peer_feed_confirmed_at(&self) -> Option<Instant> {
        let age = self.state.peer_feed_confirmed_at.get()?.elapsed();
        Instant::now().checked_sub(age)
    }

    /// Discards the reports of other VMs on the service's answers to them, so that only later
    /// reports count.
    pub fn forget_peer_answers(&self) {
        self.state.peer_answers_since.set(None);
    }

    /// Returns since when the key-value service has answered another VM without a gap; `None`
    /// if no VM has reported it.
    #[must_use]
    pub fn peer_answers_since(&self) -> Option<Instant> {
        let time = self.state.peer_answers_since.get()?.elapsed();
        Instant::now().checked_sub(time)
    }

    /// Returns whether this VM may be cut off from most other VMs.
    #[must_use]
    pub fn may_be_cut_off(&self) -> bool {
        let (known, silent) = self.state.members.borrow().count(self.now_ms());
        let heard_at = self.state.peer_state_at.get();
        may_be_cut_off(known, silent, heard_at.map(BootTime::elapsed))
    }
}

/// Returns for how long the key-value service has answered the VMs without a gap.
pub(crate) fn answered_for(gateway: &Gateway) -> Option<Duration> {
    let answers = gateway.state.answers.get();
    answers.unbroken_for(BootTime::now().since_boot())
}

/// Records a peer's report on the key-value service: the time since it last confirmed the
/// configuration to any VM, and the time for which it has answered without a gap.
pub(crate) fn record_peer_feed(gateway: &Gateway, age_ms: Option<u64>, answers_ms: Option<u64>) {
    let now = BootTime::now();
    gateway.state.peer_state_at.set(Some(now));
    if let Some(age_ms) = age_ms {
        let at = now.before(Duration::from_millis(age_ms));
        let latest = &gateway.state.peer_feed_confirmed_at;
        latest.set(latest.get().max(Some(at)));
        record_answer(gateway, at);
    }
    if let Some(answers_ms) = answers_ms {
        let since = now.before(Duration::from_millis(answers_ms));
        let earliest = &gateway.state.peer_answers_since;
        let known = earliest.get();
        earliest.set(Some(known.map_or(since, |known| known.min(since))));
    }
}

fn record_answer(gateway: &Gateway, at: BootTime) {
    let mut answers = gateway.state.answers.get();
    answers.record(at.since_boot());
    gateway.state.answers.set(answers);
}
