//! Teams whose upper limit is below the number of entry hosts, over real entry hosts.

mod common;

use std::collections::BTreeMap;

use common::{
    Site,
    load::{Load, LoadPlan, Sent, Told},
    wait_until,
};
use fuchsiamill_model::Units;

const SEED: u64 = 20_261_205;
const ENTRIES: usize = 8;
const POOLS: [&str; 5] = ["rota", "swap", "notice", "mail", "filing"];
const WORK_MS: u64 = 30;
const CALLERS: u64 = 25;

fn start(hosts_per_pool: usize, teams: &[(&str, Units)]) -> Site {
    let mut site = Site::of(ENTRIES).work_ms(WORK_MS);
    for pool in POOLS {
        site = site.pool(pool, hosts_per_pool);
    }
    for (team, limit) in teams {
        site = site.team(team, *limit);
    }
    site.start()
}

fn plan(site: &Site, teams: &[(&str, Units)]) -> LoadPlan {
    LoadPlan {
        entries: site.entries.iter().map(|it| it.caller).collect(),
        services: POOLS.map(String::from).to_vec(),
        teams: teams.iter().map(|(team, _)| (*team).to_owned()).collect(),
        threads: 1,
        once_percent: 0,
        pause_ms: 0,
    }
}

fn tally(sent: &[Sent]) -> BTreeMap<String, u32> {
    let mut tally = BTreeMap::new();
    for it in sent {
        let kind = match &it.told {
            Told::Answer(_) => "answered".to_owned(),
            other => format!("{other:?}"),
        };
        *tally.entry(format!("{} {kind}", it.team)).or_default() += 1;
    }
    tally
}

#[test]
fn demand_of_half_a_limit_of_3_is_answered_whole() {
    let teams = [("coast", 3)];
    let site = start(2, &teams);
    // Half of 3 units at work: 25 callers that each send once in 25 * 30 ms / 1.5.
    let pause_ms = CALLERS * WORK_MS * 2 / 3 - WORK_MS;
    let load = Load::start(&LoadPlan { pause_ms, ..plan(&site, &teams) }, SEED);
    wait_until("requests are answered", || load.count() > 300);
    let tally = tally(&load.stop());
    println!("seed {SEED}: {tally:#?}");
    assert_eq!(tally.keys().collect::<Vec<_>>(), ["coast answered"], "{tally:#?}");
}

#[test]
#[ignore = "measures; run it alone"]
fn answered_share_of_each_team() {
    let teams =
        [("north", 60), ("south", 40), ("east", 24), ("west", 12), ("hills", 6), ("coast", 3)];
    let site = start(10, &teams);
    let plan = LoadPlan { threads: 6, pause_ms: 20, ..plan(&site, &teams) };
    let load = Load::start(&plan, SEED);
    let begin = std::time::Instant::now();
    wait_until("the time is over", || begin.elapsed().as_secs() >= 20);
    println!("seed {SEED}: {:#?}", tally(&load.stop()));
}
