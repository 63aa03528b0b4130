//! Random events in random order: maintenance keeps its limit of hosts, long-running tasks keep the limit of
//! unavailable tasks of their step, no host is taken while tasks run on it, and the wave is completed in the end.

mod common;

use common::{config, hosts::HostWorld, job, step};
use fuchsiamill_fleet::{Step, worker::Wave};
use quickcheck::{Gen, QuickCheck};

/// Number of random scripts per test.
const SCRIPTS: u64 = 500;

/// Seed of the random scripts; other seeds are tried by hand.
const SEED: u64 = 20_261_204;

/// Maximum number of entries of a random script.
const SCRIPT_LEN: usize = 300;

/// Maximum number of hosts under maintenance at the same time.
const AT_ONCE: usize = 2;

/// Plays a script: each entry selects the next event and what it affects.
fn play(script: &[u16], is_fenced: bool) -> HostWorld {
    let hosts = ["h0", "h1", "h2", "h3", "h5"].map(Into::into).to_vec();
    let wave = Wave { number: 1, hosts, within_ms: 20_000, at_once: AT_ONCE };
    let pools = ["web", "web", "web", "web", "web", "spare", "spare"];
    let mut world = HostWorld::new(config(), &pools, wave, is_fenced);
    world.list();
    (0..pools.len()).for_each(|it| world.poll(it));
    let long_running = |count| Step { long_running: true, per_worker: Some(1), ..step(count) };
    world.accept("a", job(vec![Step { max_unavailable: Some(1), ..long_running(4) }]));
    world.accept("b", job(vec![Step { max_unavailable: Some(2), ..long_running(3) }]));
    world.accept("c", job(vec![step(6), Step { after: vec![0], ..step(12) }]));
    for it in script {
        let (what, whom) = (it % 32, usize::from(it / 32));
        match what {
            0..7 => world.deliver(whom, true),
            7 => world.deliver(whom, false),
            8 => world.leave_unanswered(whom),
            9..16 => world.poll(whom),
            16 | 17 => world.list(),
            18 => world.list_workers(),
            19 => world.ask_wave(),
            20..23 => world.finish(whom),
            23..26 => world.pass(50),
            26 => world.pass(600),
            27 => world.pass(2_500),
            28 => world.crash(whom, 1_000 + 500 * (whom as u64 % 8)),
            29 => world.take_over(whom % 2 == 0),
            _ => world.store(),
        }
        world.decide();
        if world.violation.is_some() {
            break;
        }
    }
    world
}

fn holds(script: &[u16], is_fenced: bool) -> bool {
    let mut world = play(script, is_fenced);
    world.ask_wave();
    let left = if world.violation.is_none() { world.settle() } else { None };
    let is_right = world.violation.is_none() && left.is_none();
    if !is_right {
        eprintln!("{}", world.trace.join("\n"));
        eprintln!("{:?}, {left:?}, script: {script:?}", world.violation);
    }
    is_right
}

fn explore(holds: fn(Vec<u16>) -> bool) {
    let rng = Gen::from_size_and_seed(SCRIPT_LEN, SEED);
    QuickCheck::new().rng(rng).tests(SCRIPTS).quickcheck(holds);
}

#[test]
fn maintenance_keeps_its_limits() {
    explore(|script| holds(&script, false));
}

/// Orders to hosts arrive up to 12 s late, also those of former coordinators.
#[test]
fn late_orders_break_no_limit() {
    explore(|script| holds(&script, true));
}
