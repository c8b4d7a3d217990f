//! The order service counts each execution.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderValue, Method};
use ibisdale_net::TrafficExecutor;
use ibisdale_standins::{ServiceOptions, ServiceServer};
use ibisdale_upstreams::{LoadClient, PoolOptions, ServiceCall, ServiceClient, UpstreamPool};

fn booking(request: &str) -> ServiceCall {
    let body = format!(r#"{{"request_id": "{request}"}}"#);
    ServiceCall::new(Method::POST, "/bookings").body(body)
}

#[test]
fn counts_executions_by_request() {
    let executor = TrafficExecutor::default();
    let test = async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = ServiceOptions::new().capacity(4);
        let service = ServiceServer::start(any, &executor, options).unwrap();
        let address = service.get_address();
        let pool = UpstreamPool::new(address, executor.clone(), PoolOptions::new());
        let client = ServiceClient::new(pool.clone());
        for request in ["one", "two", "one"] {
            client.call(booking(request)).await.unwrap();
        }
        let mut headers = HeaderMap::new();
        headers.insert("idempotency-key", HeaderValue::from_static("three"));
        client.call(booking("one").headers(&headers)).await.unwrap();
        let unnamed = ServiceCall::new(Method::POST, "/bookings").body("{}");
        let reply = client.call(unnamed).await.unwrap();
        assert_eq!(reply.get_status().as_u16(), 400);
        insta::assert_debug_snapshot!(service.get_counters().executions, @r#"
        {
            "one": 2,
            "three": 1,
            "two": 1,
        }
        "#);
        assert_eq!(service.get_counters().get_most_executions(), 2);
        let load = LoadClient::new(pool, None).read_load().await.unwrap();
        assert_eq!((load.running, load.capacity), (0, 4));
        service.close().await;
        assert!(client.call(booking("four")).await.is_err());
    };
    smol::block_on(executor.run(test));
}
