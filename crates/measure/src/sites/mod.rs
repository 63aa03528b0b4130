//! Both sites at today's size under their demand, with and without faults, beside a plain baseline.
//!
//! Entry hosts run on threads of this process against stand-ins; the figures come from the
//! stand-ins' records and from what callers were told.

mod callers;
mod demand;
mod faults;
mod plain;
mod profile;
mod request;
mod running;
mod table;
mod tally;

use anyhow::Result;
use argh::FromArgs;
use fuchsiamill_model::Intent;

use crate::plans;
use profile::{Profile, profiles};
use running::{Way, Weather, measure};

/// measure both sites at today's size beside a plain baseline
#[derive(FromArgs)]
#[argh(subcommand, name = "sites")]
pub struct SitesArgs {
    /// seed of the demand
    #[argh(option, default = "20264")]
    seed: u64,
}

/// Prints the tables.
pub fn run(args: &SitesArgs) -> Result<()> {
    println!("seed {}\n", args.seed);
    let mut columns = Vec::new();
    let mut plans = Vec::new();
    for profile in profiles()? {
        for weather in [Weather::Calm, Weather::Faults] {
            for way in [Way::Product, Way::Plain] {
                let title = title(&profile, way, weather);
                columns.push((title, measure(&profile, way, weather, args.seed)?));
            }
        }
        plans.push(wave(&profile)?);
    }
    table::print(&columns);
    println!("\n| Wave over the fleet | Buffer, slots | Roll-out, s | Moves | Shortfall, ‰ |");
    println!("|---|---|---|---|---|");
    for row in plans.into_iter().flatten() {
        println!("{row}");
    }
    Ok(())
}

fn title(profile: &Profile, way: Way, weather: Weather) -> String {
    let way = match way {
        Way::Product => "fuchsiamill",
        Way::Plain => "baseline",
    };
    let weather = match weather {
        Weather::Calm => "",
        Weather::Faults => ", faults",
    };
    format!("{}: {way}{weather}", profile.site)
}

/// The plan of a wave over the fleet, and one rack at a time.
fn wave(profile: &Profile) -> Result<Vec<String>> {
    let config = running::configuration_of(profile)?;
    let intent = Intent::Wave { pool: None };
    let (baseline, plan) = plans::baseline_and_plan(&config, profile.weights, &intent)?;
    let row = |title: &str, it: &fuchsiamill_policy::planner::Measures| {
        let seconds = it.rollout / 1_000;
        format!(
            "| {}: {title} | {} | {seconds} | {} | {} |",
            profile.site, it.buffer, it.moves, it.shortfall
        )
    };
    let mut rows = vec![row(&plan.strategy.to_string(), &plan.measures)];
    rows.extend(baseline.map(|(_, it)| row("one rack at a time (baseline)", &it)));
    Ok(rows)
}
