//! Exchange of state and budget counts between two gateways.

use crate::support::{ScriptedReplica, header, start_pair};

fn stream_request(headers: &str) -> String {
    format!(
        "POST /stream/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\nt-deadline: 5000\r\n\
         Authorization: Bearer secret\r\nConnection: close\r\nContent-Length: 0\r\n{headers}\r\n"
    )
}

fn replica() -> ScriptedReplica {
    ScriptedReplica::start(|_, _| {
        let head = "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 32\r\n\r\n";
        let events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
        (format!("{head}{events}").into_bytes(), true)
    })
}

#[test]
fn vm_without_feed_serves_with_state_from_peer() {
    let replica = replica();
    let (_first, second) = start_pair(&[&replica]);
    let response = second.call(&stream_request(""));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(header(&response, "t-seal"), Some("s"));
}

#[test]
fn calls_through_all_vms_count_against_budget() {
    let replica = replica();
    let (first, second) = start_pair(&[&replica]);
    let headers =
        |program: &str| format!("t-program: {program}\r\nt-budget: 10\r\nt-usage: 5,9\r\n");
    // The second call is refused whichever VM is the program's home.
    for program in ["p1", "p2", "p3", "p4", "p5", "p6"] {
        let first_response = first.call(&stream_request(&headers(program)));
        let second_response = second.call(&stream_request(&headers(program)));
        assert!(
            first_response.starts_with("HTTP/1.1 200"),
            "{first_response}"
        );
        assert!(
            second_response.starts_with("HTTP/1.1 402"),
            "{second_response}"
        );
    }
    assert_eq!(replica.requests().len(), 6);
}

#[test]
fn counts_of_drained_vm_are_kept() {
    let replica = replica();
    let (first, mut second) = start_pair(&[&replica]);
    let headers =
        |program: &str| format!("t-program: {program}\r\nt-budget: 10\r\nt-usage: 5,9\r\n");
    let programs = ["p1", "p2", "p3", "p4", "p5", "p6"];
    for program in programs {
        let response = second.call(&stream_request(&headers(program)));
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    second.start_drain();
    first.wait_for_vms(1);
    drop(second);
    for program in programs {
        let response = first.call(&stream_request(&headers(program)));
        assert!(response.starts_with("HTTP/1.1 402"), "{response}");
    }
}

/// Guards against a write load that grows with the number of homes, as it did when each
/// home wrote the ceilings of its own programs.
#[test]
fn one_vm_writes_the_ceilings_of_all_homes() {
    let replica = replica();
    let (first, second) = start_pair(&[&replica]);
    let headers =
        |program: &str| format!("t-program: {program}\r\nt-budget: 20\r\nt-usage: 5,9\r\n");
    for program in ["p1", "p2", "p3", "p4", "p5", "p6"] {
        for _ in 0..5 {
            let response = first.call(&stream_request(&headers(program)));
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
    }
    let ceilings_by_vm = [first.ceilings(), second.ceilings()];
    let writers = ceilings_by_vm
        .iter()
        .filter(|ceilings| !ceilings.is_empty());
    assert_eq!(writers.count(), 1, "{ceilings_by_vm:?}");
}
