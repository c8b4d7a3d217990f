//! VMs that the directory names to callers.

use std::thread;
use std::time::Duration;

use crate::fleet_support::start_fleet;
use crate::support::ScriptedReplica;

/// Time after which a VM that has ended must not be named any more.
const ENDED_VM_MAX_AGE: Duration = Duration::from_secs(6);

/// Guards against directories that name a killed or ended VM, which callers would connect to in
/// vain, or that name it again when peers repeat what they have heard of it.
#[test]
fn directory_names_no_vm_that_has_ended() {
    let replica = ScriptedReplica::start(|_, _| (Vec::new(), false));
    let mut fleet = start_fleet(&replica, 5);
    let killed = fleet.pop().unwrap();
    let ended = fleet.pop().unwrap();
    killed.kill();
    drop(ended);
    thread::sleep(ENDED_VM_MAX_AGE);
    for vm in &fleet {
        assert!(vm.lists_vms(fleet.len()));
    }
}
