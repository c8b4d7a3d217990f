//! Metrics rendered in the Prometheus text format.

use std::time::Duration;

use ibisdale_telemetry::{METRIC_CATALOGUE, MetricRegistry, TokenKind};

fn update_all_metrics(registry: &MetricRegistry) {
    let time = Duration::from_millis(3);
    registry.count_request("ok");
    registry.observe_request_duration("chat", time);
    registry.observe_first_token(time);
    registry.observe_between_tokens(time);
    registry.observe_queue_wait(time);
    registry.increment_open_streams();
    registry.decrement_open_streams();
    registry.add_tokens(TokenKind::Prompt, 7);
    registry.add_tokens(TokenKind::Cached, 5);
    registry.add_tokens(TokenKind::Completion, 3);
    registry.count_upstream_call("engine");
    registry.count_upstream_failure("truncated");
    registry.count_upstream_retry();
    registry.count_key_value_call("range", "ok", time);
    registry.count_fleet_message("ping", 60);
    registry.count_forwarded_request();
    registry.set_members("alive", 3);
    registry.set_programs(2);
    registry.set_slots(512);
    registry.set_rate_credit(1.5);
    registry.set_worst_workspace_wait(time);
    registry.set_cleanup_backlog(1);
    registry.set_settings_revision(12);
    registry.set_settings_age(time);
    registry.count_history_record("stored");
    registry.set_client_bytes("responses", 3_000);
    registry.set_client_connections("entry", 9);
    registry.count_refused_body("full");
    registry.set_evicted_responses(2);
    registry.count_closed_connections("idle", 6);
    registry.add_spans_dropped(4);
}

fn render(registry: &MetricRegistry) -> String {
    String::from_utf8(registry.render().to_vec()).unwrap()
}

#[test]
fn every_metric_of_the_catalogue_is_rendered() {
    let registry = MetricRegistry::new();
    update_all_metrics(&registry);
    let text = render(&registry);
    for definition in METRIC_CATALOGUE {
        let kind = format!("# TYPE {} {}\n", definition.name, definition.kind.as_str());
        assert!(text.contains(&kind), "{kind}");
    }
}

#[test]
fn renders_values_of_counters_and_gauges() {
    let registry = MetricRegistry::new();
    update_all_metrics(&registry);
    let text = render(&registry);
    let lines: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with('#') && !line.contains("_seconds_"))
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    ibisdale_cleanup_backlog 1
    ibisdale_client_bytes{kind="responses"} 3000
    ibisdale_client_connections{address="entry"} 9
    ibisdale_closed_connections_total{kind="idle"} 6
    ibisdale_credit_requests 1.5
    ibisdale_evicted_responses_total 2
    ibisdale_fleet_bytes_total{message="ping"} 60
    ibisdale_fleet_messages_total{message="ping"} 1
    ibisdale_forwarded_total 1
    ibisdale_history_records_total{outcome="stored"} 1
    ibisdale_key_value_calls_total{operation="range",outcome="ok"} 1
    ibisdale_members{status="alive"} 3
    ibisdale_open_streams 0
    ibisdale_programs 2
    ibisdale_refused_bodies_total{reason="full"} 1
    ibisdale_requests_total{code="ok"} 1
    ibisdale_settings_age_seconds 0.003
    ibisdale_settings_revision 12
    ibisdale_slots 512
    ibisdale_spans_dropped_total 4
    ibisdale_tokens_total{kind="cached"} 5
    ibisdale_tokens_total{kind="completion"} 3
    ibisdale_tokens_total{kind="prompt"} 7
    ibisdale_upstream_calls_total{upstream="engine"} 1
    ibisdale_upstream_failures_total{kind="truncated"} 1
    ibisdale_upstream_retries_total 1
    ibisdale_worst_workspace_wait_seconds 0.003
    "#);
}
