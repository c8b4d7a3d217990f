//! Executor of the gateway's thread.

use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use smol::{LocalExecutor, Task};

/// Time for which tasks run before sockets and timers are looked at again.
const RUN_TIME: Duration = Duration::from_millis(5);
/// Number of polls of control tasks after which clients' tasks get a turn.
const CONTROL_POLLS_MAX: u32 = 100;

/// Two lanes of tasks on one thread: those that keep the VM in step with the store and the other
/// VMs, which go first, and those of clients' connections.
///
/// Beside other control tasks, a control task waits for one poll of a client's task, and for
/// sockets and timers 5 ms at most, however many clients there are.
#[derive(Default)]
pub struct TaskLanes {
    control: Rc<LocalExecutor<'static>>,
    clients: LocalExecutor<'static>,
}

impl TaskLanes {
    /// Returns the executor of the control tasks.
    #[must_use]
    pub fn control(&self) -> &Rc<LocalExecutor<'static>> {
        &self.control
    }

    /// Spawns a control task.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        self.control.spawn(future)
    }

    /// Spawns a task of a client's connection.
    pub fn spawn_client<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        self.clients.spawn(future)
    }

    /// Runs the tasks until `future` completes.
    pub async fn run<T>(&self, future: impl Future<Output = T>) -> T {
        let run_tasks = async {
            loop {
                if self.run_for(RUN_TIME) {
                    // Lets the caller's loop look at sockets and timers.
                    yield_now().await;
                } else {
                    self.control.tick().or(self.clients.tick()).await;
                }
            }
        };
        future.or(run_tasks).await
    }

    /// Runs ready tasks for `time`; returns whether there may be more of them.
    fn run_for(&self, time: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < time {
            let mut polls = 0;
            while polls < CONTROL_POLLS_MAX && self.control.try_tick() {
                polls += 1;
            }
            if !self.clients.try_tick() && polls < CONTROL_POLLS_MAX {
                return false;
            }
        }
        true
    }
}

impl fmt::Debug for TaskLanes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("TaskLanes")
    }
}
