//! Stateful fuzzing of borrowed credit with lost, delayed, duplicated and reordered
//! messages and with homes that fail and are taken over.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use ibisdale_policy::{BorrowReply, BorrowRequest, CreditBorrower, CreditHome, CreditRate};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const BORROWERS: usize = 3;
const RATE: CreditRate = CreditRate::new(7_000, 6);

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Request(usize),
    /// A borrower borrows for this many requests, which are then not made.
    Borrow(usize, u64),
    /// A borrower spends all its credit.
    Spend(usize),
    /// Delivers the message at this index, modulo the number of messages.
    Deliver(usize),
    /// Delivers all messages, including those sent in reply.
    DeliverAll,
    Drop(usize),
    Duplicate(usize),
    /// The home of a part fails and another daemon takes the part over.
    TakeOver(usize),
    /// A borrower returns all its credit.
    Close(usize),
}

/// Reference model without state: [`CreditSystem::check_window`] checks the admitted
/// requests against rate and burst.
#[derive(Clone, Debug)]
struct StatelessModel;

impl ReferenceStateMachine for StatelessModel {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Step> {
        let index = 0..64_usize;
        prop_oneof![
            4 => (1..400_u64).prop_map(Step::Advance),
            4 => (0..BORROWERS).prop_map(Step::Request),
            4 => (0..BORROWERS, 1..9_u64).prop_map(|(borrower, count)| Step::Borrow(borrower, count)),
            2 => (0..BORROWERS).prop_map(Step::Spend),
            4 => index.clone().prop_map(Step::Deliver),
            6 => Just(Step::DeliverAll),
            1 => index.clone().prop_map(Step::Drop),
            1 => index.prop_map(Step::Duplicate),
            1 => (0..3_usize).prop_map(Step::TakeOver),
            1 => (0..BORROWERS).prop_map(Step::Close),
        ]
        .boxed()
    }

    fn apply(state: Self, _step: &Step) -> Self {
        state
    }
}

#[derive(Clone, Debug)]
enum Message {
    Request {
        borrower: usize,
        request: BorrowRequest,
    },
    Reply {
        borrower: usize,
        request: BorrowRequest,
        reply: BorrowReply,
    },
}

struct CreditSystem {
    now: TimeStamp,
    homes: Vec<CreditHome>,
    epoch: u64,
    borrowers: Vec<CreditBorrower>,
    messages: Vec<Message>,
    admitted: Vec<TimeStamp>,
}

impl CreditSystem {
    fn handle_request(&mut self, borrower: usize) {
        if self.borrowers[borrower].try_spend(self.now) {
            self.admit();
        }
        self.send_borrow_requests(borrower, 1);
    }

    fn spend(&mut self, borrower: usize) {
        while self.borrowers[borrower].try_spend_for_waiting(self.now) {
            self.admit();
        }
    }

    fn admit(&mut self) {
        self.admitted.push(self.now);
        self.check_window();
    }

    fn send_borrow_requests(&mut self, borrower: usize, waiting: u64) {
        let requests = self.borrowers[borrower].next_requests(waiting, self.now);
        self.messages.extend(
            requests
                .into_iter()
                .map(|request| Message::Request { borrower, request }),
        );
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request { borrower, request } => {
                let part = usize::try_from(request.part).expect("the part index fits");
                let reply = self.homes[part].borrow(request.wanted, &request.returns, self.now);
                self.messages.push(Message::Reply {
                    borrower,
                    request,
                    reply,
                });
            }
            Message::Reply {
                borrower,
                request,
                reply,
            } => {
                self.borrowers[borrower].handle_reply(&request, &reply, self.now);
            }
        }
    }

    /// Checks that no period that ends now has more admitted requests than rate and
    /// burst allow.
    fn check_window(&self) {
        let last = self.now;
        for (index, first) in self.admitted.iter().enumerate() {
            let count = u64::try_from(self.admitted.len() - index).expect("the count fits");
            let accrued = RATE.accrued(last.since(*first));
            let allowed = RATE.burst.plus(accrued).as_micro_requests();
            assert!(
                count * 1_000_000 <= allowed,
                "{count} requests between {first:?} and {last:?}"
            );
        }
    }

    fn message_index(&self, index: usize) -> Option<usize> {
        (!self.messages.is_empty()).then(|| index % self.messages.len())
    }
}

struct CreditTest;

impl StateMachineTest for CreditTest {
    type SystemUnderTest = CreditSystem;
    type Reference = StatelessModel;

    fn init_test(_state: &StatelessModel) -> CreditSystem {
        let now = TimeStamp::from_millis(10_000);
        let parts = usize::try_from(RATE.parts()).expect("the part count fits");
        CreditSystem {
            now,
            homes: vec![CreditHome::new(RATE.part_rate(), 1, now); parts],
            epoch: 1,
            borrowers: vec![CreditBorrower::new(RATE, now); BORROWERS],
            messages: Vec::new(),
            admitted: Vec::new(),
        }
    }

    fn apply(mut system: CreditSystem, _state: &StatelessModel, step: Step) -> CreditSystem {
        match step {
            Step::Advance(millis) => system.now = system.now.plus(Duration::from_millis(millis)),
            Step::Request(borrower) => system.handle_request(borrower),
            Step::Borrow(borrower, count) => system.send_borrow_requests(borrower, count),
            Step::Spend(borrower) => system.spend(borrower),
            Step::Deliver(index) => {
                if let Some(index) = system.message_index(index) {
                    let message = system.messages.swap_remove(index);
                    system.deliver(message);
                }
            }
            Step::DeliverAll => {
                while let Some(message) = system.messages.pop() {
                    system.deliver(message);
                }
            }
            Step::Drop(index) => {
                if let Some(index) = system.message_index(index) {
                    system.messages.swap_remove(index);
                }
            }
            Step::Duplicate(index) => {
                if let Some(index) = system.message_index(index) {
                    let message = system.messages[index].clone();
                    system.deliver(message);
                }
            }
            Step::TakeOver(part) => {
                system.epoch += 1;
                system.homes[part] =
                    CreditHome::take_over(RATE.part_rate(), system.epoch, system.now);
            }
            Step::Close(borrower) => {
                let requests = system.borrowers[borrower].close();
                let requests = requests
                    .into_iter()
                    .map(|request| Message::Request { borrower, request });
                system.messages.extend(requests);
            }
        }
        system
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_rate_and_burst(sequential 1..120 => CreditTest);
}
