//! One probe: direct, then through others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ibisdale_fleet::FleetLinks;
use ibisdale_fleet::proto::{PingIndirectReply, PingIndirectRequest, PingReply, PingRequest};
use ibisdale_policy::ProbeKind;

use super::convert::{all_from_proto, all_to_proto};
use super::handle::{MemberHandle, MemberMessage};
use crate::settings_feed::SettingsFeed;

/// Time in which a probed member must answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which a probe through another must be answered.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A probe to send, with the members to ask for help.
#[derive(Debug)]
pub(super) struct ProbeTask {
    pub(super) kind: ProbeKind,
    pub(super) address: SocketAddr,
    pub(super) proxies: Vec<SocketAddr>,
}

/// Sends probes and answers those of others.
#[derive(Clone, Debug)]
pub(super) struct ProbeClient {
    pub(super) links: FleetLinks,
    pub(super) members: MemberHandle,
    pub(super) feed: SettingsFeed,
}

impl ProbeClient {
    /// Probes and tells the membership what came of it.
    pub(super) async fn run(self: Arc<Self>, task: ProbeTask) {
        let request = self.request(task.address).await;
        if let Ok(reply) = self
            .links
            .ping(task.address, request.clone(), PROBE_TIMEOUT)
            .await
        {
            self.take(reply);
            return;
        }
        let ProbeKind::Member(key) = task.kind else {
            return;
        };
        for proxy in task.proxies {
            let indirect = PingIndirectRequest {
                target_address: task.address.to_string(),
                ping: Some(request.clone()),
            };
            let result = self
                .links
                .ping_indirect(proxy, indirect, INDIRECT_TIMEOUT)
                .await;
            if let Ok(PingIndirectReply {
                reached: true,
                reply: Some(reply),
            }) = result
            {
                self.take(reply);
                return;
            }
        }
        self.members.notify(MemberMessage::Unanswered(key));
    }

    async fn request(&self, address: SocketAddr) -> PingRequest {
        let updates = self.members.outgoing(address).await;
        PingRequest {
            updates: all_to_proto(&updates),
        }
    }

    fn take(&self, reply: PingReply) {
        let age = Duration::from_millis(reply.settings_age_ms);
        self.feed.confirm_by_peer(reply.settings_revision, age);
        let updates = all_from_proto(reply.updates);
        self.members.notify(MemberMessage::Answered(updates));
    }

    /// Answers another daemon's probe.
    pub(super) async fn answer(&self, request: PingRequest) -> PingReply {
        let updates = self.members.exchange(all_from_proto(request.updates)).await;
        let age = self.feed.get_confirmed_age().unwrap_or(Duration::MAX);
        PingReply {
            updates: all_to_proto(&updates),
            settings_revision: self.feed.get_snapshot().revision(),
            settings_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Probes a member on another daemon's behalf.
    pub(super) async fn answer_indirect(&self, request: PingIndirectRequest) -> PingIndirectReply {
        let unreached = PingIndirectReply {
            reached: false,
            reply: None,
        };
        let Ok(address) = request.target_address.parse() else {
            return unreached;
        };
        let Some(ping) = request.ping else {
            return unreached;
        };
        match self.links.ping(address, ping, PROBE_TIMEOUT).await {
            Ok(reply) => PingIndirectReply {
                reached: true,
                reply: Some(reply),
            },
            Err(_) => unreached,
        }
    }
}
