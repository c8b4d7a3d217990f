//! Fair queueing of calls, and admission control.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use ibisdale_policy::{
    AdmissionController, AdmissionRequest, AdmissionSettings, CallRequest, FairQueue, PushError,
    QueueSettings, WorkspaceKey,
};

const NOW: TimeStamp = TimeStamp::from_millis(1_000);
const TOKENS: u32 = 100;

fn push(queue: &mut FairQueue, workspace: WorkspaceKey, count: usize) {
    for _ in 0..count {
        let request = CallRequest::new(workspace).expected_tokens(TOKENS);
        queue.push(request, NOW).unwrap();
    }
}

fn pop_workspaces(queue: &mut FairQueue, count: usize) -> Vec<WorkspaceKey> {
    (0..count)
        .map(|_| queue.pop().unwrap().request.get_workspace())
        .collect()
}

#[test]
fn service_is_proportional_to_weight() {
    let mut queue = FairQueue::new(QueueSettings::default());
    let heavy = queue.insert_workspace(3.0);
    let light = queue.insert_workspace(1.0);
    push(&mut queue, heavy, 100);
    push(&mut queue, light, 100);
    let popped = pop_workspaces(&mut queue, 40);
    let count = popped
        .iter()
        .filter(|workspace| **workspace == heavy)
        .count();
    assert!((29..=31).contains(&count), "{count} of 40");
}

#[test]
fn idle_workspace_accumulates_no_credit() {
    let mut queue = FairQueue::new(QueueSettings::default());
    let steady = queue.insert_workspace(1.0);
    let late = queue.insert_workspace(1.0);
    push(&mut queue, steady, 200);
    pop_workspaces(&mut queue, 100);
    push(&mut queue, late, 100);
    let popped = pop_workspaces(&mut queue, 20);
    let count = popped
        .iter()
        .filter(|workspace| **workspace == late)
        .count();
    assert!((9..=11).contains(&count), "{count} of 20");
}

#[test]
fn program_with_less_service_goes_first_unless_a_deadline_is_near() {
    let mut queue = FairQueue::new(QueueSettings::default());
    let workspace = queue.insert_workspace(1.0);
    let served = CallRequest::new(workspace).attained_tokens(50_000);
    let fresh = CallRequest::new(workspace).attained_tokens(1_000);
    let urgent = served.latest_start(TimeStamp::from_millis(1_001));
    let served = queue.push(served, NOW).unwrap().call;
    let fresh = queue.push(fresh, NOW).unwrap().call;
    let urgent = queue.push(urgent, NOW).unwrap().call;
    let order: Vec<_> = (0..3).map(|_| queue.pop().unwrap().call).collect();
    assert_eq!(order, [urgent, fresh, served]);
}

#[test]
fn full_queue_evicts_from_the_workspace_with_the_larger_backlog() {
    let settings = QueueSettings {
        call_limit: 10,
        workspace_call_limit: 10,
        ..QueueSettings::default()
    };
    let mut queue = FairQueue::new(settings);
    let busy = queue.insert_workspace(1.0);
    let light = queue.insert_workspace(1.0);
    push(&mut queue, busy, 10);
    let refused = queue.push(CallRequest::new(busy), NOW);
    assert_eq!(refused, Err(PushError::WorkspaceFull));
    let outcome = queue.push(CallRequest::new(light), NOW).unwrap();
    assert!(outcome.evicted.is_some());
    assert_eq!(queue.len(), 10);
    assert!(queue.cancel(outcome.call));
    assert!(!queue.cancel(outcome.call));
}

#[test]
fn workspace_with_far_more_demand_is_over_its_share() {
    let mut queue = FairQueue::new(QueueSettings::default());
    let busy = queue.insert_workspace(1.0);
    let light = queue.insert_workspace(1.0);
    push(&mut queue, light, 20);
    push(&mut queue, busy, 100);
    pop_workspaces(&mut queue, 20);
    assert!(queue.is_over_share(busy, NOW));
    assert!(!queue.is_over_share(light, NOW));
}

#[test]
fn call_that_would_miss_its_deadline_is_refused_and_others_are_not() {
    let mut queue = FairQueue::new(QueueSettings::default());
    let busy = queue.insert_workspace(1.0);
    let light = queue.insert_workspace(1.0);
    push(&mut queue, busy, 500);
    let mut controller = AdmissionController::new(AdmissionSettings::default());
    for second in 0..10 {
        let now = NOW.plus(Duration::from_secs(second));
        controller.record_served(1_000, true, now);
    }
    let request = AdmissionRequest {
        workspace: busy,
        expected_service_time: Duration::from_secs(1),
        deadline: Some(NOW.plus(Duration::from_secs(20))),
    };
    let refusal = controller.admit(&queue, &request, NOW).unwrap_err();
    assert!(refusal.retry_after > Duration::from_secs(20));
    let light = AdmissionRequest {
        workspace: light,
        ..request
    };
    assert!(controller.admit(&queue, &light, NOW).is_ok());
}

#[test]
fn number_of_calls_tried_in_one_pass_is_bounded() {
    let mut queue = FairQueue::new(QueueSettings::default());
    for _ in 0..1_000 {
        let workspace = queue.insert_workspace(1.0);
        push(&mut queue, workspace, 2);
    }
    let mut tries = 0;
    let popped = queue.pop_first(NOW, |_| {
        tries += 1;
        false
    });
    assert!(popped.is_none());
    assert!(tries <= 64, "{tries} tries");
}

#[test]
fn extreme_values_do_not_overflow() {
    let mut queue = FairQueue::new(QueueSettings {
        attained_ms_per_kilotoken: f64::MAX,
        ..QueueSettings::default()
    });
    let workspace = queue.insert_workspace(f64::NAN);
    let request = CallRequest::new(workspace)
        .expected_tokens(u32::MAX)
        .attained_tokens(u64::MAX)
        .priority(u8::MAX);
    queue.push(request, NOW).unwrap();
    assert!(queue.pop().is_some());
}
