//! Random events in random order around hosts that join and leave: no wave is completed before a host of it that stays was
//! maintained, whichever lists of hosts come late, in part or not at all.

mod common;

use common::{config, hosts::HostWorld, job, step};
use fuchsiamill_fleet::{Step, worker::Wave};
use quickcheck::{Gen, QuickCheck};

/// Number of random scripts.
const SCRIPTS: u64 = 500;

/// Seed of the random scripts; other seeds are tried by hand.
const SEED: u64 = 20_261_206;

/// Maximum number of entries of a random script.
const SCRIPT_LEN: usize = 300;

/// The number of hosts that are there from the beginning.
const FIRST_HOSTS: usize = 6;

/// Plays a script: each entry selects the next event and what it affects.
fn play(script: &[u16]) -> HostWorld {
    let hosts = ["h0", "h1", "h5", "h6", "h7"].map(Into::into).to_vec();
    let wave = Wave { number: 1, hosts, within_ms: 20_000, at_once: 3 };
    let pools = ["web", "web", "web", "web", "spare", "spare", "web", "spare", "web", "web"];
    let mut world = HostWorld::new(config(), &pools, wave, false);
    world.begin_without(FIRST_HOSTS);
    world.list();
    (0..FIRST_HOSTS).for_each(|it| world.poll(it));
    let long_running = |count| Step { long_running: true, per_worker: Some(1), ..step(count) };
    world.accept("a", job(vec![Step { max_unavailable: Some(1), ..long_running(3) }]));
    world.accept("b", job(vec![step(6), Step { after: vec![0], ..step(12) }]));
    for it in script {
        let (what, whom) = (it % 32, usize::from(it / 32));
        match what {
            0..6 => world.deliver(whom, true),
            6 => world.deliver(whom, false),
            7 => world.leave_unanswered(whom),
            8..13 => world.poll(whom),
            13 | 14 => world.list(),
            15 => world.list_workers(),
            16 => world.ask_wave(),
            17 | 18 => world.finish(whom),
            19 => world.pass(50),
            20 | 21 => world.pass(600),
            22 | 23 => world.pass(2_500),
            24 => world.crash(whom, 1_000 + 500 * (whom as u64 % 8)),
            25 => world.take_over(whom % 2 == 0),
            26 => world.join(whom),
            27 if whom % 8 == 0 => world.leave(whom / 8),
            28 => world.list_partly(whom),
            29 => world.fail_lists(1_000 * (whom as u64 % 20)),
            30 => world.widen_wave(whom),
            _ => world.store(),
        }
        world.decide();
        if world.violation.is_some() {
            break;
        }
    }
    world
}

fn holds(script: &[u16]) -> bool {
    let mut world = play(script);
    world.ask_wave();
    let left = if world.violation.is_none() { world.settle() } else { None };
    let is_right = world.violation.is_none() && left.is_none();
    if !is_right {
        eprintln!("{}", world.trace.join("\n"));
        eprintln!("{:?}, {left:?}, script: {script:?}", world.violation);
    }
    is_right
}

#[test]
fn no_wave_is_completed_without_hosts_that_stay() {
    let holds: fn(Vec<u16>) -> bool = |script| holds(&script);
    let rng = Gen::from_size_and_seed(SCRIPT_LEN, SEED);
    QuickCheck::new().rng(rng).tests(SCRIPTS).quickcheck(holds);
}

mod known_red {
    use super::*;

    /// The list still shows the host with its former worker, which is over.
    #[test]
    fn order_does_not_end_runs_of_the_next_worker() {
        assert!(holds(&[22109, 0, 2778, 0, 19256, 65535, 2880, 0, 13942, 0, 77, 17096, 0, 0,]));
        assert!(holds(&[
            17977, 33080, 34393, 19453, 0, 0, 0, 60982, 54198, 0, 0, 9622, 15533, 52280, 8509, 0,
            6870, 0, 0, 38004, 0, 56884, 34024, 34079, 14303, 8512,
        ]));
    }
}
