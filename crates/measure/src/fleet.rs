//! What callers of a site get from the coordinator, in virtual time: the load and experiment tool for its decisions.

use anyhow::Result;
use argh::FromArgs;
use fuchsiamill_simulate::{Fault, Load, Outcome, QueueLoad, SiteSize, play};

/// Seeds that are played one after the other.
const SEEDS: u64 = 5;

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
}

/// Prints the table.
pub fn run(args: &FleetArgs) -> Result<()> {
    println!(
        "| Site | Load | Trouble | Jobs | In time | Late | Lost | Work in time | Host-s | Core-s | Moves | Far tasks \
         | Thrown away | Longest wait, ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (site, size) in [("Ruiyuan", size(150)), ("Sathorn", size(300))] {
        for (name, load) in [("plain", load(args.load, 0.0)), ("near", load(args.load, args.near))]
        {
            for (trouble, faults) in troubles() {
                let plays = (0..args.seeds).map(|seed| play(&size, &load, &faults, seed));
                print_row([site, name, trouble], &plays.collect::<Vec<_>>());
            }
        }
    }
    Ok(())
}

/// Four pools of ten hosts and eight spare ones, four in a rack.
fn size(far_percent: u64) -> SiteSize {
    SiteSize { hosts: 10, spare: 8, rack: 4, cores: 16, far_percent, told_far_percent: far_percent }
}

/// Two queues of many short jobs and two of fewer long ones, which peak in turn for five seconds.
fn load(times: f64, near: f64) -> Load {
    let queue = |pool: &str, per_s: f64, tasks: f64, millicores: f64, task_ms: f64| QueueLoad {
        pool: pool.into(),
        per_s: per_s * times,
        tasks,
        millicores,
        task_ms,
        near,
    };
    Load {
        queues: vec![
            queue("checks", 7.1, 6.0, 880.0, 800.0),
            queue("drafts", 1.4, 8.0, 1_900.0, 1_300.0),
            queue("notices", 8.9, 6.0, 880.0, 800.0),
            queue("plans", 1.7, 8.0, 1_900.0, 1_300.0),
        ],
        peak_ms: 5_000,
        length_ms: 40_000,
        stretch: 1.6,
        objective_ms: 600,
    }
}

fn troubles() -> [(&'static str, Vec<Fault>); 3] {
    [
        ("none", Vec::new()),
        ("store away for 4.5 s", vec![Fault::StoreAway(11_000, 15_500)]),
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
        mean(Outcome::part_in_time),
        mean(|it| it.late as f64),
        mean(|it| it.lost as f64),
        mean(|it| it.work_in_time),
        mean(|it| it.host_s),
        mean(|it| it.core_s),
        mean(|it| it.moves as f64),
        mean(|it| it.far as f64),
        mean(|it| it.thrown_away as f64),
    );
}
