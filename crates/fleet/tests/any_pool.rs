//! Random jobs, losses, waves and takeovers while several pools are short of hosts: long-running tasks that could run
//! begin in time, hosts do not go back and forth, and the names of pools decide no more than ties.

mod common;

use common::{
    cores,
    pools::{PoolFleet, PoolHost, SPARE, due::Watch, job_in, with_pools},
    step,
};
use fuchsiamill_fleet::{Config, HostState, Name, Step, Team};
use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment, WallTime},
};
use quickcheck::{Gen, QuickCheck};

/// Number of random scripts.
const SCRIPTS: u64 = 60;

/// Seed of the random scripts; other seeds are tried by hand.
const SEED: u64 = 1;

/// Maximum number of entries of a random script.
const SCRIPT_LEN: usize = 14;

/// Number of kinds of events.
const EVENT_KINDS: u32 = 18;

/// Names of pools.
const NAMES: [&str; 5] = ["aaa", "mmm", "zzz", "bbb", "nnn"];

/// Numbers of hosts.
const FLEETS: [usize; 5] = [12, 4, 7, 24, 40];

/// Time after an event until the coordinator has seen it in two lists of hosts.
const SEEN_MS: Millisecond = 200;

/// Time for which a coordinator gives no order to hosts that a former one ordered: the change of the holder, and the time
/// within which an order is sent, each with drift.
const FORMER_ORDERS_MS: Millisecond = 4_700;

/// Time for which a lost host is waited for by a wave.
const LOST_MS: Millisecond = 15_000;

/// Time of a wave for one host after the other: a stop, what is left of short tasks, the move of another host, a start, the
/// maintenance and two lists.
const TURN_MS: Millisecond = 300 + 2_500 + 1_500 + 1_600 + 2_000 + 300 + 200;

/// The most moves of one host in a part without events, which is shorter than a minute. Backlogs end and lost hosts are made
/// up for meanwhile: to the spare pool and to a pool, for each of these and for a claim.
const MAX_MOVES: u32 = 6;

/// What scripts have besides the events that all have.
#[derive(Clone, Copy, Default)]
struct Kinds {
    hangs: bool,
    labels: bool,
    sizes: bool,
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
    kinds: Kinds,
    /// The names of the pools, by what the script calls them.
    pools: Vec<&'static str>,
    sent: usize,
    /// Since when nothing has happened, once the coordinator has seen it.
    quiet_from: Moment,
    /// How many hosts of each pool are at work after the last part without events.
    sizes: Vec<usize>,
}

fn config(pools: &[&str]) -> Config {
    let mut config = with_pools(pools);
    for (name, weight, limit) in [("over", 0.0, 0), ("tight", 1_000.0, 12)] {
        let team = Team { name: name.into(), weight, limit: cores(limit) };
        config.teams.insert(team.name.clone(), team);
    }
    config.teams.get_mut("north").expect("a team").weight = 1_000.0;
    config
}

impl Play {
    /// `turn` says how names are exchanged.
    fn new(draw: &mut Draw, kinds: Kinds, turn: usize) -> Self {
        let count = 2 + draw.below(4);
        let pools: Vec<&str> = (0..count).map(|it| NAMES[(it * (1 + turn) + turn) % 5]).collect();
        let (hosts, home) = (draw.of(&FLEETS), draw.below(3));
        let sizes = draw.of(&[[8, 8, 8], [8, 16, 8], [4, 8, 8]]);
        let new = |number: usize| {
            let mut host = PoolHost::new(match home {
                0 => SPARE,
                1 => pools[number % count],
                _ => pools[0],
            });
            if kinds.sizes {
                host.capacity = cores(sizes[number % 3]);
            }
            if number % 4 == 1 {
                host.labels[0] = "kind-b".into();
            }
            host
        };
        let fleet = PoolFleet::of_hosts(config(&pools), (0..hosts).map(new).collect());
        Self { kinds, quiet_from: fleet.bench.now, fleet, pools, sent: 0, sizes: Vec::new() }
    }

    fn send(&mut self, draw: &mut Draw, steps: Vec<Step>, late: bool, team: &str) {
        let pool = self.pools[draw.below(self.pools.len())];
        let mut spec = job_in(pool, steps);
        let wall = self.fleet.wall();
        spec.accepted = if late { WallTime(wall.0 - 60_000) } else { wall };
        spec.team = team.into();
        spec.queue = format!("q{}", self.pools.iter().position(|it| *it == pool).unwrap()).into();
        self.fleet.send(&format!("j{:04}", self.sent), spec);
        self.sent += 1;
    }

    fn send_short(&mut self, draw: &mut Draw) {
        let team = draw.of(&["north", "over"]);
        let late = draw.below(2) == 1;
        let size = draw.of(&[cores(1), cores(2), cores(1)]);
        let estimate_ms = draw.of(&[1_000, 300, 2_500]);
        let (jobs, count) = (draw.of(&[10, 1, 30]), draw.of(&[200, 20]));
        let step = Step { size, estimate_ms, ..step(count) };
        let pool = draw.0;
        for _ in 0..jobs {
            self.send(&mut Draw(pool), vec![step.clone()], late, team);
        }
    }

