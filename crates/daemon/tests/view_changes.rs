//! The entry hosts agree on a view, and leave out a host that dies or is cut off.

mod common;

use common::{Site, wait_until};
use fuchsiamill_standin::admin::{PlatformFault, RouteFault};

fn serving(site: &Site, entry: usize) -> bool {
    site.entries[entry].is_ready()
}

#[test]
fn store_outage_stops_nobody_while_a_majority_talks() {
    let site = Site::of(3).pool("rota", 2).team("north", 8).start();
    wait_until("the hosts count for each other", || counting(&site) == 3);
    site.platform_fault(PlatformFault::Down);
    let refused = site.platform_record().refused;
    wait_until("many reads failed", || site.platform_record().refused > refused + 12);
    for entry in 0..3 {
        assert_eq!(site.post(entry, "rota", "north-key", "swap").status, 200);
    }
}

#[test]
fn cut_off_host_stops_serving_in_a_store_outage() {
    let site = Site::of(3).pool("rota", 2).team("north", 8).proxied().start();
    wait_until("the hosts count for each other", || counting(&site) == 3);
    site.platform_fault(PlatformFault::Down);
    site.partition(&[0], &[1, 2], RouteFault::HoldBoth);
    wait_until("the cut-off host is unready", || !serving(&site, 0));
    assert_eq!(site.post(0, "rota", "north-key", "swap").status, 503);
    assert!(serving(&site, 1) && serving(&site, 2));
    site.partition(&[0], &[1, 2], RouteFault::None);
    wait_until("it serves again", || serving(&site, 0));
}

fn counting(site: &Site) -> usize {
    let shows = |entry: &common::EntryProcess| {
        let text = entry.get("/metrics").map(|it| String::from_utf8_lossy(&it.body).into_owned());
        text.is_some_and(|it| {
            it.lines().any(|line| line.starts_with("view_members") && line.ends_with(" 3"))
        })
    };
    site.entries.iter().filter(|it| shows(it)).count()
}
