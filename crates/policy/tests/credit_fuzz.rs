//! Stateful fuzzing of rate credit with lost, late, doubled and crossed messages
//! and with homes that die and are taken over.

use std::time::Duration;

use ibisdale_core::TimeStamp;
use ibisdale_policy::{CreditAnswer, CreditBorrower, CreditHome, CreditOrder, CreditRate};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const BORROWERS: usize = 3;
const RATE: CreditRate = CreditRate::new(7_000, 6);

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Request(usize),
    /// A borrower orders for requests that are then not made.
    Hoard(usize, u64),
    /// A borrower spends all that it holds.
    Spend(usize),
    /// Delivers the message at this index, modulo their number.
    Deliver(usize),
    /// Delivers all messages, and what they bring about.
    DeliverAll,
    Lose(usize),
    Double(usize),
    /// The home of a part dies and another takes it over.
    TakeOver(usize),
    /// A borrower gives back what it holds.
    Close(usize),
}

/// The oracle: the times of all requests that were let through.
#[derive(Clone, Debug)]
struct Window;

impl ReferenceStateMachine for Window {
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
            4 => (0..BORROWERS, 1..9_u64).prop_map(|(borrower, count)| Step::Hoard(borrower, count)),
            2 => (0..BORROWERS).prop_map(Step::Spend),
            4 => index.clone().prop_map(Step::Deliver),
            6 => Just(Step::DeliverAll),
            1 => index.clone().prop_map(Step::Lose),
            1 => index.prop_map(Step::Double),
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
    Order {
        borrower: usize,
        order: CreditOrder,
    },
    Answer {
        borrower: usize,
        order: CreditOrder,
        answer: CreditAnswer,
    },
}

struct Bank {
    now: TimeStamp,
    homes: Vec<CreditHome>,
    epoch: u64,
    borrowers: Vec<CreditBorrower>,
    messages: Vec<Message>,
    passed: Vec<TimeStamp>,
}

impl Bank {
    fn request(&mut self, borrower: usize) {
        if self.borrowers[borrower].take(self.now) {
            self.pass();
        }
        self.send_orders(borrower, 1);
    }

    fn spend(&mut self, borrower: usize) {
        while self.borrowers[borrower].take_waiting(self.now) {
            self.pass();
        }
    }

    fn pass(&mut self) {
        self.passed.push(self.now);
        self.check_window();
    }

    fn send_orders(&mut self, borrower: usize, waiting: u64) {
        let orders = self.borrowers[borrower].orders(waiting, self.now);
        self.messages.extend(
            orders
                .into_iter()
                .map(|order| Message::Order { borrower, order }),
        );
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Order { borrower, order } => {
                let part = usize::try_from(order.part).expect("small");
                let answer = self.homes[part].borrow(order.wanted, &order.returns, self.now);
                self.messages.push(Message::Answer {
                    borrower,
                    order,
                    answer,
                });
            }
            Message::Answer {
                borrower,
                order,
                answer,
            } => {
                self.borrowers[borrower].answer(&order, &answer, self.now);
            }
        }
    }

    /// No stretch of time has more requests than rate and burst allow.
    fn check_window(&self) {
        let last = self.now;
        for (index, first) in self.passed.iter().enumerate() {
            let count = u64::try_from(self.passed.len() - index).expect("small");
            let accrued = RATE.accrued(last.since(*first));
            let allowed = RATE.burst.plus(accrued).as_micros();
            assert!(
                count * 1_000_000 <= allowed,
                "{count} requests since {first:?} at {last:?}"
            );
        }
    }

    fn pick(&self, index: usize) -> Option<usize> {
        (!self.messages.is_empty()).then(|| index % self.messages.len())
    }
}

struct CreditTest;

impl StateMachineTest for CreditTest {
    type SystemUnderTest = Bank;
    type Reference = Window;

    fn init_test(_state: &Window) -> Bank {
        let now = TimeStamp::from_millis(10_000);
        let parts = usize::try_from(RATE.parts()).expect("small");
        Bank {
            now,
            homes: vec![CreditHome::first(RATE.share(), 1, now); parts],
            epoch: 1,
            borrowers: vec![CreditBorrower::new(RATE, now); BORROWERS],
            messages: Vec::new(),
            passed: Vec::new(),
        }
    }

    fn apply(mut bank: Bank, _state: &Window, step: Step) -> Bank {
        match step {
            Step::Advance(millis) => bank.now = bank.now.plus(Duration::from_millis(millis)),
            Step::Request(borrower) => bank.request(borrower),
            Step::Hoard(borrower, count) => bank.send_orders(borrower, count),
            Step::Spend(borrower) => bank.spend(borrower),
            Step::Deliver(index) => {
                if let Some(index) = bank.pick(index) {
                    let message = bank.messages.swap_remove(index);
                    bank.deliver(message);
                }
            }
            Step::DeliverAll => {
                while let Some(message) = bank.messages.pop() {
                    bank.deliver(message);
                }
            }
            Step::Lose(index) => {
                if let Some(index) = bank.pick(index) {
                    bank.messages.swap_remove(index);
                }
            }
            Step::Double(index) => {
                if let Some(index) = bank.pick(index) {
                    let message = bank.messages[index].clone();
                    bank.deliver(message);
                }
            }
            Step::TakeOver(part) => {
                bank.epoch += 1;
                bank.homes[part] = CreditHome::take_over(RATE.share(), bank.epoch, bank.now);
            }
            Step::Close(borrower) => {
                let orders = bank.borrowers[borrower].close();
                let orders = orders
                    .into_iter()
                    .map(|order| Message::Order { borrower, order });
                bank.messages.extend(orders);
            }
        }
        bank
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    #[test]
    fn no_window_has_more_than_rate_and_burst(sequential 1..120 => CreditTest);
}
