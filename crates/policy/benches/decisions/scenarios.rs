//! Scenarios of the bench.

use crate::support::{Deployment, FaultKind, Scenario, ScheduledFault};

/// Returns all scenarios, in the order in which they run.
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

/// A slow, a dead and a leaving replica, late and lost cache events, late load
/// reports, hanging tools and looping programs.
fn faulty(name: &'static str, deployment: Deployment) -> Scenario {
    let slow = FaultKind::SlowReplica {
        replica: 1,
        factor: 4.0,
    };
    let dead = FaultKind::DeadReplica { replica: 2 };
    let leaving = FaultKind::LeavingReplica { replica: 3 };
    let late = FaultKind::DelayedUpdates { delay_ms: 3_000 };
    Scenario::new(name, deployment)
        .fault(ScheduledFault::new(slow, 30, 90))
        .fault(ScheduledFault::new(dead, 50, 80))
        .fault(ScheduledFault::new(leaving, 100, 130))
        .fault(ScheduledFault::new(late, 110, 150))
        .lost_event_fraction(0.1)
        .misbehaving_programs(0.005, 0.005)
}

/// The largest workspace starts programs at four times its rate.
fn busy(name: &'static str, deployment: Deployment) -> Scenario {
    let busy = FaultKind::BusyWorkspace {
        workspace: 0,
        factor: 4.0,
    };
    Scenario::new(name, deployment).fault(ScheduledFault::new(busy, 60, 120))
}

/// All replicas are dead for ten seconds.
fn outage(name: &'static str, deployment: Deployment) -> Scenario {
    Scenario::new(name, deployment)
        .arrival_seconds(150)
        .fault(ScheduledFault::new(FaultKind::Outage, 60, 70))
}
