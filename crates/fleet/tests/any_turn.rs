//! Random events in random order: occurrences start when they are due, steps after their predecessors, and starts that
//! need approval carry a valid ticket.

mod common;

use common::{
    config, every, job, step,
    world::{Delivery, World},
};
use fuchsiamill_fleet::{JobSpec, Stage, Step, job::RouteSettings};
use quickcheck::{Gen, QuickCheck};

/// Number of random scripts per test.
const SCRIPTS: u64 = 1_000;

/// Seed of the random scripts; other seeds are tried by hand.
const SEED: u64 = 20_261_205;

/// Maximum number of entries of a random script.
const SCRIPT_LEN: usize = 400;

/// Maximum number of entries of a script whose events are printed if it fails.
const MAX_TRACED: usize = 60;

/// Number of kinds of events: those of `any_order` without cancellations, and answers of the advice service.
const EVENT_KINDS: u32 = 40;

fn advised(spec: JobSpec) -> JobSpec {
    JobSpec { route: RouteSettings { advised: true, ..spec.route }, ..spec }
}

/// Plays a script: each entry selects the next event and what it affects.
fn play(script: &[u32]) -> World {
    let mut world = World::new(config(), 3, Delivery::ToIncarnation);
    world.trace = (script.len() <= MAX_TRACED).then(Vec::new);
    let two = || vec![step(2), Step { after: vec![0], ..step(2) }];
    world.accept("a", JobSpec { schedule: Some(every(3, 4_000)), ..job(two()) });
    world.accept("b", advised(job(two())));
    world.accept("c", advised(JobSpec { schedule: Some(every(2, 500)), ..job(two()) }));
    (0..3).for_each(|it| world.poll(it, true, true));
    for it in script {
        let (what, whom) = (it % EVENT_KINDS, (it / EVENT_KINDS) as usize);
        world.note(|| format!("{what}.{whom}"));
        match what {
            0..32 => world.apply_event(what, whom),
            32..38 => world.advise(whom, true),
            _ => world.advise(whom, false),
        }
        world.decide();
        if world.violation.is_some() {
            break;
        }
    }
    world
}

fn holds(script: &[u32]) -> bool {
    let mut world = play(script);
    if world.violation.is_none() {
        world.settle();
    }
    let is_over = |it: &Option<Stage>| it.is_some_and(Stage::is_over);
    let lost: Vec<_> = world.stages().into_iter().filter(|it| !is_over(&it.1)).collect();
    if world.violation.is_some() || !lost.is_empty() {
        eprintln!("{}", world.trace.unwrap_or_default().join("\n"));
        eprintln!("{:?}, not ended: {lost:?}, script: {script:?}", world.violation);
    }
    world.violation.is_none() && lost.is_empty()
}

#[test]
fn steps_and_occurrences_start_in_order() {
    let holds: fn(Vec<u32>) -> bool = |script| holds(&script);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SCRIPT_LEN, SEED))
        .tests(SCRIPTS)
        .quickcheck(holds);
}
