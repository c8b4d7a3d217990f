//! Several gateways that share a store, and are killed, frozen and restarted.

use std::collections::HashMap;
use std::ops::ControlFlow;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use ibisdale_relay::decide::{
    CeilingClaim, ClaimOutcome, ClaimStatus, ProgramKey, ReplicaInfo, StoredCeiling, StreamOrigin,
};
use ibisdale_relay::gateway::{Gateway, ReadOrigins, StoreCeilings};
use ibisdale_relay::plan::DeploymentPlan;
use smol::Timer;

use crate::support::{ScriptedReplica, TestGateway, TestGatewayOptions};

/// Duration of a simulated write of ceilings.
const WRITE_DELAY: Duration = Duration::from_millis(20);

/// What a test does to the process of a gateway, or lets it learn.
#[derive(Clone, Debug)]
pub(crate) enum VmCommand {
    /// Lets its thread stand still for a time.
    Freeze(Duration),
    /// Passes on evacuated domains and their revision as the feed does.
    Evacuate(&'static [&'static str], u64),
    /// Passes on a configuration.
    Apply(Box<DeploymentPlan>),
    /// Sends the state of the VM to all others.
    Announce,
    /// Passes on a version of the list of replicas.
    List(Vec<ReplicaInfo>, u64),
    Kill,
}

/// Carries out a command on the gateway's thread; breaks if the gateway ends at once.
pub(crate) fn carry_out(gateway: &Gateway, command: VmCommand) -> ControlFlow<()> {
    match command {
        VmCommand::Freeze(time) => thread::sleep(time),
        VmCommand::Evacuate(domains, revision) => {
            let domains = domains
                .iter()
                .map(|domain| Bytes::from_static(domain.as_bytes()));
            gateway.set_evacuated_domains(domains.collect(), revision);
        }
        VmCommand::Apply(plan) => gateway.apply_plan(*plan, 2, "test"),
        VmCommand::Announce => gateway.announce(),
        VmCommand::List(replicas, version) => gateway.set_replicas(replicas, version),
        VmCommand::Kill => return ControlFlow::Break(()),
    }
    ControlFlow::Continue(())
}

/// A store that keeps the ceilings of programs; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreStandIn {
    ceilings: Arc<Mutex<HashMap<ProgramKey, StoredCeiling>>>,
    writes: Arc<Mutex<Vec<Vec<u64>>>>,
    origins: Arc<Mutex<Option<Vec<StreamOrigin>>>>,
}

impl StoreStandIn {
    /// Returns the ceilings of all writes so far, one list per write.
    pub(crate) fn writes(&self) -> Vec<Vec<u64>> {
        self.writes.lock().unwrap().clone()
    }

    /// Returns the function with which a gateway writes to the store.
    pub(crate) fn writer(&self) -> StoreCeilings {
        let store = self.clone();
        Box::new(move |claims| {
            let written = claims.iter().map(|claim| claim.ceiling).collect();
            store.writes.lock().unwrap().push(written);
            let outcomes = claims.iter().map(|claim| store.write(claim)).collect();
            Box::pin(async {
                Timer::after(WRITE_DELAY).await;
                outcomes
            })
        })
    }

    /// Records a version as the readers of a fleet do.
    pub(crate) fn record_version(&self, software_version: &'static str) {
        let origin = StreamOrigin {
            service: Bytes::from_static(b"service"),
            software_version: Bytes::from_static(software_version.as_bytes()),
        };
        let mut origins = self.origins.lock().unwrap();
        origins.get_or_insert_default().push(origin);
    }

    /// Returns the function with which a gateway reads the recorded origins.
    pub(crate) fn origin_reader(&self) -> ReadOrigins {
        let store = self.clone();
        Box::new(move || {
            let origins = store.origins.lock().unwrap().clone();
            Box::pin(async { origins })
        })
    }

    fn write(&self, claim: &CeilingClaim) -> ClaimOutcome {
        let mut ceilings = self.ceilings.lock().unwrap();
        match claim.compare(ceilings.get(&claim.program).copied()) {
            ClaimStatus::Stored => ClaimOutcome::Stored,
            ClaimStatus::Conflict(stored) => ClaimOutcome::Conflict(stored),
            ClaimStatus::Missing => {
                let stored = StoredCeiling {
                    ceiling: claim.ceiling,
                    owner: claim.owner,
                };
                ceilings.insert(claim.program, stored);
                ClaimOutcome::Stored
            }
        }
    }
}

/// Starts `count` gateways that know each other and share a store.
pub(crate) fn start_fleet(replica: &ScriptedReplica, count: usize) -> Vec<TestGateway> {
    start_fleet_with(&[replica], count, &StoreStandIn::default())
}

/// Starts `count` gateways that know each other and share `store`.
pub(crate) fn start_fleet_with(
    replicas: &[&ScriptedReplica],
    count: usize,
    store: &StoreStandIn,
) -> Vec<TestGateway> {
    let mut fleet: Vec<TestGateway> = Vec::new();
    for _ in 0..count {
        let options = TestGatewayOptions {
            seed: fleet.first().map(|first| first.peer_address),
            store: store.clone(),
            ..TestGatewayOptions::default()
        };
        fleet.push(TestGateway::start_with(replicas, options));
    }
    for vm in &fleet {
        vm.wait_for_vms(count);
    }
    fleet
}
