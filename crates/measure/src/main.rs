//! Measures the policies of fuchsiamill and prints tables for the design notes.

mod capacity;
mod durations;
mod entry_hosts;
mod fleet;
mod jobs;
mod placement;
mod plans;
mod share_meter;
mod sites;
mod slots;
mod spare;
mod standing;

use anyhow::Result;
use argh::FromArgs;

/// measure the policies of fuchsiamill
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Capacity(capacity::CapacityArgs),
    Durations(durations::DurationsArgs),
    DurationUses(durations::UsesArgs),
    Fleet(fleet::FleetArgs),
    Jobs(jobs::JobsArgs),
    Placement(placement::PlacementArgs),
    Plans(plans::PlansArgs),
    Sites(sites::SitesArgs),
    Slots(slots::SlotsArgs),
    Spare(spare::SpareArgs),
    Standing(standing::StandingArgs),
}

fn main() -> Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Capacity(args) => capacity::run(&args),
        Command::Durations(args) => durations::run(&args),
        Command::DurationUses(args) => durations::run_uses(&args),
        Command::Fleet(args) => fleet::run(&args),
        Command::Jobs(args) => jobs::run(&args),
        Command::Placement(args) => placement::run(&args),
        Command::Plans(args) => plans::run(&args),
        Command::Sites(args) => sites::run(&args),
        Command::Slots(args) => slots::run(&args),
        Command::Spare(args) => spare::run(&args),
        Command::Standing(args) => standing::run(&args),
    }
}
