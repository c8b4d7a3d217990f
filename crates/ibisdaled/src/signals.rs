//! The signals that end the daemon.

use std::io;

use ibisdale_telemetry::record_event;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Calls `start` at the first signal that ends the process.
///
/// Later signals are noted and do not cut the shutdown short.
///
/// # Errors
///
/// Fails when the system takes no signal handlers or no thread.
pub(crate) fn drain_on_signal(start: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let builder = std::thread::Builder::new().name("signals".to_owned());
    builder.spawn(move || {
        if signals.forever().next().is_some() {
            start();
        }
        for signal in signals.forever() {
            record_event!(SignalRepeated, signal = signal);
        }
    })?;
    Ok(())
}
