//! Parsing and formatting of the `traceparent` header.

use ibisdale_telemetry::TraceContext;
use rstest::rstest;

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const SPAN: &str = "00f067aa0ba902b7";

#[rstest]
#[case::sampled(format!("00-{TRACE}-{SPAN}-01"), true)]
#[case::not_sampled(format!("00-{TRACE}-{SPAN}-00"), false)]
#[case::unknown_flags(format!("00-{TRACE}-{SPAN}-ff"), true)]
#[case::later_version(format!("01-{TRACE}-{SPAN}-01-more"), true)]
fn parses_valid_headers(#[case] text: String, #[case] is_sampled: bool) {
    let context: TraceContext = text.parse().unwrap();
    assert_eq!(context.is_sampled(), is_sampled);
    let flags = u8::from(is_sampled);
    assert_eq!(context.to_string(), format!("00-{TRACE}-{SPAN}-0{flags}"));
}

#[rstest]
#[case::empty(String::new())]
#[case::upper_case(format!("00-{}-{SPAN}-01", TRACE.to_uppercase()))]
#[case::zero_trace(format!("00-{}-{SPAN}-01", "0".repeat(32)))]
#[case::zero_span(format!("00-{TRACE}-{}-01", "0".repeat(16)))]
#[case::short_trace(format!("00-{}-{SPAN}-01", &TRACE[2..]))]
#[case::no_flags(format!("00-{TRACE}-{SPAN}"))]
#[case::long_flags(format!("00-{TRACE}-{SPAN}-001"))]
#[case::trailing_data_in_version_00(format!("00-{TRACE}-{SPAN}-01-more"))]
#[case::invalid_version(format!("ff-{TRACE}-{SPAN}-01"))]
#[case::leading_space(format!(" 00-{TRACE}-{SPAN}-01"))]
#[case::not_ascii(format!("00-{TRACE}-{SPAN}-é"))]
fn rejects_malformed_headers(#[case] text: String) {
    assert!(text.parse::<TraceContext>().is_err());
}
