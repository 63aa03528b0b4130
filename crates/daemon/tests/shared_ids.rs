//! Client accounts that use each other's ids, without faults.

mod common;

use std::{thread, time::Duration};

use common::{
    fleet::Fleet,
    shared_ids::{PREFIXES, check, play},
};
use fastrand::Rng;
use fuchsiamill_daemon::run::block_on;
use futures_util::future::join_all;

const SEED: u64 = 20_261_208;
const ROUNDS: u64 = 200;
const AT_ONCE: u64 = 10;

/// A job was cancelled, shown or replaced by calls of another account that named its id.
#[test]
fn accounts_reach_their_own_jobs_only() {
    let fleet = Fleet::start(2, 4);
    fleet.configure(2, &["/jobs/", PREFIXES[0], PREFIXES[1]]);
    // Until the configuration is in force everywhere.
    thread::sleep(Duration::from_secs(2));
    let fronts: Vec<_> = fleet.entries.iter().map(|it| it.front).collect();
    let mut rounds = Vec::new();
    for first in (0..ROUNDS).step_by(AT_ONCE as usize) {
        let mut rngs: Vec<Rng> =
            (first..first + AT_ONCE).map(|it| Rng::with_seed(SEED + it)).collect();
        rounds.extend(block_on(join_all(rngs.iter_mut().map(|it| play(it, &fronts)))));
    }
    let odd: Vec<String> = rounds.iter().flat_map(|it| it.odd_calls()).collect();
    check(&fleet, &rounds);
    assert!(odd.is_empty(), "{odd:#?}");
}
