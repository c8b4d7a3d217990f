//! Losses of VMs, and whether one took both VMs that knew a program's account.

use crate::decide::members::VmKey;

/// Death, restart or silence of a VM, which may lose what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmLoss {
    /// The VM.
    pub vm: VmKey,
    /// Start time of the process that was lost; 0 if unknown.
    pub incarnation: u64,
    /// Time of its last heartbeat, in milliseconds.
    pub at_ms: u64,
}

/// Returns whether both VMs that rank first for a program may have been lost before other
/// VMs got copies of what they knew.
///
/// `ranked` holds all VMs, the most preferred home first. Losses that are up to `window_ms`
/// apart count as one. A VM for which `is_down` is true has not come back since its last
/// loss, so the VMs after it ranked first from then on.
#[must_use]
pub fn may_have_lost_pair(
    ranked: &[VmKey],
    losses: &[VmLoss],
    is_down: &dyn Fn(VmKey) -> bool,
    window_ms: u64,
) -> bool {
    let last_loss_ms = |vm: VmKey| {
        let own = losses.iter().filter(|loss| loss.vm == vm);
        own.map(|loss| loss.at_ms).max()
    };
    losses.iter().any(|first| {
        let is_lost_then = |vm: VmKey| {
            let own = losses.iter().filter(|loss| loss.vm == vm);
            own.into_iter()
                .any(|loss| loss.at_ms.abs_diff(first.at_ms) <= window_ms)
        };
        let was_down = |vm: VmKey| {
            is_down(vm) && last_loss_ms(vm).is_some_and(|at_ms| at_ms + window_ms < first.at_ms)
        };
        let mut pair = ranked.iter().filter(|vm| !was_down(**vm)).take(2);
        pair.all(|vm| is_lost_then(*vm))
    })
}
