//! Random waves that overlap, over parts of the hosts, with takeovers, losses and tasks that hang: no long-running task that
//! could run is without a run for long, and no wave stops one again and again.

mod common;

use common::{
    cores,
    pools::{
        PoolFleet, PoolHost, SPARE, job_in, lasting,
        waves::{AwayWatch, StopWatch},
        with_pools,
    },
    step,
};
use fuchsiamill_fleet::{Config, HostState, Step, Team};
use fuchsiamill_model::units::Millisecond;
use quickcheck::{Gen, QuickCheck};

/// Number of random scripts.
const SCRIPTS: u64 = 60;

/// Seed of the random scripts; other seeds are tried by hand.
const SEED: u64 = 1;

/// Maximum number of entries of a random script.
const SCRIPT_LEN: usize = 20;

/// Number of kinds of events.
const EVENT_KINDS: u32 = 16;

/// Names of pools.
const NAMES: [&str; 3] = ["mmm", "aaa", "zzz"];

/// Numbers of hosts.
const FLEETS: [usize; 5] = [12, 6, 26, 18, 40];

/// Time that is played after the last event.
const REST_MS: Millisecond = 20_000;

/// What is checked after each round.
#[derive(Clone, Copy, PartialEq)]
enum Check {
    Away,
    Stops,
}

/// Splits a number into small ones.
struct Draw(usize);

impl Draw {
    fn below(&mut self, count: usize) -> usize {
        let drawn = self.0 % count;
        self.0 /= count;
        drawn
    }

    fn of<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len())]
    }
}

struct Play {
    fleet: PoolFleet,
    pools: usize,
    sent: usize,
    check: Check,
    away: AwayWatch,
    stops: StopWatch,
}

fn config(pools: &[&str], has_spare: bool) -> Config {
    let mut config = with_pools(pools);
    config.pools.retain(|_, it| has_spare || !it.spare);
    let tight = Team { name: "tight".into(), weight: 100.0, limit: cores(24) };
    config.teams.insert(tight.name.clone(), tight);
    config
}

impl Play {
    fn new(draw: &mut Draw, check: Check) -> Self {
        let (hosts, pools) = (draw.of(&FLEETS), 1 + draw.below(NAMES.len()));
        let has_spare = draw.below(2) == 1;
        let new = |number: usize| match has_spare && number % 6 == 5 {
            true => PoolHost::new(SPARE),
            false => PoolHost::new(NAMES[number % pools]),
        };
        let config = config(&NAMES[..pools], has_spare);
        let fleet = PoolFleet::of_hosts(config, (0..hosts).map(new).collect());
        let (away, stops) = (AwayWatch::default(), StopWatch::default());
        Self { fleet, pools, sent: 0, check, away, stops }
    }

    fn send(&mut self, draw: &mut Draw, step: Step, team: &str) {
        let pool = NAMES[draw.below(self.pools)];
        let mut spec = job_in(pool, vec![step]);
        spec.accepted = self.fleet.wall();
        spec.team = team.into();
        self.fleet.send(&format!("j{:04}", self.sent), spec);
        self.sent += 1;
    }

    fn send_lasting(&mut self, draw: &mut Draw) {
        let hosts = self.fleet.hosts.len() as u32;
        let wanted = Step {
            per_worker: draw.of(&[Some(1), None, Some(2)]),
            max_unavailable: draw.of(&[Some(1), Some(2), Some(5), None, Some(hosts)]),
            ..lasting(1, draw.of(&[2, 1, 4, 6]))
        };
        let of_pool = hosts / self.pools as u32;
        let count = draw.of(&[of_pool / 2, of_pool, 1, 3, of_pool * 3 / 4]).max(1);
        let team = draw.of(&["north", "north", "tight"]);
        self.send(draw, Step { count, ..wanted }, team);
    }

    fn send_short(&mut self, draw: &mut Draw) {
        let size = cores(draw.of(&[1, 2, 4]));
        let (count, estimate_ms) = (draw.of(&[20, 4, 80]), draw.of(&[500, 1_000]));
        self.send(draw, Step { size, estimate_ms, ..step(count) }, "north");
    }

    /// Requests a wave over every so many of the hosts of a part of the fleet.
    fn maintain(&mut self, draw: &mut Draw) {
        let hosts = self.fleet.hosts.len();
        let at_once = draw.of(&[hosts, 2, 1, 4, hosts / 2]);
        let (every, length) = (draw.of(&[1, 2, 3]), draw.of(&[hosts, hosts / 2]));
        let from = draw.below(hosts);
        let due = (from..from + length).step_by(every).map(|it| it % hosts).collect();
        self.fleet.maintain_these(due, at_once);
    }

    fn hang(&mut self, draw: &mut Draw) {
        let (every, from) = (draw.of(&[9, 4]), draw.below(9));
        let hosts = self.fleet.hosts.len();
        (0..hosts).filter(|it| (it + from) % every == 0).for_each(|it| self.fleet.hang(it));
    }

    /// Loses some of the hosts, which are at most half of them in the end.
    fn lose(&mut self, draw: &mut Draw) {
        let (every, hosts) = (draw.of(&[6, 4, 9]), self.fleet.hosts.len());
        let from = draw.below(every);
        for host in (from..hosts).step_by(every) {
            let down = self.fleet.hosts.iter().filter(|it| it.state == HostState::Down).count();
            if self.fleet.hosts[host].state == HostState::Up && 2 * (down + 1) <= hosts {
                self.fleet.lose(host);
            }
        }
    }

    fn apply(&mut self, what: u32, draw: &mut Draw) -> Result<(), String> {
        match what {
            0..4 => self.send_lasting(draw),
            4 | 5 => self.send_short(draw),
            6..10 => self.maintain(draw),
            10 => self.hang(draw),
            11 => self.lose(draw),
            12 => {
                self.fleet.take_over();
                self.away.note_takeover(self.fleet.bench.now);
            }
            _ => return self.play(draw.of(&[2_000, 600, 6_000])),
        }
        self.play(100)
    }

    fn play(&mut self, ms: Millisecond) -> Result<(), String> {
        let from = self.fleet.bench.now;
        while self.fleet.bench.now.since(from) < ms {
            self.fleet.round();
            match self.check {
                Check::Away => self.away.check(&self.fleet)?,
                Check::Stops => self.stops.check(&self.fleet)?,
            }
        }
        Ok(())
    }
}

/// Plays a script: the first entry selects the fleet, each other one an event and what it affects.
fn play(script: &[u32], check: Check) -> Result<(), String> {
    let mut draw = Draw(script.first().copied().unwrap_or(0) as usize);
    let mut play = Play::new(&mut draw, check);
    for it in script.iter().skip(1) {
        play.apply(it % EVENT_KINDS, &mut Draw((it / EVENT_KINDS) as usize))?;
    }
    play.play(REST_MS)
}

fn holds(script: &[u32], check: Check) -> bool {
    let result = play(script, check);
    if let Err(violation) = &result {
        eprintln!("{violation}, script: {script:?}");
    }
    result.is_ok()
}

fn explore(holds: fn(Vec<u32>) -> bool) {
    let rng = Gen::from_size_and_seed(SCRIPT_LEN, SEED);
    QuickCheck::new().rng(rng).tests(SCRIPTS).quickcheck(holds);
}

#[test]
fn waves_keep_no_task_without_a_run_for_long() {
    explore(|script| holds(&script, Check::Away));
}

mod known_red {
    use super::*;

    /// Tasks go to hosts that the same wave stops them on again.
    #[test]
    fn waves_do_not_stop_a_task_again_and_again() {
        explore(|script| holds(&script, Check::Stops));
    }
}
