//! The traffic threads.

use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;

use async_channel::{Receiver, Sender};
use ibisdale_net::TrafficExecutor;

/// Threads that run the traffic executor.
#[derive(Debug)]
pub(crate) struct TrafficThreads {
    executor: TrafficExecutor,
    stop: Sender<()>,
    handles: Vec<JoinHandle<()>>,
}

impl TrafficThreads {
    /// Starts `count` threads.
    ///
    /// # Errors
    ///
    /// Fails when the system gives no thread.
    pub(crate) fn start(count: usize) -> io::Result<Self> {
        let executor = TrafficExecutor::default();
        let (stop, stopped) = async_channel::bounded(1);
        let mut handles = Vec::with_capacity(count);
        for index in 0..count.max(1) {
            handles.push(spawn_thread(index, Arc::clone(&executor), stopped.clone())?);
        }
        Ok(Self {
            executor,
            stop,
            handles,
        })
    }

    /// Returns the executor that the threads run.
    pub(crate) fn get_executor(&self) -> &TrafficExecutor {
        &self.executor
    }

    /// Stops the threads; tasks that still run are dropped.
    pub(crate) fn close(self) {
        self.stop.close();
        for handle in self.handles {
            if handle.join().is_err() {
                log::error!("a traffic thread panicked");
            }
        }
    }
}

fn spawn_thread(
    index: usize,
    executor: TrafficExecutor,
    stopped: Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    let builder = std::thread::Builder::new().name(format!("traffic-{index}"));
    builder.spawn(move || {
        // The channel carries nothing: it is closed when the threads stop.
        let _ = smol::block_on(executor.run(stopped.recv()));
    })
}
