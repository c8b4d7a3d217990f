//! Routes and the services that they lead to.

use crate::support::{ScriptedReplica, TestGateway, header};

/// Starts a replica that refuses each request, breaks off or responds in full, in turn.
fn unreliable_replica() -> ScriptedReplica {
    ScriptedReplica::start(|number, request| {
        let attempt = header(request, "t-attempt").unwrap_or_default();
        let head = format!("t-attempt: {attempt}\r\nContent-Length: 32\r\n");
        let events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
        match number % 3 {
            0 => (Vec::new(), false),
            1 => {
                let refusal = format!("HTTP/1.1 503 Busy\r\nt-not-run: 1\r\n{head}\r\n{events}");
                (refusal.into_bytes(), true)
            }
            _ => {
                let response = format!("HTTP/1.1 200 OK\r\nt-seal: s\r\n{head}\r\n{events}");
                (response.into_bytes(), true)
            }
        }
    })
}

/// Guards against requests that reach a replica of a service outside their route, also when all
/// replicas of the route refuse or fail.
#[test]
fn request_stays_with_the_services_of_its_route() {
    let replicas = [unreliable_replica(), unreliable_replica()];
    let mut other = unreliable_replica();
    other.service = "other";
    let gateway = TestGateway::start(&[&replicas[0], &other, &replicas[1]]);
    for number in 0..60 {
        let route = ["read", "act", "stream", "talk"][number % 4];
        gateway.call(&format!(
            "POST /{route}/x HTTP/1.1\r\nHost: host.test\r\nt-attempt: a{number}\r\n\
             t-deadline: 2000\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\
             Content-Length: 0\r\n\r\n"
        ));
    }
    assert_eq!(other.requests(), Vec::<String>::new());
    assert!(
        replicas
            .iter()
            .all(|replica| !replica.requests().is_empty())
    );
}
