//! Answers of a gateway between a caller and scripted replicas.

use std::io::{Read, Write};
use std::net::TcpStream;

use crate::support::{BedOptions, GatewayBed, ScriptReplica, header};
use rstest::rstest;

fn request(method: &str, path: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\nt-deadline: 5000\r\n\
         Authorization: Bearer secret\r\nConnection: close\r\n{more}\r\n"
    )
}

fn answer(attempt: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nt-attempt: {attempt}\r\nt-seal: s\r\nContent-Length: {length}\r\n\r\n\
         {body}"
    )
    .into_bytes()
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

#[test]
fn answer_passes_unchanged_and_request_bears_what_the_gateway_sets() {
    let replica = ScriptReplica::start(|_, _| (answer("a1", "hello"), true));
    let bed = GatewayBed::start(&[&replica]);
    let more = "t-workspace: other\r\nt-hold: 1\r\nX-Other: kept\r\n";
    let got = bed.call(&request("GET", "/read/x?y=1", more));
    assert_eq!((status(&got), body(&got)), ("200", "hello"));
    assert_eq!(header(&got, "t-seal"), Some("s"));
    let sent = &replica.requests()[0];
    assert!(sent.starts_with("GET /read/x?y=1 HTTP/1.1\r\n"));
    assert_eq!(header(sent, "t-workspace"), Some("workspace"));
    assert_eq!(header(sent, "t-target"), Some("replica-0"));
    assert_eq!(header(sent, "X-Other"), Some("kept"));
    assert_eq!(header(sent, "t-hold"), None);
    assert_eq!(header(sent, "Authorization"), None);
    let left: u64 = header(sent, "t-deadline").unwrap().parse().unwrap();
    assert!(left <= 5_000);
}

#[rstest]
#[case::unknown_route("/none/x", "Authorization: Bearer secret\r\n", "404")]
#[case::unknown_key("/read/x", "Authorization: Bearer wrong\r\n", "401")]
#[case::no_key("/read/x", "", "401")]
#[case::no_identifier("/read/x", "Authorization: Bearer secret\r\nt-attempt:\r\n", "400")]
fn request_that_is_not_allowed_is_refused(
    #[case] path: &str,
    #[case] more: &str,
    #[case] expected: &str,
) {
    let replica = ScriptReplica::start(|_, _| (answer("a1", "hello"), true));
    let bed = GatewayBed::start(&[&replica]);
    let attempt = if more.contains("t-attempt") {
        ""
    } else {
        "t-attempt: a1\r\n"
    };
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: host.test\r\nConnection: close\r\n{attempt}{more}\r\n"
    );
    assert_eq!(status(&bed.call(&text)), expected);
    assert!(replica.requests().is_empty());
}

#[rstest]
#[case::unknown_route("/none/x")]
#[case::unknown_key("/read/x")]
fn outdated_configuration_proves_nothing_unknown(#[case] path: &str) {
    let replica = ScriptReplica::start(|_, _| (answer("a1", "hello"), true));
    let options = BedOptions {
        is_unconfirmed: true,
        ..BedOptions::default()
    };
    let bed = GatewayBed::start_with(&[&replica], options);
    let text = request("GET", path, "").replace("secret", "newer");
    let got = bed.call(&text);
    assert_eq!(status(&got), "503");
    assert!(header(&got, "retry-after").is_some());
}

#[test]
fn vm_without_configuration_asks_to_come_again() {
    let replica = ScriptReplica::start(|_, _| (answer("a1", "hello"), true));
    let options = BedOptions {
        is_unplanned: true,
        ..BedOptions::default()
    };
    let bed = GatewayBed::start_with(&[&replica], options);
    assert_eq!(status(&bed.call(&request("GET", "/read/x", ""))), "503");
}

#[test]
fn body_over_the_limit_is_refused() {
    let replica = ScriptReplica::start(|_, _| (answer("a1", "hello"), true));
    let bed = GatewayBed::start(&[&replica]);
    let got = bed.call(&request("POST", "/act/x", "Content-Length: 5000\r\n"));
    assert_eq!(status(&got), "413");
    let large = format!("7d0\r\n{}\r\n0\r\n\r\n", "x".repeat(2_000));
    let text = request("POST", "/act/x", "Transfer-Encoding: chunked\r\n") + &large;
    assert_eq!(status(&bed.call(&text)), "413");
    assert!(replica.requests().is_empty());
}

#[test]
fn request_inside_a_body_stays_a_body() {
    let replica = ScriptReplica::start(|_, _| (answer("a1", "hello"), true));
    let bed = GatewayBed::start(&[&replica]);
    let inner = "POST /act/y HTTP/1.1\r\nHost: host.test\r\nContent-Length: 0\r\n\r\n";
    let chunked = format!("{:x}\r\n{inner}\r\n0\r\n\r\n", inner.len());
    let more = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
    bed.call(&(request("POST", "/act/x", more) + &chunked));
    let requests = replica.requests();
    assert!(requests.len() <= 1, "{requests:?}");
    assert!(requests.iter().all(|sent| sent.starts_with("POST /act/x ")));
}

