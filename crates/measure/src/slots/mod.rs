//! Ways to give out the slots of backend servers without a coordinator, under peaks in turn.
//!
//! The policy's queues, slot tables and shares run as they are; entry hosts, messages and backend
//! servers are events in memory.

mod choices;
mod demand;
mod driver;
mod held;
mod owner;

use anyhow::Result;
use argh::FromArgs;

use choices::{Choices, Pick};
use demand::{Spread, teams};
use driver::{Driver, Way};
use held::{Held, Lending};
use owner::Owner;

use crate::share_meter::ShareMeter;

const POOLS: usize = 5;

/// compare ways to give out the slots of backend servers
#[derive(FromArgs)]
#[argh(subcommand, name = "slots")]
pub struct SlotsArgs {
    /// seed of the demand
    #[argh(option, default = "20264")]
    seed: u64,
}

#[derive(Default)]
struct Sums {
    meter: ShareMeter,
    waits: Vec<u64>,
    requests: u64,
    busy: u64,
    messages: u64,
    refused: u64,
    most_at_server: u32,
}

/// Prints the table.
pub fn run(args: &SlotsArgs) -> Result<()> {
    println!("seed {}\n", args.seed);
    println!(
        "| Callers | Way | Utilisation | Queueing p50 / p99, ms | Busy answers a request | Most at a server | Messages a request | Refused | Nearness to share, teams 0 to 5 |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for spread in [Spread::Even, Spread::Skewed, Spread::Burst] {
        for way in ways() {
            let mut sums = Sums::default();
            for pool in 0..POOLS {
                one_pool(args.seed, pool, spread, way.make, &mut sums)?;
            }
            print(spread, way.title, &mut sums);
        }
    }
    Ok(())
}

struct Named {
    title: &'static str,
    make: fn(usize, u64) -> Result<Box<dyn Way>>,
}

fn ways() -> [Named; 5] {
    [
        Named { title: "owner per pool, one hop", make: |pool, _| Ok(Box::new(Owner::new(pool)?)) },
        Named {
            title: "held and lent",
            make: |_, _| Ok(Box::new(Held::new(Lending::BetweenEntryHosts)?)),
        },
        Named {
            title: "two random choices",
            make: |_, seed| Ok(Box::new(Choices::new(Pick::LessLoadedOfTwo, seed))),
        },
        Named {
            title: "static split (baseline)",
            make: |_, _| Ok(Box::new(Held::new(Lending::Never)?)),
        },
        Named {
            title: "round robin (baseline)",
            make: |_, seed| Ok(Box::new(Choices::new(Pick::InTurn, seed))),
        },
    ]
}

fn one_pool(
    seed: u64,
    pool: usize,
    spread: Spread,
    make: fn(usize, u64) -> Result<Box<dyn Way>>,
    sums: &mut Sums,
) -> Result<()> {
    let seed = seed + pool as u64;
    let mut way = make(pool, seed)?;
    let mut driver = Driver::new(demand::requests(seed, pool, spread), teams()?);
    driver.run(way.as_mut(), &mut sums.meter);
    sums.requests += driver.requests.len() as u64;
    sums.waits.extend(driver.waits());
    sums.busy += driver.busy;
    sums.messages += driver.messages;
    sums.refused += driver.refused();
    sums.most_at_server = sums.most_at_server.max(driver.most_at_server);
    Ok(())
}

fn print(spread: Spread, way: &str, sums: &mut Sums) {
    sums.waits.sort_unstable();
    let at =
        |percent: usize| sums.waits.get(sums.waits.len() * percent / 100).copied().unwrap_or(0);
    let a_request = |count: u64| count as f64 / sums.requests as f64;
    let nearness: Vec<String> =
        sums.meter.nearness().values().map(|it| format!("{it:.2}")).collect();
    println!(
        "| {spread} | {way} | {:.3} | {} / {} | {:.2} | {} | {:.2} | {} | {} |",
        sums.meter.utilisation(),
        at(50),
        at(99),
        a_request(sums.busy),
        sums.most_at_server,
        a_request(sums.messages),
        sums.refused,
        nearness.join(" "),
    );
}
