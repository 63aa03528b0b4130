//! Entry hosts beside a store whose answers take long, or some of whose connections went silent.

mod common;

use std::time::{Duration, Instant};

use common::{fleet::Fleet, wait_until};
use fuchsiamill_standin::fleet::StoreFault;

/// A configuration is in force within this time.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// How long the store has been slow when the configuration comes: at once, then while waits are under way.
const LEADS_MS: [u64; 4] = [0, 400, 900, 1_500];

#[test]
fn slow_store_tells_of_changes_in_time() {
    let fleet = Fleet::start(4, 2);
    let mut version = 1;
    for slow_ms in [400, 650, 800] {
        for lead in LEADS_MS.map(Duration::from_millis) {
            fleet.site.world().rows.fault = StoreFault::Slow(slow_ms);
            std::thread::sleep(lead);
            version += 1;
            fleet.configure(version, &["/jobs/"]);
            let begin = Instant::now();
            wait_until("it is in force", || is_in_force(&fleet, version));
            let took = begin.elapsed();
            assert!(took <= APPLY_TIME, "{took:?} after {lead:?} with answers of {slow_ms} ms");
            fleet.site.world().rows.fault = StoreFault::None;
            std::thread::sleep(Duration::from_millis(1_200));
        }
    }
}

fn is_in_force(fleet: &Fleet, version: u64) -> bool {
    let told = format!("\"configuration-in-force\",\"version\":{version},");
    fleet.entries.iter().all(|it| it.log().contains(&told))
}
