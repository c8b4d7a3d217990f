//! Entry VMs and holders over loopback connections, with files on disk.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use ibisdale_segments::StoreDisk;
use ibisdale_turns::{
    ChainError, ClientMetrics, ClientOptions, HolderInfo, HolderLinks, HolderMetrics,
    HolderOptions, HolderTable, KeptTurn, TurnClient, TurnHolder, TurnKey, read_identity,
};
use prometheus::Registry;
use smol::{LocalExecutor, Timer};
use tempfile::TempDir;

/// Longest time for an operation; generous, so that load does not fail a test.
const LIMIT: Duration = Duration::from_secs(20);
const BYTES_MAX: usize = 1_000_000;

fn key(id: &str) -> TurnKey {
    TurnKey::new(b"workspace", id.as_bytes())
}

fn turn(id: &str, previous: Option<&str>) -> KeptTurn {
    KeptTurn {
        key: key(id),
        previous: previous.map(key),
        placement: 42,
        retain_ms: 60_000,
        input: Bytes::from(format!("in {id};")),
        output: Bytes::from(format!("out {id}\n")),
    }
}

/// Returns a loopback address that no other test of any process uses, so that a holder
/// finds its port free when it starts again.
fn next_address() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, high, low, u8::try_from(number + 1).unwrap())
}

/// A holder whose process can be stopped: its executor is dropped with it.
struct RunningHolder {
    folder: TempDir,
    info: HolderInfo,
    running: RefCell<Option<(Rc<LocalExecutor<'static>>, TurnHolder)>>,
}

impl RunningHolder {
    fn start(number: u8) -> Self {
        let info = HolderInfo {
            name: Bytes::from(format!("holder-{number}")),
            generation: 0,
            ip: next_address(),
            port: 7_780,
            domain: Bytes::from(format!("domain-{number}")),
        };
        let mut holder = Self {
            folder: TempDir::new().unwrap(),
            info,
            running: RefCell::default(),
        };
        holder.restart(true);
        holder
    }

    fn restart(&mut self, is_whole: bool) {
        self.stop();
        let identity = read_identity(self.folder.path()).unwrap();
        self.info.generation = identity.generation;
        let options = HolderOptions {
            info: self.info.clone(),
            folder: self.folder.path().join("turns"),
            disk_bytes: 100_000_000,
            memory_bytes: 1_000,
            client_limits: ibisdale_clients::ClientLimits::UNLIMITED,
            tolerated: 1,
            is_whole,
        };
        let executor = Rc::new(LocalExecutor::new());
        let metrics = HolderMetrics::register(&Registry::new()).unwrap();
        let disk = StoreDisk::default();
        let holder = TurnHolder::open(options, identity, disk, &executor, metrics).unwrap();
        holder.listen().unwrap();
        *self.running.borrow_mut() = Some((executor, holder));
    }

    fn stop(&self) {
        self.running.borrow_mut().take();
    }

    fn wipe(&self) {
        self.stop();
        remove_content(self.folder.path());
    }

    fn turn_count(&self) -> usize {
        let running = self.running.borrow();
        running
            .as_ref()
            .map_or(0, |(_, holder)| holder.turn_count())
    }

    fn is_whole(&self) -> bool {
        let running = self.running.borrow();
        running
            .as_ref()
            .is_some_and(|(_, holder)| holder.is_whole())
    }
}

fn remove_content(folder: &Path) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            std::fs::remove_dir_all(path).unwrap();
        } else {
            std::fs::remove_file(path).unwrap();
        }
    }
}

struct TestFleet {
    executor: Rc<LocalExecutor<'static>>,
    holders: Vec<RunningHolder>,
}

impl TestFleet {
    fn start(count: u8) -> Self {
        let fleet = Self {
            executor: Rc::new(LocalExecutor::new()),
            holders: (0..count).map(RunningHolder::start).collect(),
        };
        fleet.register();
        fleet
    }

    fn table(&self) -> HolderTable {
        HolderTable::new(self.holders.iter().map(|holder| holder.info.clone()))
    }

    /// Passes the registered holders to all of them.
    fn register(&self) {
        for holder in &self.holders {
            if let Some((_, holder)) = &*holder.running.borrow() {
                holder.set_holders(self.table());
            }
        }
    }