    fn send_lasting(&mut self, draw: &mut Draw) {
        let memory = Resources { memory_mib: 6 * 1_024, ..cores(1) };
        let most = draw.of(&[None, Some(1), Some(2)]);
        let label = draw.below(4) == 3 && self.kinds.labels;
        let count = draw.of(&[2, 1, 5, 12]);
        let lasting = Step {
            count,
            size: draw.of(&[cores(4), cores(1), cores(6), memory, cores(2)]),
            per_worker: most,
            long_running: true,
            max_unavailable: draw.of(&[None, Some(1), Some(2), Some(4)]),
            label: label.then(|| "kind-b".into()),
            ..step(1)
        };
        let team = draw.of(&["north", "north", "tight"]);
        self.send(draw, vec![lasting], false, team);
    }

    /// Loses one to two thirds of the hosts that are left.
    fn lose(&mut self, draw: &mut Draw) {
        let (thirds, from) = (1 + draw.below(2), draw.below(3));
        let up = |it: &usize| self.fleet.hosts[*it].state == HostState::Up;
        let up: Vec<usize> = (0..self.fleet.hosts.len()).filter(up).collect();
        if up.len() < 4 {
            return;
        }
        let lost = up.iter().filter(|it| (**it + from) % 3 < thirds);
        lost.for_each(|it| self.fleet.lose(*it));
    }

    fn hang(&mut self, draw: &mut Draw) {
        let (every, from) = (draw.of(&[4, 2, 9]), draw.below(9));
        let hosts = self.fleet.hosts.len();
        (0..hosts).filter(|it| (it + from) % every == 0).for_each(|it| self.fleet.hang(it));
    }

    fn apply(&mut self, what: u32, draw: &mut Draw) -> Result<(), String> {
        let hosts = self.fleet.hosts.len();
        let mut seen_ms = SEEN_MS;
        match what {
            0..4 => self.send_short(draw),
            4..8 => self.send_lasting(draw),
            8 => self.lose(draw),
            9 if self.kinds.hangs => self.hang(draw),
            10 => {
                let (from, at_once) = (draw.below(hosts), draw.of(&[1, 2, 4]));
                let to = (from + 1 + draw.below(hosts)).min(hosts);
                self.fleet.maintain(from..to, at_once);
            }
            11 => {
                let id = self.fleet.specs.keys().nth(draw.below(self.sent.max(1))).cloned();
                id.iter().for_each(|it| self.fleet.cancel(it));
            }
            12 => {
                self.fleet.take_over();
                seen_ms = FORMER_ORDERS_MS;
            }
            13 | 14 => {
                let ms = draw.of(&[100, 600, 2_000]);
                self.fleet.play(ms);
                return Ok(());
            }
            _ => return self.rest(draw.of(&[6_000, 12_000])),
        }
        let quiet = self.fleet.bench.now + seen_ms;
        self.quiet_from = self.quiet_from.max(quiet);
        self.fleet.round();
        Ok(())
    }

    /// Plays a part without events.
    fn rest(&mut self, ms: Millisecond) -> Result<(), String> {
        let (from, mut watch) = (self.fleet.bench.now, Watch::default());
        let before: Vec<u32> = self.fleet.hosts.iter().map(|it| it.moves).collect();
        while self.fleet.bench.now.since(from) < ms {
            self.fleet.round();
            if self.fleet.bench.now >= self.quiet_from {
                watch.check(&self.fleet)?;
            }
        }
        let moved = self.fleet.hosts.iter().zip(before).map(|(host, before)| host.moves - before);
        match moved.enumerate().find(|it| it.1 > MAX_MOVES) {
            Some((host, moves)) => Err(format!("{moves} moves of h{host} in {ms} ms")),
            None => Ok(()),
        }
    }

    /// Cancels jobs until there is room for the maintenance of all hosts, and maintains them.
    fn maintain_all(&mut self) -> Result<(), String> {
        let ids: Vec<Name> = self.fleet.specs.keys().cloned().collect();
        let left = self.fleet.hosts.iter().filter(|it| it.state != HostState::Down).count();
        let mut tasks = 0;
        for id in ids {
            let spec = &self.fleet.specs[&id];
            let own: u32 = spec.steps.iter().map(|it| it.count).sum();
            let has_room = tasks + own + 2 * self.pools.len() as u32 <= left as u32 / 2;
            // What the limit of its team holds back counts as away.
            let has_label = spec.steps.iter().any(|it| it.label.is_some());
            let has_room = has_room && &*spec.team != "tight" && !has_label;
            match spec.long_running() && has_room && !self.fleet.is_cancelled(&id) {
                true => tasks += own,
                false => self.fleet.cancel(&id),
            }
        }
        let hosts = self.fleet.hosts.len();
        self.fleet.maintain(0..hosts, 2);
        let bound = FORMER_ORDERS_MS + 2 * LOST_MS + TURN_MS * hosts as u64;
        let from = self.fleet.bench.now;
        while !self.fleet.are_waves_completed() {
            if self.fleet.bench.now.since(from) > bound {
                return Err(format!("waves are not completed in {bound} ms"));
            }
            self.fleet.round();
        }
        Ok(())
    }
}

