//! A holder of turns on loopback.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::thread;

use bytes::Bytes;
use ibisdale_segments::StoreDisk;
use ibisdale_turns::{HolderIdentity, HolderInfo, HolderMetrics, HolderOptions, TurnHolder};
use prometheus::Registry;
use smol::LocalExecutor;
use smol::channel::{Sender, bounded};

use crate::support::free_address;

pub(crate) fn holder_info(address: SocketAddrV4) -> HolderInfo {
    HolderInfo {
        name: Bytes::from_static(b"holder"),
        generation: 1,
        ip: *address.ip(),
        port: address.port(),
        domain: Bytes::from_static(b"east"),
    }
}

/// A holder of turns that runs on a thread of its own and is stopped on drop.
pub(crate) struct TestHolder {
    pub(crate) address: SocketAddrV4,
    stop: Option<Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
    _folder: tempfile::TempDir,
}

impl TestHolder {
    pub(crate) fn start() -> Self {
        let address = free_address();
        let folder = tempfile::TempDir::new().unwrap();
        let options = HolderOptions {
            info: holder_info(address),
            folder: folder.path().to_owned(),
            disk_bytes: 10_000_000,
            memory_bytes: 1_000_000,
            client_limits: ibisdale_clients::ClientLimits::UNLIMITED,
            tolerated: 0,
            is_whole: true,
        };
        let (stop, stopped) = bounded(1);
        let (started, started_receiver) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let identity = HolderIdentity {
                generation: 1,
                is_new: true,
            };
            let metrics = HolderMetrics::register(&Registry::new()).unwrap();
            let disk = StoreDisk::default();
            let holder = TurnHolder::open(options, identity, disk, &executor, metrics).unwrap();
            holder.listen().unwrap();
            started.send(()).unwrap();
            // Returns when the test drops the sender to stop the holder.
            let _ = smol::block_on(executor.run(stopped.recv()));
            holder.close();
        });
        started_receiver.recv().unwrap();
        Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
            _folder: folder,
        }
    }
}

impl Drop for TestHolder {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || thread::panicking(), "the holder panicked");
        }
    }
}
