//! Spans written to the span file.

use std::fs;

use ibisdale_telemetry::{SpanKind, SpanSender, SpanWriter, SpanWriterOptions, TraceSpan};
use serde_json::Value;

fn read_spans(text: &str) -> Vec<Value> {
    text.lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap())
        .flat_map(|data| {
            let spans = &data["resourceSpans"][0]["scopeSpans"][0]["spans"];
            spans.as_array().unwrap().clone()
        })
        .collect()
}

#[test]
fn writes_each_closed_span_with_its_parent() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("spans.jsonl");
    let writer = SpanWriter::start(SpanWriterOptions::new(&path, "vm-1")).unwrap();
    let sender = writer.get_sender();
    let entry = TraceSpan::start("entry", SpanKind::Server, None, sender.clone())
        .attribute("route", "chat");
    let parent = Some(entry.get_context());
    let mut upstream = TraceSpan::start("upstream", SpanKind::Client, parent, sender.clone());
    upstream.add_int_attribute("tokens", 12);
    upstream.fail("truncated");
    let context = upstream.get_context();
    upstream.close();
    entry.close();
    drop(TraceSpan::start(
        "dropped",
        SpanKind::Internal,
        None,
        sender,
    ));
    writer.close();

    let text = fs::read_to_string(path).unwrap();
    assert!(text.contains(r#""service.instance.id","value":{"stringValue":"vm-1"}"#));
    let spans = read_spans(&text);
    assert_eq!(spans.len(), 2);
    assert_eq!(spans[0]["parentSpanId"], spans[1]["spanId"]);
    assert_eq!(spans[0]["traceId"], spans[1]["traceId"]);
    let header = format!(
        "00-{}-{}-01",
        spans[0]["traceId"].as_str().unwrap(),
        spans[0]["spanId"].as_str().unwrap(),
    );
    assert_eq!(header, context.to_string());
    insta::assert_snapshot!(
        format!("{} {} {}", spans[0]["name"], spans[0]["attributes"], spans[0]["status"]),
        @r#""upstream" [{"key":"tokens","value":{"intValue":"12"}}] {"code":2,"message":"truncated"}"#,
    );
}

#[test]
fn does_not_write_unsampled_traces() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("spans.jsonl");
    let writer = SpanWriter::start(SpanWriterOptions::new(&path, "vm-1")).unwrap();
    let text = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00";
    let parent = Some(text.parse().unwrap());
    TraceSpan::start("entry", SpanKind::Server, parent, writer.get_sender()).close();
    writer.close();
    assert_eq!(fs::read_to_string(path).unwrap(), "");
}

#[test]
fn writes_each_span_or_counts_it_as_dropped() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("spans.jsonl");
    let writer =
        SpanWriter::start(SpanWriterOptions::new(&path, "vm-1").queue_capacity(1)).unwrap();
    let sender = writer.get_sender();
    for _ in 0..2_000 {
        TraceSpan::start("hop", SpanKind::Internal, None, sender.clone()).close();
    }
    writer.close();
    let written = read_spans(&fs::read_to_string(path).unwrap()).len() as u64;
    assert_eq!(written + sender.get_dropped(), 2_000);
}

#[test]
fn rotates_a_full_span_file() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("spans.jsonl");
    for _ in 0..3 {
        let options = SpanWriterOptions::new(&path, "vm-1").max_file_bytes(1);
        let writer = SpanWriter::start(options).unwrap();
        TraceSpan::start("hop", SpanKind::Internal, None, writer.get_sender()).close();
        writer.close();
    }
    let count = |name: &str| {
        let text = fs::read_to_string(folder.path().join(name)).unwrap();
        read_spans(&text).len()
    };
    assert_eq!((count("spans.jsonl"), count("spans.jsonl.1")), (1, 1));
}

#[test]
fn disabled_sender_does_not_count_dropped_spans() {
    let sender = SpanSender::disabled();
    TraceSpan::start("hop", SpanKind::Internal, None, sender.clone()).close();
    assert_eq!(sender.get_dropped(), 0);
}
