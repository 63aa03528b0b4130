//! Four pools of uneven sizes that peak in turn, beside long-running tasks: what hosts are held for.

use anyhow::Result;
use fuchsiamill_simulate::{Fault, Load, Outcome, PoolTime, SiteSize, simulate};

/// How long jobs arrive: two peaks of each queue.
const LENGTH_MS: u64 = 40_000;

/// Prints what callers get, and the host seconds of each pool by what they are held for, without and with `demand-pools`.
pub fn run(seeds: u64, times: f64) -> Result<()> {
    println!(
        "| demand-pools | Trouble | Jobs | In time | Late | Lost | Host-s | Packed | Host-s / packed | Core-s | Moves \
         | Thrown away | Longest wait, ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let load = Load::uneven_queues(times, LENGTH_MS);
    let mut splits = Vec::new();
    for (name, demand_pools) in [("off", false), ("on", true)] {
        let size = SiteSize { demand_pools, ..SiteSize::uneven_pools() };
        for (trouble, faults) in troubles() {
            let plays: Vec<Outcome> =
                (0..seeds).map(|seed| simulate(&size, &load, &faults, seed)).collect();
            print_outcome(&format!("{name} | {trouble}"), &plays);
            if faults.is_empty() {
                splits.push((name, plays));
            }
        }
    }
    println!(
        "\n| demand-pools | Pool | Held | Packed | Work | Headroom | Expected | Recent | Moving | Idle | Spread | Only lasting |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (name, plays) in &splits {
        print_split(name, plays);
    }
    Ok(())
}

fn troubles() -> [(&'static str, Vec<Fault>); 2] {
    [("none", Vec::new()), ("80 hosts down for 5 s", vec![Fault::HostsDown(80, 11_000, 16_000)])]
}

fn print_outcome(names: &str, plays: &[Outcome]) {
    let mean = |value: fn(&Outcome) -> f64| {
        plays.iter().map(value).sum::<f64>() / (plays.len() as f64).max(1.0)
    };
    let packed = mean(|it| it.pools.values().map(|it| it.packed_s).sum());
    let longest = plays.iter().map(|it| it.longest_wait_ms).max().unwrap_or(0);
    println!(
        "| {names} | {:.0} | {:.4} | {:.1} | {:.1} | {:.0} | {packed:.0} | {:.2} | {:.0} | {:.0} | {:.0} | {longest} |",
        mean(|it| it.jobs as f64),
        mean(Outcome::fraction_in_time),
        mean(|it| it.late as f64),
        mean(|it| it.lost as f64),
        mean(|it| it.host_s),
        mean(|it| it.host_s) / packed.max(1.0),
        mean(|it| it.core_s),
        mean(|it| it.moves as f64),
        mean(|it| it.aborted_runs as f64),
    );
}

fn print_split(name: &str, plays: &[Outcome]) {
    let Some(first) = plays.first() else { return };
    for pool in first.pools.keys() {
        let mean = |value: fn(&PoolTime) -> f64| {
            let all = plays.iter().filter_map(|it| it.pools.get(pool)).map(value);
            all.sum::<f64>() / plays.len() as f64
        };
        let parts = [
            mean(|it| it.held_s),
            mean(|it| it.packed_s),
            mean(|it| it.work_s),
            mean(|it| it.headroom_s),
            mean(|it| it.expected_s),
            mean(|it| it.recent_s),
            mean(|it| it.moving_s),
            mean(|it| it.idle_s),
            mean(|it| it.spread_s),
            mean(|it| it.lasting_s),
        ];
        let parts = parts.map(|it| format!("{it:.0}")).join(" | ");
        println!("| {name} | {pool} | {parts} |");
    }
}
