//! Strategies of the spare pool under queues that peak in turn, and under load that lasts.

use anyhow::Result;
use argh::FromArgs;
use fastrand::Rng;
use fuchsiamill_model::{Millisecond, Moment, PoolName, Slots};
use fuchsiamill_policy::spare::{PoolLoad, SpareDecision, SpareLimits, SparePool, Strategy};

const POOLS: usize = 4;
const HOSTS_PER_POOL: u32 = 10;
const HOST_SLOTS: Slots = 8;
const OWN: Slots = HOSTS_PER_POOL * HOST_SLOTS;
const SPARE_HOSTS: u32 = 10;
const STEP: Millisecond = 500;
const SECOND: Millisecond = 1_000;
const HOUR: Millisecond = 3_600_000;
const TRANSIT: Millisecond = 4_000;
const SEED: u64 = 20_264;

const CALM: SpareLimits = SpareLimits {
    lend_after: 5_000,
    take_back_after: 20_000,
    low_percent: 70,
    min_interval: 30_000,
    lead_time: 6_000,
};
const JUMPY: SpareLimits = SpareLimits {
    lend_after: 0,
    take_back_after: 0,
    low_percent: 100,
    min_interval: 0,
    lead_time: 6_000,
};
const SLOW: SpareLimits = SpareLimits {
    lend_after: 30_000,
    take_back_after: 60_000,
    low_percent: 70,
    min_interval: 120_000,
    lead_time: 6_000,
};
const QUICK_FORECAST: SpareLimits = SpareLimits {
    lend_after: 5_000,
    take_back_after: 500,
    low_percent: 70,
    min_interval: 2_000,
    lead_time: 6_000,
};

/// measure the spare pool's strategies
#[derive(FromArgs)]
#[argh(subcommand, name = "spare")]
pub struct SpareArgs {}

/// How the load of the pools runs.
#[derive(Clone, Copy)]
enum Load {
    /// Each pool in turn has 5 times its mean for 8 s, then a twentieth.
    InTurn,
    /// The same with uneven intervals.
    Uneven,
    /// One pool is over its slots for 10 minutes an hour.
    Lasting,
}

/// Prints the table.
pub fn run(_: &SpareArgs) -> Result<()> {
    println!(
        "| Load | Strategy | Waiting, slot-s an hour | Moves an hour | Spare hosts away, mean |"
    );
    println!("|---|---|---|---|---|");
    let loads = [
        ("peaks in turn", Load::InTurn),
        ("uneven peaks", Load::Uneven),
        ("lasting load", Load::Lasting),
    ];
    let ways = [
        ("never", Strategy::Never, CALM),
        ("reactive, no hysteresis", Strategy::Reactive, JUMPY),
        ("reactive, 5 s / 20 s / 30 s", Strategy::Reactive, CALM),
        ("reactive, 30 s / 60 s / 120 s", Strategy::Reactive, SLOW),
        ("forecasting, 5 s / 20 s / 30 s", Strategy::Forecasting, CALM),
        ("forecasting, 5 s / 0.5 s / 2 s", Strategy::Forecasting, QUICK_FORECAST),
    ];
    for (load_title, load) in loads {
        for (title, strategy, limits) in ways {
            let mut world = World::new(load, SparePool::new(strategy, limits, HOST_SLOTS))?;
            world.run(HOUR);
            let World { waiting, moves, away, steps, .. } = world;
            let mean = away as f64 / steps as f64;
            println!("| {load_title} | {title} | {:.0} | {moves} | {mean:.1} |", waiting / 1_000.0);
        }
    }
    Ok(())
}

struct Pool {
    name: PoolName,
    queue: f64,
    lent: u32,
    arriving: Vec<(Moment, u32)>,
}

struct World {
    load: Load,
    policy: SparePool,
    pools: Vec<Pool>,
    leaving: Vec<(Moment, u32)>,
    free: u32,
    rng: Rng,
    offsets: Vec<Millisecond>,
    waiting: f64,
    moves: u32,
    away: u64,
    steps: u64,
}

