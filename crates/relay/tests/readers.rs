//! Which VMs follow the key-value service.

use ibisdale_relay::decide::{is_reader, reader_rank};
use rstest::rstest;

fn readers(vms: u64, age_ms: Option<u64>) -> usize {
    let readers = (0..vms).filter(|own| {
        let others = (0..vms).filter(|other| other != own);
        is_reader(reader_rank(*own, others), age_ms)
    });
    readers.count()
}

#[rstest]
#[case(1, 1)]
#[case(3, 3)]
#[case(7, 3)]
#[case(360, 3)]
fn few_vms_follow_however_many_there_are(#[case] vms: u64, #[case] expected: usize) {
    assert_eq!(readers(vms, Some(900)), expected);
}

#[test]
fn others_follow_in_turn_when_the_readers_have_no_contact() {
    assert!(readers(60, Some(1_700)) < 10);
    assert_eq!(readers(60, Some(3_000)), 60);
    assert_eq!(readers(60, None), 60);
}
