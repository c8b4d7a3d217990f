//! Costs of a holder: turns stored a second by the number of writers, a chain read back,
//! and a start with many turns.
//!
//! Each line is one run; the disk is that of the temporary folder.

use std::net::Ipv4Addr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ibisdale_segments::StoreDisk;
use ibisdale_turns::turn_log::TurnLog;
use ibisdale_turns::{
    ClientMetrics, ClientOptions, HolderIdentity, HolderInfo, HolderLinks, HolderMetrics,
    HolderOptions, HolderTable, KeptTurn, TurnClient, TurnHolder, TurnKey,
};
use prometheus::Registry;
use smol::LocalExecutor;
use tempfile::TempDir;

const LIMIT: Duration = Duration::from_mins(1);
const INPUT_BYTES: usize = 4_300;
const OUTPUT_BYTES: usize = 700;
const CHAIN_TURNS: usize = 18;
const LOOKUPS: u32 = 1_000;
const RESTART_TURNS: usize = 100_000;

fn key(number: usize) -> TurnKey {
    TurnKey::new(b"workspace", &number.to_le_bytes())
}

fn turn(number: usize, previous: Option<usize>) -> KeptTurn {
    KeptTurn {
        key: key(number),
        previous: previous.map(key),
        placement: 1,
        retain_ms: 60_000,
        input: Bytes::from(vec![b'i'; INPUT_BYTES]),
        output: Bytes::from(vec![b'o'; OUTPUT_BYTES]),
    }
}

/// A holder and an entry VM without turns in memory, on one thread.
struct BenchFleet {
    _folder: TempDir,
    executor: Rc<LocalExecutor<'static>>,
    client: TurnClient,
}

fn holder_info(port: u16) -> HolderInfo {
    HolderInfo {
        name: Bytes::from_static(b"holder"),
        generation: 1,
        ip: Ipv4Addr::new(127, 77, 0, 1),
        port,
        domain: Bytes::from_static(b"east"),
    }
}

fn open_holder(folder: &Path, port: u16, executor: &Rc<LocalExecutor<'static>>) -> TurnHolder {
    let options = HolderOptions {
        info: holder_info(port),
        folder: folder.to_owned(),
        disk_bytes: 10_000_000_000,
        memory_bytes: 10_000_000,
        client_limits: ibisdale_clients::ClientLimits::UNLIMITED,
        tolerated: 0,
        is_whole: true,
    };
    let identity = HolderIdentity {
        generation: 1,
        is_new: true,
    };
    let metrics = HolderMetrics::register(&Registry::new()).expect("unique names");
    TurnHolder::open(options, identity, StoreDisk::default(), executor, metrics).expect("opens")
}

impl BenchFleet {
    fn start(port: u16) -> Self {
        let folder = TempDir::new().expect("temporary folder");
        let executor = Rc::new(LocalExecutor::new());
        let holder = open_holder(folder.path(), port, &executor);
        holder.listen().expect("the address is free");
        let options = ClientOptions {
            tolerated: 0,
            domain: Bytes::from_static(b"east"),
            cache_bytes: 0,
        };
        let metrics = ClientMetrics::register(&Registry::new()).expect("unique names");
        let client = TurnClient::new(options, HolderLinks::new(&executor), metrics);
        client.set_holders(HolderTable::new([holder_info(port)]));
        Self {
            _folder: folder,
            executor,
            client,
        }
    }
}

fn measure_writers(port: u16, writers: usize, per_writer: usize) {
    let fleet = BenchFleet::start(port);
    let tasks: Vec<_> = (0..writers)
        .map(|writer| {
            let client = fleet.client.clone();
            fleet.executor.spawn(async move {
                for index in 0..per_writer {
                    let turn = turn(writer * per_writer + index, None);
                    assert!(client.keep(turn, LIMIT).await);
                }
            })
        })
        .collect();
    let started = Instant::now();
    smol::block_on(fleet.executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
    let elapsed = started.elapsed().as_secs_f64();
    let count = u32::try_from(writers * per_writer).expect("few turns");
    println!(
        "{writers:>3} writers: {:.0} turns/s",
        f64::from(count) / elapsed
    );
}

fn measure_chain(port: u16) {
    let fleet = BenchFleet::start(port);
    let client = &fleet.client;
    let elapsed = smol::block_on(fleet.executor.run(async {
        for number in 0..CHAIN_TURNS {
            let turn = turn(number, number.checked_sub(1));
            assert!(client.keep(turn, LIMIT).await);
        }
        let started = Instant::now();
        for _ in 0..LOOKUPS {
            let chain = client.chain(key(CHAIN_TURNS - 1), 1, LIMIT, usize::MAX);
            assert_eq!(chain.await.expect("chain").turns.len(), CHAIN_TURNS);
        }
        started.elapsed()
    }));
    println!(
        "chain of {CHAIN_TURNS} turns: {:?} a lookup",
        elapsed / LOOKUPS
    );
}

fn measure_restart(port: u16) {
    let folder = TempDir::new().expect("temporary folder");
    let opened = TurnLog::open(folder.path(), 64 << 20, StoreDisk::default(), |_, _| {});
    let (mut log, _) = opened.expect("opens");
    for first in (0..RESTART_TURNS).step_by(1_000) {
        let numbers = first..first + 1_000;
        let turns: Vec<_> = numbers.map(|number| turn(number, None)).collect();
        log.append(&turns).expect("the disk has room");
    }
    let bytes = log.total_bytes() / RESTART_TURNS as u64;
    println!("bytes on disk a turn: {bytes}");
    log.close();
    let executor = Rc::new(LocalExecutor::new());
    let started = Instant::now();
    let holder = open_holder(folder.path(), port, &executor);
    let elapsed = started.elapsed();
    println!("start with {} turns: {elapsed:?}", holder.turn_count());
}

fn main() {
    for (port, writers, per_writer) in [(7_781, 1, 300), (7_782, 8, 300), (7_783, 64, 100)] {
        measure_writers(port, writers, per_writer);
    }
    measure_chain(7_784);
    measure_restart(7_785);
}
