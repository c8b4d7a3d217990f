//! The thread that runs the control state.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::thread::JoinHandle;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use futures_lite::FutureExt;

use super::handle::ControlHandle;
use super::message::ControlMessage;
use super::programs;
use super::state::{ControlOptions, ControlState, answer};
use crate::clock::unix_now;

/// State as the thread's tasks share it.
pub(super) type SharedState = Rc<RefCell<ControlState>>;
/// The thread's own executor.
pub(super) type ControlTasks = Rc<LocalExecutor<'static>>;

/// The running control thread.
#[derive(Debug)]
pub(crate) struct ControlThread {
    control: ControlHandle,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the system gives no thread.
    pub(crate) fn start(options: ControlOptions) -> io::Result<Self> {
        let (sender, receiver) = async_channel::unbounded();
        let builder = std::thread::Builder::new().name("control".to_owned());
        let thread = builder.spawn(move || run_thread(options, receiver))?;
        Ok(Self {
            control: ControlHandle::new(sender),
            thread,
        })
    }

    /// Returns the handle that sends messages to the thread.
    pub(crate) fn get_handle(&self) -> &ControlHandle {
        &self.control
    }

    /// Stops the thread and waits for its end.
    pub(crate) fn close(self) {
        self.control.stop();
        if self.thread.join().is_err() {
            log::error!("the control thread panicked");
        }
    }
}

fn run_thread(options: ControlOptions, receiver: Receiver<ControlMessage>) {
    let tasks = ControlTasks::default();
    let state = Rc::new(RefCell::new(ControlState::new(options)));
    let run = receive_messages(Rc::clone(&tasks), state, receiver);
    smol::block_on(tasks.run(run));
}

async fn receive_messages(
    tasks: ControlTasks,
    state: SharedState,
    receiver: Receiver<ControlMessage>,
) {
    loop {
        let delay = state.borrow().next_delay(unix_now());
        let timer = async {
            smol::Timer::after(delay).await;
            None
        };
        let message = async { Some(receiver.recv().await) };
        match message.or(timer).await {
            Some(Ok(ControlMessage::Stop) | Err(_)) => return,
            Some(Ok(message)) => handle_message(&tasks, &state, message),
            None => state.borrow_mut().expire(),
        }
    }
}

fn handle_message(tasks: &ControlTasks, shared: &SharedState, message: ControlMessage) {
    let mut state = shared.borrow_mut();
    match message {
        ControlMessage::Start(new, reply) => {
            let started = state.start_program(*new);
            programs::answer_started(tasks, started, reply);
        }
        ControlMessage::Admit(request, reply) => state.admit_step(*request, reply),
        ControlMessage::Finish(ticket, outcome, reply) => {
            let finished = state.finish_step(*ticket, outcome);
            programs::answer_finished(tasks, shared, finished, reply);
        }
        ControlMessage::End(program, workspace, reply) => {
            answer(&reply, state.end_program(program, &workspace));
        }
        ControlMessage::Cancel(program, workspace, reply) => {
            answer(&reply, state.cancel_program(program, workspace.as_ref()));
        }
        ControlMessage::Summary(program, workspace, reply) => {
            answer(&reply, state.summarize(program, workspace.as_ref()));
        }
        ControlMessage::Step(program, workspace, step, reply) => {
            answer(&reply, state.table.step_state(program, &workspace, step));
        }
        ControlMessage::Programs(reply) => answer(&reply, state.table.all_programs()),
        ControlMessage::Route(request, reply) => state.route_call(*request, reply),
        ControlMessage::OpenSession(program, address, reply) => {
            let pending = state.open_session(program, address);
            programs::answer_stored(tasks, pending, reply);
        }
        ControlMessage::Certain(is_certain) => state.table.set_ownership_certain(is_certain),
        ControlMessage::FirstToken(route) => state.note_first_token(&route),
        ControlMessage::CallEnded(route, report) => state.end_call(&route, report),
        ControlMessage::Upstreams(vms) => state.set_upstreams(vms),
        ControlMessage::Load(address, report) => state.record_load(address, report),
        ControlMessage::BeginSlots(slots) => state.begin_slots(&slots),
        ControlMessage::OpenSlot(slot, recovery, unsent) => {
            state.open_slot(slot, *recovery, &unsent);
        }
        ControlMessage::ReleaseSlots(slots) => state.release_slots(&slots),
        ControlMessage::Export(root, reply) => {
            answer(&reply, state.table.export(root).unwrap_or_default());
        }
        ControlMessage::KeyWithdrawn(workspace, key) => state.end_withdrawn(&workspace, &key),
        ControlMessage::Cleanups(reply) => answer(&reply, state.cleanups()),
        ControlMessage::CleanupDone(key, reply) => {
            state.confirm_cleanup(key);
            answer(&reply, ());
        }
        ControlMessage::Sweep(engine, held) => state.sweep_engine(engine, &held),
        ControlMessage::Spawn(task) => tasks.spawn(task.0).detach(),
        ControlMessage::Stop => {}
    }
}