#[test]
fn late_answer_of_another_request_is_skipped() {
    let replica = ScriptReplica::start(|_, _| {
        let mut both = answer("a0", "late");
        both.extend(answer("a1", "own"));
        (both, true)
    });
    let bed = GatewayBed::start(&[&replica]);
    let got = bed.call(&request("POST", "/act/x", "Content-Length: 0\r\n"));
    assert_eq!((status(&got), body(&got)), ("200", "own"));
    assert_eq!(replica.requests().len(), 1);
}

#[rstest]
#[case::truncated(b"HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 9\r\n\r\nhal")]
#[case::garbage(b"\x00\x01 no answer at all\r\n\r\n")]
#[case::unsealed(b"HTTP/1.1 200 OK\r\nt-attempt: a1\r\nContent-Length: 2\r\n\r\nhi")]
#[case::encoded(
    b"HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi"
)]
#[case::two_lengths(
    b"HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi"
)]
#[case::closed(b"")]
fn broken_answer_is_no_success_and_no_second_run(#[case] bytes: &'static [u8]) {
    let replica = ScriptReplica::start(move |_, _| (bytes.to_vec(), false));
    let bed = GatewayBed::start(&[&replica]);
    let got = bed.call(&request("POST", "/act/x", "Content-Length: 0\r\n"));
    assert_eq!(status(&got), "502");
    assert_eq!(replica.requests().len(), 1);
}

#[test]
fn repeatable_request_goes_to_another_replica_once() {
    let broken = ScriptReplica::start(|_, _| (Vec::new(), false));
    let sound = ScriptReplica::start(|_, _| (answer("a1", "hello"), true));
    let bed = GatewayBed::start(&[&broken, &sound]);
    for _ in 0..4 {
        let got = bed.call(&request("GET", "/read/x", ""));
        assert_eq!(status(&got), "200");
    }
}

#[test]
fn refused_request_is_offered_elsewhere_and_then_truly_refused() {
    let refusal =
        b"HTTP/1.1 503 Full\r\nt-attempt: a1\r\nt-not-run: 1\r\nContent-Length: 0\r\n\r\n";
    let one = ScriptReplica::start(|_, _| (refusal.to_vec(), true));
    let other = ScriptReplica::start(|_, _| (refusal.to_vec(), true));
    let bed = GatewayBed::start(&[&one, &other]);
    let got = bed.call(&request("POST", "/act/x", "Content-Length: 0\r\n"));
    assert_eq!(status(&got), "503");
    assert!(header(&got, "retry-after").is_some());
    assert_eq!(one.requests().len() + other.requests().len(), 2);
}

#[test]
fn failure_of_the_replica_itself_is_passed_on() {
    let failure =
        b"HTTP/1.1 500 Broken\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 3\r\n\r\nbad";
    let replica = ScriptReplica::start(|_, _| (failure.to_vec(), true));
    let bed = GatewayBed::start(&[&replica]);
    let got = bed.call(&request("POST", "/act/x", "Content-Length: 0\r\n"));
    assert_eq!((status(&got), body(&got)), ("500", "bad"));
    assert_eq!(header(&got, "t-seal"), Some("s"));
}

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.fold(String::new(), |text, id| {
        text + &format!("id: {id}\ndata: e{id}\n\n")
    })
}

fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Type: text/event-stream\r\n\
     Transfer-Encoding: chunked\r\n\r\n"
        .to_owned()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

#[test]
fn stream_that_breaks_off_goes_on_after_its_last_event() {
    let replica = ScriptReplica::start(|number, request| {
        let mut bytes = stream_head();
        if number == 1 {
            bytes += &chunk(&(events(1..=2) + "id: 3\nda"));
            return (bytes.into_bytes(), false);
        }
        assert_eq!(header(request, "last-event-id"), Some("2"));
        bytes += &chunk(&events(3..=4));
        bytes += "0\r\n\r\n";
        (bytes.into_bytes(), true)
    });
    let bed = GatewayBed::start(&[&replica]);
    let got = bed.call(&request("POST", "/stream/x", "Content-Length: 0\r\n"));
    let ids: Vec<&str> = got
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    assert_eq!(ids, ["1", "2", "3", "4"]);
    assert!(got.ends_with("0\r\n\r\n"));
    assert_eq!(replica.requests().len(), 2);
}

