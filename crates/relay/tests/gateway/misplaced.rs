//! Entries that name the address of another replica.

use std::thread;
use std::time::Duration;

use crate::support::{ScriptedReplica, TestGateway, header};

/// Number of entries that name the address of the only replica.
const WRONG_ENTRIES: usize = 24;
/// Requests after which the VM knows of all wrong entries; each is sent up to five times.
const FIRST_REQUESTS: usize = 10;
/// Time between requests, after which a replica that refused one is offered others again.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);

/// Requests were offered to wrong entries again and again, and refused after five of them.
#[test]
fn wrong_entries_do_not_keep_requests_from_the_replica() {
    let replica = ScriptedReplica::start(|_, request| {
        let response = if header(request, "t-target") == Some("replica-0") {
            "HTTP/1.1 200 OK\r\nt-attempt: a1\r\nt-seal: s\r\nContent-Length: 2\r\n\r\nok"
        } else {
            "HTTP/1.1 421 Misdirected Request\r\nt-attempt: a1\r\nContent-Length: 0\r\n\r\n"
        };
        (response.as_bytes().to_vec(), true)
    });
    let wrong: Vec<_> = (0..WRONG_ENTRIES)
        .map(|_| ScriptedReplica::at(replica.address))
        .collect();
    let mut entries = vec![&replica];
    entries.extend(&wrong);
    let gateway = TestGateway::start(&entries);
    let request = "POST /act/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: a1\r\n\
                   t-deadline: 5000\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\
                   Content-Length: 0\r\n\r\n";
    let served = |requests: usize| {
        let responses = (0..requests).map(|_| {
            thread::sleep(REQUEST_INTERVAL);
            gateway.call(request)
        });
        responses
            .filter(|response| response.starts_with("HTTP/1.1 200"))
            .count()
    };
    served(FIRST_REQUESTS);
    assert_eq!(served(20), 20);
}
