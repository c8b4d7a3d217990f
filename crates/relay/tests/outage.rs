//! Outages of the key-value service that concern one VM or all of them.

use std::time::{Duration, Instant};

use ibisdale_relay::decide::ServiceOutage;
use rstest::rstest;

/// Plays an outage of 7 s in which the service answers other VMs at the given times, in
/// milliseconds from its start, and this VM looks at the latest of them every 400 ms.
#[rstest]
#[case::peers_in_contact_all_along((-900..7_000).step_by(300).collect(), true)]
#[case::peers_in_contact_in_the_midst(vec![3_000], true)]
#[case::peers_lost_contact_a_little_later(vec![-500, 700], false)]
#[case::peers_regained_contact_a_little_earlier(vec![-100, 6_400, 6_900], false)]
#[case::no_contact(vec![], false)]
fn outage_is_local_if_peers_had_contact_in_its_midst(
    #[case] contacts_ms: Vec<i64>,
    #[case] expected: bool,
) {
    let before = Instant::now();
    let at = |ms: i64| before + Duration::from_millis(u64::try_from(ms + 1_000).unwrap());
    let mut outage = ServiceOutage::new(at(0));
    for now_ms in (0..7_000).step_by(400) {
        let contacts = contacts_ms.iter().filter(|contact| **contact <= now_ms);
        if let Some(latest) = contacts.max() {
            outage.record_peer_contact(at(*latest));
        }
    }
    assert_eq!(outage.is_local(at(7_000)), expected);
}
