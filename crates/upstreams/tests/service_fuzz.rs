//! Stateful fuzz test of service calls against a reference model. The service
//! has faults, stops and restarts; calls are made singly or concurrently.

mod support;

use std::collections::BTreeMap;
use std::env;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use ibisdale_core::RunState;
use ibisdale_net::TrafficExecutor;
use ibisdale_standins::{ServiceFault, ServiceOptions, ServiceServer};
use ibisdale_upstreams::{ServiceCall, ServiceClient, ServiceReply, UpstreamError, UpstreamPool};
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::{loopback_address, open_pool};

const CASES: u32 = 200;
/// Maximum number of concurrent calls.
const MAX_CALLS: usize = 4;
/// Deadline of calls to a service that hangs.
const HANG_DEADLINE: Duration = Duration::from_millis(10);

#[derive(Clone, Debug)]
enum Transition {
    SetFault(ServiceFault),
    Stop,
    Start,
    /// Makes concurrent calls; each value tells whether a call is idempotent.
    Call(Vec<bool>),
}

/// Reference model: the current behaviour of the service.
#[derive(Clone, Debug)]
struct ServiceModel {
    fault: ServiceFault,
    is_up: bool,
}

/// Results that the model allows for one call.
#[derive(Clone, Copy, Debug)]
struct CallExpectation {
    /// Allowed run states.
    states: &'static [RunState],
    /// Minimum and maximum number of executions.
    executions: (u64, u64),
}

impl ServiceModel {
    /// Returns the allowed results of a call, given the service's behaviour.
    fn expect_call(&self, is_idempotent: bool) -> CallExpectation {
        // An idempotent call may be sent twice.
        let copies = if is_idempotent { 2 } else { 1 };
        let (states, executions): (&[RunState], _) = match self.fault {
            _ if !self.is_up => (&[RunState::NotRun, RunState::Unknown], (0, 0)),
            ServiceFault::None | ServiceFault::Garbage | ServiceFault::AnswerLate(_) => {
                (&[RunState::Ran], (1, copies))
            }
            ServiceFault::Refuse => (&[RunState::NotRun, RunState::Unknown], (0, 0)),
            ServiceFault::CloseBeforeAnswer | ServiceFault::Hang => (&[RunState::Unknown], (0, 0)),
            ServiceFault::CloseInBody | ServiceFault::LoseAnswer => {
                (&[RunState::Unknown], (1, copies))
            }
        };
        CallExpectation { states, executions }
    }
}

impl ReferenceStateMachine for ServiceModel {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            fault: ServiceFault::None,
            is_up: true,
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let fault = prop_oneof![
            3 => Just(ServiceFault::None),
            1 => Just(ServiceFault::AnswerLate(Duration::from_millis(2))),
            1 => Just(ServiceFault::CloseBeforeAnswer),
            1 => Just(ServiceFault::CloseInBody),
            1 => Just(ServiceFault::Garbage),
            1 => Just(ServiceFault::Hang),
            1 => Just(ServiceFault::LoseAnswer),
            1 => Just(ServiceFault::Refuse),
        ];
        prop_oneof![
            3 => fault.prop_map(Transition::SetFault),
            1 => Just(Transition::Stop),
            2 => Just(Transition::Start),
            6 => prop::collection::vec(any::<bool>(), 1..=MAX_CALLS).prop_map(Transition::Call),
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Transition) -> Self {
        match transition {
            Transition::SetFault(fault) => state.fault = *fault,
            Transition::Stop => state.is_up = false,
            Transition::Start => state.is_up = true,
            Transition::Call(_) => {}
        }
        state
    }
}

/// The service and its connection pool, on a separate executor.
struct ServiceFixture {
    executor: TrafficExecutor,
    address: SocketAddr,
    pool: UpstreamPool,
    service: Option<ServiceServer>,
    fault: ServiceFault,
    calls: u64,
    /// Executions by instances of the service that were stopped.
    executions: BTreeMap<String, u64>,
}

impl ServiceFixture {
    fn new() -> Self {
        let executor = TrafficExecutor::default();
        let service = ServiceServer::start(loopback_address(), &executor, ServiceOptions::new());
        let service = service.unwrap();
        let address = service.get_address();
        Self {
            pool: open_pool(address, &executor),
            executor,
            address,
            service: Some(service),
            fault: ServiceFault::None,
            calls: 0,
            executions: BTreeMap::new(),
        }
    }