    /// Creates an entry VM, without a recent turn in memory.
    fn client(&self) -> TurnClient {
        let options = ClientOptions {
            tolerated: 1,
            domain: Bytes::from_static(b"domain-0"),
            cache_bytes: 100_000,
        };
        let links = HolderLinks::new(&self.executor);
        let metrics = ClientMetrics::register(&Registry::new()).unwrap();
        let client = TurnClient::new(options, links, metrics);
        client.set_holders(self.table());
        client
    }

    /// Runs a task while the processes of all holders run.
    fn run<T>(&self, task: impl Future<Output = T>) -> T {
        let tick_holders = async {
            loop {
                for holder in &self.holders {
                    let executor = holder.running.borrow().as_ref().map(|(e, _)| Rc::clone(e));
                    if let Some(executor) = executor {
                        while executor.try_tick() {}
                    }
                }
                Timer::after(Duration::from_millis(1)).await;
            }
        };
        smol::block_on(smol::future::or(self.executor.run(task), tick_holders))
    }

    /// Runs the processes until a condition holds.
    fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        self.run(async {
            while !condition(self) {
                Timer::after(Duration::from_millis(5)).await;
            }
        });
    }

    fn keep(&self, client: &TurnClient, id: &str, previous: Option<&str>) -> bool {
        self.run(client.keep(turn(id, previous), LIMIT))
    }

    /// Returns the inputs of a chain as one text, or the error.
    fn chain(&self, id: &str) -> String {
        let client = self.client();
        match self.run(client.chain(key(id), 42, LIMIT, BYTES_MAX)) {
            Ok(chain) => {
                let inputs = chain.turns.iter().map(|turn| turn.input.as_ref());
                String::from_utf8(inputs.collect::<Vec<_>>().concat()).unwrap()
            }
            Err(error) => error.to_string(),
        }
    }
}

#[test]
fn chains_and_branches_are_found_from_any_vm() {
    let fleet = TestFleet::start(4);
    let client = fleet.client();
    for (id, previous) in [
        ("1", None),
        ("2", Some("1")),
        ("3", Some("2")),
        ("2b", Some("1")),
    ] {
        assert!(fleet.keep(&client, id, previous));
    }
    assert_eq!(fleet.chain("3"), "in 1;in 2;in 3;");
    assert_eq!(fleet.chain("2b"), "in 1;in 2b;");
    assert_eq!(fleet.chain("1"), "in 1;");
    let copies: usize = fleet.holders.iter().map(RunningHolder::turn_count).sum();
    assert_eq!(copies, 8, "each turn has two copies");
}

#[test]
fn unknown_turn_and_turn_of_another_workspace_are_missing() {
    let fleet = TestFleet::start(4);
    let client = fleet.client();
    assert!(fleet.keep(&client, "1", None));
    assert_eq!(fleet.chain("none"), "no such turn");
    let other = TurnKey::new(b"other", b"1");
    let chain = fleet.run(client.chain(other, 42, LIMIT, BYTES_MAX));
    assert_eq!(chain.unwrap_err(), ChainError::Missing);
}

#[test]
fn turn_of_a_program_that_another_program_continues_is_found() {
    let fleet = TestFleet::start(4);
    let client = fleet.client();
    assert!(fleet.keep(&client, "1", None));
    let mut continued = turn("2", Some("1"));
    for placement in 0..20 {
        continued.placement = placement;
        continued.key = key(&format!("2-{placement}"));
        assert!(fleet.run(client.keep(continued.clone(), LIMIT)));
        let other = fleet.client();
        let chain = other.chain(continued.key, placement, LIMIT, BYTES_MAX);
        let chain = fleet.run(chain).unwrap();
        let first = turn("1", None);
        let second = KeptTurn {
            placement: first.placement,
            ..continued.clone()
        };
        assert_eq!(chain.turns, [first, second]);
    }
}

