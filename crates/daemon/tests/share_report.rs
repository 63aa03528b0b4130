//! Operators see what each team uses of a pool and how near it comes to its share.

mod common;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use common::{Site, operator, wait_until};
use fuchsiamill_api::{ShareReport, SiteReport};

const CALLERS_PER_TEAM: usize = 12;
const WHOLE: u32 = 10_000;

/// Ends the callers, also when the test fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Keeps both teams asking for more than the pool has while `look` looks.
fn with_full_pool(site: &Site, look: impl FnOnce()) {
    let stop = AtomicBool::new(false);
    let call = |key: &str, entry: usize| {
        while !stop.load(Ordering::Relaxed) {
            site.try_post(entry, "rota", key, "work");
        }
    };
    thread::scope(|scope| {
        for caller in 0..CALLERS_PER_TEAM {
            for key in ["north-key", "south-key"] {
                scope.spawn(move || call(key, caller % 3));
            }
        }
        let _stop = StopOnDrop(&stop);
        look();
    });
}

fn shares(site: &Site, entry: usize) -> Vec<ShareReport> {
    let report: SiteReport = operator::call(site.entries[entry].operator, "site.report", ());
    assert_eq!(report.unheard, [], "every owner answers");
    report.shares
}

fn teams_measured(shares: &[ShareReport]) -> Vec<String> {
    let measured = shares.iter().filter(|it| it.nearness_basis_points.is_some());
    measured.filter_map(|it| Some(it.team.as_ref()?.to_string())).collect()
}

fn metric_lines(site: &Site) -> Vec<String> {
    let pages = site.entries.iter().filter_map(|it| it.get("/metrics"));
    let lines = |page: fuchsiamill_http::Response| {
        let text = String::from_utf8_lossy(&page.body).into_owned();
        let lines = text.lines().filter(|it| it.starts_with("nearness_to_share{"));
        lines.map(str::to_owned).collect::<Vec<_>>()
    };
    pages.flat_map(lines).collect()
}

#[test]
fn every_entry_host_tells_the_nearness_of_a_full_pool() {
    let site = Site::of(3).pool("rota", 1).team("north", 40).team("south", 40).start();
    with_full_pool(&site, || {
        for entry in 0..3 {
            wait_until("both teams' nearness is told", || {
                teams_measured(&shares(&site, entry)) == ["north", "south"]
            });
        }
    });
    for share in shares(&site, 0) {
        let nearness = share.nearness_basis_points.expect("the pool was full");
        assert!(nearness > 0 && nearness <= WHOLE, "{share:?}");
    }
    let lines = metric_lines(&site);
    for team in ["north", "south"] {
        let of_team = lines.iter().filter(|it| it.contains(&format!("team=\"{team}\"")));
        let of_pool = of_team.filter(|it| it.contains("pool=\"rota\"")).count();
        assert_eq!(of_pool, 1, "only the owner shows it: {lines:?}");
    }
}
