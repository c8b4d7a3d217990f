//! Selection of the VMs that watch the key-value service.

use ibisdale_relay::decide::{is_reader, reader_rank};
use rstest::rstest;

fn count_readers(vms: u64, contact_age_ms: Option<u64>) -> usize {
    let readers = (0..vms).filter(|vm| {
        let others = (0..vms).filter(|other| other != vm);
        is_reader(reader_rank(*vm, others), contact_age_ms)
    });
    readers.count()
}

#[rstest]
#[case(1, 1)]
#[case(3, 3)]
#[case(7, 3)]
#[case(360, 3)]
fn number_of_readers_is_limited(#[case] vms: u64, #[case] expected: usize) {
    assert_eq!(count_readers(vms, Some(900)), expected);
}

#[test]
fn more_vms_take_over_the_longer_contact_is_lost() {
    assert!(count_readers(60, Some(1_700)) < 10);
    assert_eq!(count_readers(60, Some(3_000)), 60);
    assert_eq!(count_readers(60, None), 60);
}
