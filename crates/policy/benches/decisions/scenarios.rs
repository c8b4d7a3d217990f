//! The runs of the bench.

use crate::support::{Deployment, FaultEntry, FaultKind, Scenario};

/// Returns all runs, in the order of the table.
pub(crate) fn all() -> Vec<Scenario> {
    vec![
        Scenario::new("kermesse-70", Deployment::Kermesse),
        Scenario::new("kermesse-90", Deployment::Kermesse).load(0.9),
        Scenario::new("norrfrost-70", Deployment::Norrfrost),
        Scenario::new("norrfrost-90", Deployment::Norrfrost).load(0.9),
        faulty("kermesse-faults", Deployment::Kermesse),
        faulty("norrfrost-faults", Deployment::Norrfrost),
        busy("kermesse-busy", Deployment::Kermesse),
        busy("norrfrost-busy", Deployment::Norrfrost),
        outage("kermesse-outage", Deployment::Kermesse),
    ]
}

/// A slow, a dead and a leaving replica, late events, hanging tools and loops.
fn faulty(name: &'static str, deployment: Deployment) -> Scenario {
    let slow = FaultKind::SlowReplica {
        replica: 1,
        factor: 4.0,
    };
    let dead = FaultKind::DeadReplica { replica: 2 };
    let leaving = FaultKind::LeavingReplica { replica: 3 };
    let late = FaultKind::LateReports { millis: 3_000 };
    Scenario::new(name, deployment)
        .fault(FaultEntry::new(slow, 30, 90))
        .fault(FaultEntry::new(dead, 50, 80))
        .fault(FaultEntry::new(leaving, 100, 130))
        .fault(FaultEntry::new(late, 110, 150))
        .lost_events(0.1)
        .misbehaving_programs(0.005, 0.005)
}

/// The largest workspace sends four times its rate.
fn busy(name: &'static str, deployment: Deployment) -> Scenario {
    let busy = FaultKind::BusyWorkspace {
        workspace: 0,
        factor: 4.0,
    };
    Scenario::new(name, deployment).fault(FaultEntry::new(busy, 60, 120))
}

/// All replicas are out for ten seconds.
fn outage(name: &'static str, deployment: Deployment) -> Scenario {
    Scenario::new(name, deployment)
        .seconds(150)
        .fault(FaultEntry::new(FaultKind::Outage, 60, 70))
}