impl World {
    fn new(load: Load, policy: SparePool) -> Result<Self> {
        let pool = |at| {
            let name = PoolName::try_from(format!("pool-{at}"))?;
            Ok(Pool { name, queue: 0.0, lent: 0, arriving: Vec::new() })
        };
        Ok(Self {
            load,
            policy,
            pools: (0..POOLS).map(pool).collect::<Result<_>>()?,
            leaving: Vec::new(),
            free: SPARE_HOSTS,
            rng: Rng::with_seed(SEED),
            offsets: vec![0; POOLS],
            waiting: 0.0,
            moves: 0,
            away: 0,
            steps: 0,
        })
    }

    fn run(&mut self, span: Millisecond) {
        for at in (0..span).step_by(STEP as usize) {
            self.step(Moment(at));
        }
    }

    fn step(&mut self, now: Moment) {
        self.arrive(now);
        let loads: Vec<_> = (0..POOLS).map(|pool| self.serve(pool, now)).collect();
        match self.policy.next(&loads, self.free, now) {
            SpareDecision::Keep => {}
            SpareDecision::Lend { to, hosts } => {
                self.free -= hosts;
                self.moves += hosts;
                let pool = self.pools.iter_mut().find(|it| it.name == to).expect("a pool");
                pool.lent += hosts;
                pool.arriving.push((now + TRANSIT, hosts));
            }
            SpareDecision::TakeBack { from, hosts } => {
                self.moves += hosts;
                let pool = self.pools.iter_mut().find(|it| it.name == from).expect("a pool");
                pool.lent -= hosts;
                pool.arriving.clear();
                self.leaving.push((now + TRANSIT, hosts));
            }
        }
        self.away += u64::from(SPARE_HOSTS - self.free);
        self.steps += 1;
    }

    fn arrive(&mut self, now: Moment) {
        for (_, hosts) in self.leaving.extract_if(.., |(at, _)| *at <= now) {
            self.free += hosts;
        }
        for pool in &mut self.pools {
            pool.arriving.retain(|(at, _)| *at > now);
        }
    }

    /// Serves one step of a pool; what its slots cannot run waits.
    fn serve(&mut self, at: usize, now: Moment) -> PoolLoad {
        let wanted = f64::from(self.demand(at, now));
        let pool = &mut self.pools[at];
        let on_the_way: u32 = pool.arriving.iter().map(|(_, hosts)| hosts).sum();
        let slots = f64::from(OWN + (pool.lent - on_the_way) * HOST_SLOTS);
        let work = wanted + pool.queue;
        pool.queue = (work - slots).max(0.0);
        self.waiting += pool.queue * STEP as f64;
        let demand = work.min(f64::from(u32::MAX)) as Slots;
        PoolLoad { pool: pool.name.clone(), demand, own_slots: OWN, lent_hosts: pool.lent }
    }

    /// Slots that new work needs in this step: the mean is 24, a peak five times that.
    fn demand(&mut self, at: usize, now: Moment) -> Slots {
        const MEAN: Slots = 24;
        const PEAK: Slots = 5 * MEAN;
        const REST: Slots = MEAN / 20;
        const PERIOD: Millisecond = 40 * SECOND;
        const LENGTH: Millisecond = 8 * SECOND;
        const LASTING: Millisecond = 600 * SECOND;
        let phase = at as u64 * PERIOD / POOLS as u64;
        let is_high = match self.load {
            Load::InTurn => (now.0 + phase) % PERIOD < LENGTH,
            Load::Uneven => self.is_uneven_peak(at, now, (PERIOD, LENGTH)),
            Load::Lasting => at == 0 && (HOUR / 4..HOUR / 4 + LASTING).contains(&now.0),
        };
        if is_high { PEAK } else { REST }
    }

    fn is_uneven_peak(
        &mut self,
        at: usize,
        now: Moment,
        (period, length): (Millisecond, Millisecond),
    ) -> bool {
        if now.0.is_multiple_of(period) {
            self.offsets[at] = self.rng.u64(..period - length);
        }
        let in_period = now.0 % period;
        (self.offsets[at]..self.offsets[at] + length).contains(&in_period)
    }
}
