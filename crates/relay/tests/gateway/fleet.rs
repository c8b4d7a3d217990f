//! Two gateways that exchange what they know.

use crate::support::{ScriptedReplica, TestGateway, TestGatewayOptions, header};

fn turn(more: &str) -> String {
    format!(
        "POST /stream/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\nt-deadline: 5000\r\n\
         Authorization: Bearer secret\r\nConnection: close\r\nContent-Length: 0\r\n{more}\r\n"
    )
}

fn replica() -> ScriptedReplica {
    ScriptedReplica::start(|_, _| {
        let head = "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 32\r\n\r\n";
        let events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
        (format!("{head}{events}").into_bytes(), true)
    })
}

/// Starts two VMs, of which only the first got anything from outside.
fn pair(replica: &ScriptedReplica) -> (TestGateway, TestGateway) {
    let first = TestGateway::start(&[replica]);
    let options = TestGatewayOptions {
        is_feed_unconfirmed: true,
        has_no_plan: true,
        seed: Some(first.peers),
    };
    let second = TestGateway::start_with(&[], options);
    first.wait_for_vms(2);
    second.wait_for_vms(2);
    (first, second)
}

#[test]
fn vm_without_contact_to_the_store_serves_with_what_its_peer_knows() {
    let replica = replica();
    let (_first, second) = pair(&replica);
    let answer = second.call(&turn(""));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(header(&answer, "t-seal"), Some("s"));
}

#[test]
fn budget_counts_calls_through_every_vm() {
    let replica = replica();
    let (first, second) = pair(&replica);
    let more = |program: &str| format!("t-program: {program}\r\nt-budget: 10\r\nt-usage: 5,9\r\n");
    // Whichever VM is the home, a call at the other one counts.
    for program in ["p1", "p2", "p3", "p4", "p5", "p6"] {
        let one = first.call(&turn(&more(program)));
        let other = second.call(&turn(&more(program)));
        assert!(one.starts_with("HTTP/1.1 200"), "{one}");
        assert!(other.starts_with("HTTP/1.1 402"), "{other}");
    }
    assert_eq!(replica.requests().len(), 6);
}

#[test]
fn counts_of_a_vm_that_stops_in_good_order_are_kept() {
    let replica = replica();
    let (first, mut second) = pair(&replica);
    let more = |program: &str| format!("t-program: {program}\r\nt-budget: 10\r\nt-usage: 5,9\r\n");
    let programs = ["p1", "p2", "p3", "p4", "p5", "p6"];
    for program in programs {
        let answer = second.call(&turn(&more(program)));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    second.start_drain();
    first.wait_for_vms(1);
    drop(second);
    for program in programs {
        let answer = first.call(&turn(&more(program)));
        assert!(answer.starts_with("HTTP/1.1 402"), "{answer}");
    }
}

/// Each home once wrote the ceilings of its programs itself.
#[test]
fn one_vm_writes_the_ceilings_of_all_homes() {
    let replica = replica();
    let (first, second) = pair(&replica);
    let more = |program: &str| format!("t-program: {program}\r\nt-budget: 20\r\nt-usage: 5,9\r\n");
    for program in ["p1", "p2", "p3", "p4", "p5", "p6"] {
        for _ in 0..5 {
            let answer = first.call(&turn(&more(program)));
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    }
    let writes = [first.ceilings(), second.ceilings()];
    let used = writes.iter().filter(|ceilings| !ceilings.is_empty());
    assert_eq!(used.count(), 1, "{writes:?}");
}
