//! An order for a machine that a former holder gave is carried out after one of its successor.

use std::{collections::BTreeMap, thread::sleep, time::Duration};

use crate::{
    Case, Verdict,
    entry::{Entry, Platform},
    fleet::Order,
    net::{Cut, proxy},
    site::{IP, Site},
    wait_for,
};

/// The entry host is cut off for this long. The site file names 12 s as the longest cut of a machine.
const CUT: Duration = Duration::from_millis(11_500);

/// The time from the start of the cut to the SIGTERM.
const UNTIL_TERM: Duration = Duration::from_millis(2_500);

const WAVE: &str =
    r#"{"wave":1,"machines":["m-0","m-1","m-2","m-3","m-4","m-5"],"duration_s":40,"cap":1}"#;

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let site = Site::start(case);
    let direct = site.platform;

    // The first entry host reaches the platform, and nothing else, through proxies that can be cut.
    let cut = Cut::default();
    let behind = Platform {
        store: proxy(IP, direct.store, cut.clone()),
        cloud: proxy(IP, direct.cloud, cut.clone()),
    };
    let mut first = Entry::start(&case.folder, "front-a-1", "127.0.0.2", behind);
    if !wait_for(Duration::from_secs(10), || site.holder().0 == first.name) {
        return Verdict::CouldNotRun("the first entry host did not become the holder".into());
    }
    let others = [("front-b-1", "127.0.0.3"), ("front-c-1", "127.0.0.4")]
        .map(|(name, ip)| Entry::start(&case.folder, name, ip, direct));
    // The entry hosts read each other's rows every 8 s.
    sleep(Duration::from_secs(20));
    if site.holder().0 != first.name {
        return Verdict::CouldNotRun("another entry host became the holder".into());
    }
    record.line(&format!("holder {:?}", site.holder()));
    if case.has_trouble {
        cut.set(true);
        record.line("front-a-1 is cut off from the platform");
    }
    site.store.put("op", "wave/1", WAVE);
    record.line(&format!("operator: op/wave/1 {WAVE}"));
    sleep(UNTIL_TERM);
    record.line(&format!(
        "SIGTERM to front-a-1; it has ordered: {:?}",
        first.logged("host-ordered").len()
    ));
    first.signal("TERM");
    let has_ended = first.wait(Duration::from_secs(7));
    record.line(&format!("front-a-1 has ended: {has_ended}; holder {:?}", site.holder()));
    sleep(CUT.saturating_sub(UNTIL_TERM).saturating_sub(Duration::from_millis(500)));
    cut.set(false);
    record.line("the cut is over");
    sleep(Duration::from_secs(8));
    record.line(&format!("status/wave/1: {:?}", site.store.get("status", "wave/1")));
    drop(others);
    verdict(case, &site.fleet.orders())
}

/// Looks for an order for a machine with a lower fence number than one before it.
fn verdict(case: &Case, orders: &[Order]) -> Verdict {
    let mut highest: BTreeMap<&str, &Order> = BTreeMap::new();
    let mut is_broken = false;
    for order in orders {
        match highest.get(order.machine.as_str()) {
            Some(before) if order.fence < before.fence => {
                is_broken = true;
                case.record.line(&format!(
                    "ONE: at {:.3} s {} got '{}' of {} with fence number {}, {:.3} s after '{}' of {} with {}",
                    order.at.as_secs_f64(),
                    order.machine,
                    order.what,
                    order.holder,
                    order.fence,
                    (order.at - before.at).as_secs_f64(),
                    before.what,
                    before.holder,
                    before.fence
                ));
            }
            _ => drop(highest.insert(&order.machine, order)),
        }
    }
    if orders.is_empty() {
        return Verdict::CouldNotRun("no order for a machine was given".into());
    }
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