/// Plays a script: the first entry selects the fleet, each other one an event and what it affects.
fn play(script: &[u32], kinds: Kinds, turn: usize) -> (Play, Result<(), String>) {
    let mut draw = Draw(script.first().copied().unwrap_or(0) as usize);
    let mut play = Play::new(&mut draw, kinds, turn);
    for it in script.iter().skip(1) {
        let (what, whom) = (it % EVENT_KINDS, it / EVENT_KINDS);
        if let Err(violation) = play.apply(what, &mut Draw(whom as usize)) {
            return (play, Err(violation));
        }
    }
    let result = play.rest(12_000);
    let at_work = |pool: &&str| {
        play.fleet.hosts.iter().filter(|it| it.pool == *pool && !it.running.is_empty()).count()
    };
    play.sizes = play.pools.iter().map(at_work).collect();
    let result = result.and_then(|()| play.maintain_all());
    (play, result)
}

fn holds(script: &[u32], kinds: Kinds) -> bool {
    let (first, result) = play(script, kinds, 0);
    let (second, exchanged) = play(script, kinds, 1);
    if let Some(violation) = result.err().or(exchanged.err()) {
        eprintln!("{violation}, script: {script:?}");
        return false;
    }
    // Pools that are short alike are served in the order of their names: a pool may win or lose a host to each other one.
    let ties = first.pools.len();
    let is_same = first.sizes.iter().zip(&second.sizes).all(|it| it.0.abs_diff(*it.1) <= ties);
    if !is_same {
        eprintln!(
            "pools of {:?} and {:?} hosts at work, script: {script:?}",
            first.sizes, second.sizes
        );
    }
    is_same
}

#[test]
fn long_running_tasks_that_could_run_begin_in_time() {
    let holds: fn(Vec<u32>) -> bool = |script| holds(&script, Kinds::default());
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SCRIPT_LEN, SEED))
        .tests(SCRIPTS)
        .quickcheck(holds);
}

/// Scripts that were found with other seeds.
#[test]
fn scripts_that_were_found_hold() {
    let found: [&[u32]; 4] = [
        &[1_323_173, 532_767_334],
        &[224_095_332, 532_767_244, 217_715_644, 0, 1_363_059_490],
        &[78_016, 1_894_302_103, 2_979_273_967],
        &[2_205_580_342, 4_294_967_295, 2_964_058_170, 340_836_749],
    ];
    let fails: Vec<_> = found.iter().filter(|it| !holds(it, Kinds::default())).collect();
    assert!(fails.is_empty(), "{fails:?}");
}

/// The only host with the label was idle in a pool that had no more than its share.
#[test]
fn idle_hosts_with_a_label_go_to_the_tasks_that_need_it() {
    let kinds = Kinds { labels: true, ..Kinds::default() };
    assert!(holds(&[3_353_945_125, 1_574_649_886], kinds));
}

/// Hosts whose tasks hang are emptied for another pool and count as its own meanwhile.
#[test]
fn hosts_that_hang_are_replaced_by_others() {
    let kinds = Kinds { hangs: true, ..Kinds::default() };
    assert!(holds(&[20, 0, 3_359_080_503, 1_953_383_224], kinds));
}

mod known_red {
    use super::*;

    /// What remains of long scripts with other seeds: a task waits for longer than the bound.
    #[test]
    fn tasks_of_long_scripts_begin_in_time() {
        let found: [&[u32]; 2] = [
            &[
                119_130_592,
                4_123_273_567,
                2_458_413_991,
                3_150_386_692,
                2_554_443_712,
                4_294_967_295,
                2_475_549_115,
            ],
            &[
                3_408_561_194,
                774_272_131,
                1_652_145_869,
                869_495_475,
                3_856_850_974,
                3_982_368_283,
                2_926_488_646,
                4_013_284_132,
                3_883_853_578,
            ],
        ];
        let fails: Vec<_> = found.iter().filter(|it| !holds(it, Kinds::default())).collect();
        assert!(fails.is_empty(), "{fails:?}");
    }

    /// A pool asks for no larger hosts than it has.
    #[test]
    fn tasks_too_large_for_the_hosts_of_their_pool_get_others() {
        let kinds = Kinds { sizes: true, ..Kinds::default() };
        assert!(holds(&[1_145_576_460, 706_945_036], kinds));
    }
}
