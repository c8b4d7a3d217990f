//! Replicas that name a limit of requests per second.

use std::time::Instant;

use rstest::rstest;

use crate::support::{COLD_PER_S, ScriptedReplica, header, start_pair};

/// Limit that the limited replica names, in requests per second.
const LIMIT_PER_S: f64 = 0.5;

fn request(target: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\nt-deadline: 5000\r\n\
         Authorization: Bearer secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Starts a replica whose responses have `headers`.
fn replica(headers: &'static str) -> ScriptedReplica {
    ScriptedReplica::start(move |_, _| {
        let head = "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 32\r\n";
        let events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
        (format!("{head}{headers}\r\n{events}").into_bytes(), true)
    })
}

/// Guards against VMs that overrun a replica that names a limit (incident LIMIT).
#[rstest]
#[case::requests("/read/x")]
#[case::streams("/stream/x")]
fn replica_gets_no_more_than_it_named(#[case] target: &str) {
    let (limited, open) = (replica("t-limit: 0.5\r\n"), replica(""));
    let vms: [_; 2] = start_pair(&[&limited, &open]).into();
    let started = Instant::now();
    for vm in vms.iter().cycle().take(60) {
        let response = vm.call(&request(target));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    let got = u32::try_from(limited.requests().len()).unwrap();
    let allowed = 1.5 * LIMIT_PER_S * started.elapsed().as_secs_f64() + 5.0;
    assert!(
        f64::from(got) <= allowed,
        "{got} requests, {allowed} allowed"
    );
}

/// Guards against streams that go on at a limited replica, or are taken up there, without a grant.
#[rstest]
#[case::resumed("")]
#[case::taken_up("last-event-id: 1\r\nt-resumes: a1\r\n")]
fn streams_that_go_on_count_against_the_limit(#[case] headers: &str) {
    let limited = ScriptedReplica::start(|_, text| {
        let next = header(text, "last-event-id").map_or(1, |last| last.parse::<u32>().unwrap() + 1);
        let head = "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 64\r\n";
        let event = format!("id: {next}\ndata: e\n\n");
        let response = format!("{head}t-limit: 0.5\r\n\r\n{event}");
        (response.into_bytes(), false)
    });
    let open = replica("");
    let vms: [_; 2] = start_pair(&[&limited, &open]).into();
    let started = Instant::now();
    let request = request("/stream/x").replacen("t-deadline", &format!("{headers}t-deadline"), 1);
    for vm in vms.iter().cycle().take(40) {
        vm.call(&request);
    }
    let got = u32::try_from(limited.requests().len()).unwrap();
    let allowed = 1.5 * LIMIT_PER_S * started.elapsed().as_secs_f64() + 5.0;
    assert!(
        f64::from(got) <= allowed,
        "{got} requests, {allowed} allowed"
    );
}

/// Guards against requests that wait, or overrun a replica, where none has room.
#[test]
fn request_that_no_limited_replica_has_room_for_is_rejected_at_once() {
    let limited = replica("t-limit: 0.5\r\n");
    let vms: [_; 2] = start_pair(&[&limited]).into();
    let vms = vms.iter().cycle().take(20);
    let responses = vms.map(|vm| vm.call(&request("/act/x")));
    let rejected: Vec<_> = responses
        .filter(|response| response.starts_with("HTTP/1.1 503"))
        .collect();
    assert!(rejected.len() >= 10, "{} of 20 rejected", rejected.len());
    for response in rejected {
        let retry_after: f64 = header(&response, "retry-after").unwrap().parse().unwrap();
        assert!((0.1..=4.0).contains(&retry_after), "{response}");
    }
}

/// Guards against VMs that send to a replica at its usual rate after it has said that it is cold,
/// and against a header that is no number.
#[rstest]
#[case::cold("t-cold: 60000\r\n", true)]
#[case::huge("t-cold: 99999999999999999999999\r\n", true)]
#[case::decimal("t-cold: 60000.5\r\n", true)]
#[case::not_cold("t-cold: 0\r\n", false)]
#[case::negative("t-cold: -5\r\n", false)]
#[case::text("t-cold: soon\r\n", false)]
fn replica_that_says_it_is_cold_gets_only_granted_requests(
    #[case] headers: &'static str,
    #[case] is_limited: bool,
) {
    let (cold, open) = (replica(headers), replica(""));
    let vms: [_; 2] = start_pair(&[&cold, &open]).into();
    let started = Instant::now();
    for vm in vms.iter().cycle().take(60) {
        let response = vm.call(&request("/read/x"));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    let got = f64::from(u32::try_from(cold.requests().len()).unwrap());
    let allowed = COLD_PER_S * (started.elapsed().as_secs_f64() + 1.0) + 5.0;
    // Of 60 requests, an open replica gets about 30.
    assert!(
        !is_limited || got <= allowed,
        "{got} requests, {allowed} allowed"
    );
    assert!(is_limited || got > 10.0, "{got} requests");
}
