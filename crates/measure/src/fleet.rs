//! What callers of a site get from the coordinator, in virtual time: the load and experiment tool for its decisions.

mod uneven;

use anyhow::Result;
use argh::FromArgs;
use fuchsiamill_simulate::{Fault, Load, Outcome, SiteSize, simulate};

/// Seeds that are played one after the other.
const SEEDS: u64 = 5;

/// How long jobs come: two peaks of each queue.
const LENGTH_MS: u64 = 40_000;

/// measure what callers of a site get, in virtual time
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct FleetArgs {
    /// how many seeds are played; each row is a mean (5)
    #[argh(option, default = "SEEDS")]
    seeds: u64,

    /// how many times the usual load comes (1)
    #[argh(option, default = "1.0")]
    load: f64,

    /// the part of the steps with their data in one rack (0.3)
    #[argh(option, default = "0.3")]
    near: f64,

    /// play the site of uneven pools with long-running tasks instead, and report what its hosts are held for
    #[argh(switch)]
    uneven: bool,
}

/// Prints the table.
pub fn run(args: &FleetArgs) -> Result<()> {
    if args.uneven {
        return uneven::run(args.seeds, args.load);
    }
    println!(
        "| Site | Load | Trouble | Jobs | In time | Late | Lost | Work in time | Host-s | Core-s | Moves | Far tasks \
         | Thrown away | Longest wait, ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (site, far_percent) in [("Ruiyuan", 150), ("Sathorn", 300)] {
        let size = SiteSize::ten_hosts_per_queue(far_percent);
        for (name, near) in [("plain", 0.0), ("near", args.near)] {
            let load = Load::four_queues(args.load, near, LENGTH_MS);
            for (trouble, faults) in troubles() {
                let plays = (0..args.seeds).map(|seed| simulate(&size, &load, &faults, seed));
                print_row([site, name, trouble], &plays.collect::<Vec<_>>());
            }
        }
    }
    Ok(())
}

fn troubles() -> [(&'static str, Vec<Fault>); 3] {
    [
        ("none", Vec::new()),
        ("store away for 4.5 s", vec![Fault::StoreUnavailable(11_000, 15_500)]),
        ("8 hosts down for 5 s", vec![Fault::HostsDown(8, 11_000, 16_000)]),
    ]
}

fn print_row(names: [&str; 3], plays: &[Outcome]) {
    let mean = |value: fn(&Outcome) -> f64| {
        plays.iter().map(value).sum::<f64>() / (plays.len() as f64).max(1.0)
    };
    let longest = plays.iter().map(|it| it.longest_wait_ms).max().unwrap_or(0);
    println!(
        "| {} | {:.0} | {:.3} | {:.0} | {:.0} | {:.3} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {longest} |",
        names.join(" | "),
        mean(|it| it.jobs as f64),
        mean(Outcome::fraction_in_time),
        mean(|it| it.late as f64),
        mean(|it| it.lost as f64),
        mean(|it| it.work_in_time),
        mean(|it| it.host_s),
        mean(|it| it.core_s),
        mean(|it| it.moves as f64),
        mean(|it| it.far_tasks as f64),
        mean(|it| it.aborted_runs as f64),
    );
}