#[test]
fn stream_with_a_missing_event_does_not_look_complete() {
    let replica = ScriptReplica::start(|_, _| {
        let text = stream_head() + &chunk(&(events(1..=1) + &events(3..=3))) + "0\r\n\r\n";
        (text.into_bytes(), true)
    });
    let bed = GatewayBed::start(&[&replica]);
    let got = bed.call(&request("POST", "/stream/x", "Content-Length: 0\r\n"));
    assert!(
        !got.ends_with("0\r\n\r\n") || status(&got) == "502",
        "{got}"
    );
}

#[test]
fn budget_that_holds_no_further_call_is_told_so() {
    let replica = ScriptReplica::start(|_, _| {
        let text = stream_head() + &chunk(&events(1..=2)) + "0\r\n\r\n";
        (text.into_bytes(), true)
    });
    let bed = GatewayBed::start(&[&replica]);
    let more = "Content-Length: 0\r\nt-program: p\r\nt-budget: 10\r\nt-usage: 5,9\r\n";
    let first = bed.call(&request("POST", "/stream/x", more));
    let second = bed.call(&request("POST", "/stream/x", more));
    assert_eq!((status(&first), status(&second)), ("200", "402"));
    assert_eq!(replica.requests().len(), 1);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let replica = ScriptReplica::start(|_, request| {
        let attempt = header(request, "t-attempt").unwrap().to_owned();
        (answer(&attempt, &attempt), true)
    });
    let bed = GatewayBed::start(&[&replica]);
    let text = |attempt: &str, more: &str| {
        format!(
            "GET /read/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: {attempt}\r\n\
             Authorization: Bearer secret\r\n{more}\r\n"
        )
    };
    let got = bed.call(&(text("a1", "") + &text("a2", "Connection: close\r\n")));
    let (first, second) = (got.find("\r\n\r\na1"), got.find("\r\n\r\na2"));
    assert!(first.is_some() && first < second, "{got}");
}

#[test]
fn open_connection_is_served_during_a_graceful_stop() {
    let replica = ScriptReplica::start(|_, _| (answer("a1", "hello"), true));
    let mut bed = GatewayBed::start(&[&replica]);
    let text = request("GET", "/read/x", "").replace("Connection: close\r\n", "");
    let mut stream = TcpStream::connect(bed.entry).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut first = [0_u8; 512];
    let size = stream.read(&mut first).unwrap();
    assert!(first[..size].starts_with(b"HTTP/1.1 200"));
    bed.begin_stop();
    // The connection ends only where no request waits for its answer.
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    assert!(rest.is_empty());
}

#[test]
fn directory_names_the_vm_that_serves() {
    let replica = ScriptReplica::start(|_, _| (answer("a1", "hello"), true));
    let bed = GatewayBed::start(&[&replica]);
    let mut stream = TcpStream::connect(bed.directory).unwrap();
    let text = "GET /addresses?a=b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).unwrap();
    let mut got = String::new();
    stream.read_to_string(&mut got).unwrap();
    assert_eq!((status(&got), body(&got)), ("200", "1 0"));
}

/// Sub-agents of a program that ran away once wrote the same ceiling up to 16 times.
#[test]
fn calls_that_need_the_same_ceiling_wait_for_one_write() {
    let replica = ScriptReplica::start(|_, _| {
        std::thread::sleep(std::time::Duration::from_millis(500));
        (answer("a1", "id: 1\ndata: e1\n\n"), true)
    });
    let bed = GatewayBed::start(&[&replica]);
    let more = "t-program: p\r\nt-budget: 100\r\nt-usage: 5,20\r\nContent-Length: 0\r\n";
    let text = request("POST", "/stream/x", more);
    let answers = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..4).map(|_| scope.spawn(|| bed.call(&text))).collect();
        let answers = calls.into_iter().map(|call| call.join().unwrap());
        answers.collect::<Vec<_>>()
    });
    let statuses: Vec<_> = answers.iter().map(|answer| status(answer)).collect();
    assert_eq!(statuses, ["200"; 4]);
    assert_eq!(bed.ceilings(), [[93]]);
}

/// A connection that is closed with unread data is reset, and the answer is lost.
#[rstest]
#[case::body_over_the_limit("/act/x", "Authorization: Bearer secret\r\n", "413")]
#[case::unknown_key("/act/x", "Authorization: Bearer wrong\r\n", "401")]
#[case::unknown_route("/none/x", "Authorization: Bearer secret\r\n", "404")]
fn refusal_arrives_although_the_body_is_large(
    #[case] path: &str,
    #[case] more: &str,
    #[case] expected: &str,
) {
    let replica = ScriptReplica::start(|_, _| (answer("a1", "hello"), true));
    let bed = GatewayBed::start(&[&replica]);
    let body = "x".repeat(4_000_000);
    let length = body.len();
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\n{more}\
         Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    for _ in 0..5 {
        assert_eq!(status(&bed.call(&text)), expected);
    }
}
