//! What learned durations change for callers, in virtual time.

use anyhow::Result;
use argh::FromArgs;
use fuchsiamill_model::units::Millisecond;
use fuchsiamill_simulate::{Fault, Load, Outcome, SiteSize, Variation, simulate_learning};

/// Seeds that are played one after the other.
const SEEDS: u64 = 6;

/// How long jobs come: three peaks of each queue.
const LENGTH_MS: Millisecond = 60_000;

/// measure what learned durations change for callers, in virtual time
#[derive(FromArgs)]
#[argh(subcommand, name = "duration-uses")]
pub struct UsesArgs {
    /// how many seeds are played (6)
    #[argh(option, default = "SEEDS")]
    seeds: u64,

    /// the first seed (0)
    #[argh(option, default = "0")]
    first: u64,

    /// how many times the usual load comes (1)
    #[argh(option, default = "1.0")]
    load: f64,
}

/// Prints one table for each site.
pub fn run(args: &UsesArgs) -> Result<()> {
    let trials = [("off", false), ("on", true)];
    let site_one = Variation { estimate: 0.35, tasks: Some(0.2), slow: 0.0 };
    let site_two = Variation { estimate: 0.7, tasks: Some(0.2), slow: 0.03 };
    for (site, cores, variation) in [("one", 64, site_one), ("two", 32, site_two)] {
        let size =
            SiteSize { hosts: vec![16; 4], spare: 12, cores, ..SiteSize::ten_hosts_per_queue(100) };
        let mut load = Load { variation, ..Load::hard(cores, LENGTH_MS) };
        load.queues.iter_mut().for_each(|it| it.per_s *= args.load);
        for (trouble, faults) in
            [("none", vec![]), ("16 hosts down", vec![Fault::HostsDown(16, 20_000, 30_000)])]
        {
            println!("\nSite {site}, trouble: {trouble}, load {}:", args.load);
            println!(
                "| Learned durations | In time | Late | Lost | p50, ms | p99, ms | Host-s | Moves | Better, worse seeds |"
            );
            println!("|---|---|---|---|---|---|---|---|---|");
            let mut base: Vec<Outcome> = Vec::new();
            for (name, learns) in trials {
                let seeds = args.first..args.first + args.seeds;
                let plays = seeds.map(|it| simulate_learning(&size, &load, &faults, it, learns));
                let plays: Vec<Outcome> = plays.collect();
                if base.is_empty() {
                    base = plays.clone();
                }
                print_row(name, &plays, &base);
            }
        }
    }
    Ok(())
}

fn print_row(name: &str, plays: &[Outcome], base: &[Outcome]) {
    let mean = |value: fn(&Outcome) -> f64| {
        plays.iter().map(value).sum::<f64>() / (plays.len() as f64).max(1.0)
    };
    let pairs = || plays.iter().zip(base);
    let better = pairs().filter(|it| it.0.in_time > it.1.in_time).count();
    let worse = pairs().filter(|it| it.0.in_time < it.1.in_time).count();
    println!(
        "| {name} | {:.4} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {better}, {worse} |",
        mean(Outcome::fraction_in_time),
        mean(|it| it.late as f64),
        mean(|it| it.lost as f64),
        mean(|it| it.time_ms(0.5) as f64),
        mean(|it| it.time_ms(0.99) as f64),
        mean(|it| it.host_s),
        mean(|it| it.moves as f64),
    );
}