    fn start(&mut self) {
        if self.service.is_none() {
            let options = ServiceOptions::new().fault(self.fault);
            let service = ServiceServer::start(self.address, &self.executor, options);
            self.service = Some(service.unwrap());
        }
    }

    fn stop(&mut self) {
        let Some(service) = self.service.take() else {
            return;
        };
        for (request, count) in service.get_counters().executions {
            *self.executions.entry(request).or_default() += count;
        }
        let executor = self.executor.clone();
        smol::block_on(executor.run(service.close()));
    }

    fn set_fault(&mut self, fault: ServiceFault) {
        self.fault = fault;
        if let Some(service) = &self.service {
            service.set_fault(fault);
        }
    }

    fn get_executions(&self, request: &str) -> u64 {
        let current = self
            .service
            .as_ref()
            .map_or(0, |service| service.get_counters().get_executions(request));
        current + self.executions.get(request).copied().unwrap_or(0)
    }

    /// Makes concurrent calls and checks each against the model.
    fn call(&mut self, model: &ServiceModel, calls: &[bool]) {
        let mut tasks = Vec::new();
        for is_idempotent in calls {
            self.calls += 1;
            let request = format!("request-{}", self.calls);
            let call = self.create_call(&request, *is_idempotent);
            let client = ServiceClient::new(self.pool.clone());
            let task = self.executor.spawn(async move { client.call(call).await });
            tasks.push((request, *is_idempotent, task));
        }
        let executor = self.executor.clone();
        for (request, is_idempotent, task) in tasks {
            let result = smol::block_on(executor.run(task));
            let expectation = model.expect_call(is_idempotent);
            self.check(&request, &result, expectation);
        }
    }

    fn create_call(&self, request: &str, is_idempotent: bool) -> ServiceCall {
        let call = ServiceCall::new(Method::POST, "/bookings")
            .body(format!(r#"{{"request_id": "{request}"}}"#))
            .idempotent(is_idempotent);
        if self.fault == ServiceFault::Hang && self.service.is_some() {
            return call.deadline(Instant::now() + HANG_DEADLINE);
        }
        call
    }

    fn check(
        &self,
        request: &str,
        result: &Result<ServiceReply, UpstreamError>,
        expectation: CallExpectation,
    ) {
        let state = match result {
            Ok(reply) => reply.get_run_state(),
            Err(error) => error.get_run_state(),
        };
        let executions = self.get_executions(request);
        // On a busy machine the deadline may pass before the call is sent.
        let expired_before_send = self.fault == ServiceFault::Hang && state == RunState::NotRun;
        assert!(
            expectation.states.contains(&state) || expired_before_send,
            "{request}: {result:?} is not in {expectation:?}"
        );
        let (min, max) = expectation.executions;
        assert!(
            (min..=max).contains(&executions),
            "{request}: {executions} executions, {expectation:?}"
        );
        assert!(
            state != RunState::NotRun || executions == 0,
            "{request} ran, although its run state is NotRun"
        );
        self.check_body(request, result);
    }

    /// Checks that an intact response belongs to this request.
    fn check_body(&self, request: &str, result: &Result<ServiceReply, UpstreamError>) {
        let is_intact = matches!(self.fault, ServiceFault::None | ServiceFault::AnswerLate(_));
        if let (Ok(reply), true) = (result, is_intact) {
            let body: serde_json::Value = serde_json::from_slice(reply.get_body()).unwrap();
            assert_eq!(body["request_id"], request);
        }
    }
}

impl StateMachineTest for ServiceFixture {
    type SystemUnderTest = Self;
    type Reference = ServiceModel;

    fn init_test(_: &ServiceModel) -> Self {
        Self::new()
    }

    fn apply(mut state: Self, model: &ServiceModel, transition: Transition) -> Self {
        match transition {
            Transition::SetFault(fault) => state.set_fault(fault),
            Transition::Stop => state.stop(),
            Transition::Start => state.start(),
            Transition::Call(calls) => state.call(model, &calls),
        }
        state
    }
}

fn config() -> Config {
    let mut config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    if env::var_os("PROPTEST_CASES").is_none() {
        config.cases = CASES;
    }
    config
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn call_results_match_the_model(sequential 1..30 => ServiceFixture);
}