/// Guards against a chain of several programs that loses its beginning: the holders of a later
/// turn can't extend the retention of an earlier one that they don't have.
#[test]
fn turn_is_kept_where_the_turn_is_that_it_continues() {
    let fleet = TestFleet::start(8);
    let client = fleet.client();
    assert!(fleet.keep(&client, "1", None));
    for placement in 0..20 {
        let mut continued = turn("2", Some("1"));
        continued.placement = placement;
        continued.key = key(&format!("2-{placement}"));
        assert!(fleet.run(client.keep(continued, LIMIT)));
    }
    let mut counts: Vec<_> = fleet
        .holders
        .iter()
        .map(RunningHolder::turn_count)
        .collect();
    counts.sort_unstable();
    assert_eq!(counts, [0, 0, 0, 0, 0, 0, 21, 21]);
}

#[test]
fn chain_beyond_the_limit_is_refused() {
    let fleet = TestFleet::start(2);
    let client = fleet.client();
    assert!(fleet.keep(&client, "1", None));
    assert!(fleet.keep(&client, "2", Some("1")));
    let chain = fleet.run(client.chain(key("2"), 42, LIMIT, 10));
    assert_eq!(chain.unwrap_err(), ChainError::TooLong);
}

#[test]
fn turns_survive_the_loss_of_each_holder_and_restarts_of_all() {
    let mut fleet = TestFleet::start(4);
    let client = fleet.client();
    assert!(fleet.keep(&client, "1", None));
    assert!(fleet.keep(&client, "2", Some("1")));
    for lost in 0..4 {
        fleet.holders[lost].stop();
        assert_eq!(fleet.chain("2"), "in 1;in 2;");
        assert_eq!(fleet.chain("none"), "no such turn", "one loss is tolerated");
        assert!(fleet.keep(&client, &format!("3-{lost}"), Some("2")));
        fleet.holders[lost].restart(true);
        fleet.register();
    }
    for holder in &mut fleet.holders {
        holder.restart(true);
    }
    fleet.register();
    assert_eq!(fleet.chain("3-2"), "in 1;in 2;in 3-2;");
}

#[test]
fn absence_is_not_certain_while_two_holders_are_lost() {
    let fleet = TestFleet::start(4);
    let client = fleet.client();
    assert!(fleet.keep(&client, "1", None));
    fleet.holders[0].stop();
    fleet.holders[1].stop();
    assert_eq!(fleet.chain("none"), "the turn can't be looked up");
}

#[test]
fn turn_is_not_kept_without_enough_holders() {
    let fleet = TestFleet::start(3);
    fleet.holders[0].stop();
    fleet.holders[1].stop();
    assert!(!fleet.keep(&fleet.client(), "1", None));
}

#[test]
fn wiped_holder_gets_its_copies_back_and_is_not_believed_before() {
    let mut fleet = TestFleet::start(2);
    let client = fleet.client();
    for number in 0..50 {
        assert!(fleet.keep(&client, &number.to_string(), None));
    }
    fleet.holders[0].wipe();
    fleet.holders[1].stop();
    fleet.holders[0].restart(false);
    fleet.register();
    assert_eq!(fleet.chain("7"), "the turn can't be looked up");
    fleet.holders[1].restart(true);
    fleet.register();
    fleet.wait_until(|fleet| fleet.holders[0].is_whole());
    assert_eq!(fleet.holders[0].turn_count(), 50);
    fleet.holders[1].stop();
    assert_eq!(fleet.chain("7"), "in 7;");
}

#[test]
fn emptied_holder_takes_no_turns_and_leaves_copies_elsewhere() {
    let mut fleet = TestFleet::start(4);
    let client = fleet.client();
    for number in 0..20 {
        let mut turn = turn(&number.to_string(), None);
        turn.placement = number;
        assert!(fleet.run(client.keep(turn, LIMIT)));
    }
    let leaving = fleet.holders[0].info.clone();
    fleet.run(async {
        while client.retire(&leaving).await != Some(0) {
            Timer::after(Duration::from_millis(5)).await;
        }
    });
    let held = fleet.holders[0].turn_count();
    for number in 20..40 {
        let mut turn = turn(&number.to_string(), None);
        turn.placement = number;
        assert!(fleet.run(client.keep(turn, LIMIT)));
    }
    assert_eq!(fleet.holders[0].turn_count(), held);
    fleet.holders.remove(0);
    fleet.register();
    let copies: usize = fleet.holders.iter().map(RunningHolder::turn_count).sum();
    assert_eq!(copies, 80, "each of 40 turns has two copies on the others");
}
