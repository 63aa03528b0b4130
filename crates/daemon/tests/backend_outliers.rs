//! Backend servers that fail all they start are taken out, never more of a pool than its cap.

mod common;

use std::collections::BTreeSet;

use common::{
    Site,
    load::{Load, LoadPlan},
    wait_until,
};
use fuchsiamill_standin::{
    admin::BackendMode,
    record::{Run, RunEnd},
};

const HOSTS: usize = 10;
const FAILING: usize = 5;
/// 30 % of the pool.
const MOST_OUT: usize = 3;
/// Runs in which every server that takes work is seen.
const WINDOW: usize = 200;
const SEED: u64 = 20_261_204;

fn servers<'a>(runs: impl IntoIterator<Item = &'a Run>) -> BTreeSet<&'a str> {
    runs.into_iter().map(|run| run.server.as_str()).collect()
}

fn failing(runs: &[Run]) -> usize {
    servers(runs.iter().filter(|run| run.end == RunEnd::Failed)).len()
}

#[test]
fn no_more_than_the_cap_are_taken_out() {
    let site = Site::of(2).pool("rota", HOSTS).team("north", 80).start();
    (0..FAILING).for_each(|host| site.backend_mode(&format!("host-{host}"), BackendMode::Failing));
    let plan = LoadPlan {
        entries: site.entries.iter().map(|it| it.caller).collect(),
        services: vec!["rota".into()],
        teams: vec!["north".into()],
        threads: 1,
        once_percent: 0,
        pause_ms: 0,
    };
    let load = Load::start(&plan, SEED);
    wait_until("as many as the cap allows are out", || {
        let runs = site.backend_record().runs;
        let last = &runs[runs.len().saturating_sub(WINDOW)..];
        last.len() == WINDOW && failing(last) == FAILING - MOST_OUT
    });
    load.stop();
    for window in site.backend_record().runs.windows(WINDOW).step_by(WINDOW / 4) {
        let taking = servers(window).len();
        assert!(taking >= HOSTS - MOST_OUT, "only {taking} of {HOSTS} servers took work");
    }
}
