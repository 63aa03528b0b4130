//! What one placement costs while all pools are full and a worker has just become free for one task.

mod fleet;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Result, ensure};
use argh::FromArgs;
use fastrand::Rng;
use fleet::{
    BORN, Fleet, START, WALL, config, full_team, job, open_team, plain_step, pool, running_job,
    running_steps, runs, waiting_job, worker, worker_id,
};
use fuchsiamill_fleet::{
    Coordinator, Ending, JobRecord, JobSpec, Name, Order, RunEnd, RunInfo, Step, TaskRecord,
    Timing, WorkerReport, coordinator::Takeover,
};
use fuchsiamill_model::units::{Millisecond, Moment};

/// The time between two placements.
const INTERVAL_MS: Millisecond = 15;

/// The most tasks in one placement, which is more than there is room for.
const MOST_PLACED: usize = 100;

const HOSTS: [Fleet; 3] = [
    Fleet { hosts: 300, pools: 5 },
    Fleet { hosts: 3_000, pools: 20 },
    Fleet { hosts: 21_542, pools: 72 },
];
const WAITING_STEPS: [usize; 3] = [100, 5_000, 50_000];

/// One of so many waiting steps is kept back by nothing but room.
const OPEN_STEPS: usize = 10;
/// measure what one placement costs while the pools are full
#[derive(FromArgs)]
#[argh(subcommand, name = "placement")]
pub struct PlacementArgs {
    /// placements timed for each line
    #[argh(option, default = "15")]
    repeats: usize,
    /// seed of the waiting steps
    #[argh(option, default = "20264")]
    seed: u64,
}

/// What keeps the waiting steps from the room.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Case {
    /// The other steps would fit if they were first.
    Full,
    /// Most steps are of teams at their limit.
    TeamLimit,
    /// Most steps may not run on the workers with room.
    Apart,
}

impl Case {
    const ALL: [Case; 3] = [Case::Full, Case::TeamLimit, Case::Apart];

    fn name(self) -> &'static str {
        match self {
            Case::Full => "pools full",
            Case::TeamLimit => "90 % at the limit of their team",
            Case::Apart => "90 % kept apart",
        }
    }
}

/// Prints the table.
pub fn run(args: &PlacementArgs) -> Result<()> {
    ensure!(args.repeats > 0, "At least one placement must be timed.");
    println!(
        "| Hosts | Pools | Waiting steps | Case | Median, ms | Maximum, ms | Placements that used the room |"
    );
    println!("|---|---|---|---|---|---|---|");
    for fleet in HOSTS {
        for waiting in WAITING_STEPS {
            for case in Case::ALL {
                let mut bench = Bench::new(fleet, case);
                bench.fill();
                bench.queue(waiting, args);
                print_row(fleet, waiting, case, bench.measure(args.repeats));
            }
        }
    }
    Ok(())
}

fn print_row(fleet: Fleet, waiting: usize, case: Case, mut placements: Vec<(Duration, usize)>) {
    placements.sort();
    let ms = |it: &(Duration, usize)| it.0.as_secs_f64() * 1_000.0;
    println!(
        "| {} | {} | {} | {} | {:.2} | {:.2} | {} of {} |",
        fleet.hosts,
        fleet.pools,
        waiting,
        case.name(),
        ms(&placements[placements.len() / 2]),
        placements.last().map_or(0.0, ms),
        placements.iter().filter(|it| it.1 > 0).count(),
        placements.len(),
    );
}

/// A coordinator whose workers run as much as they have room for.
struct Bench {
    coordinator: Coordinator,
    fleet: Fleet,
    case: Case,
    now: Moment,
}

impl Bench {
    fn new(fleet: Fleet, case: Case) -> Self {
        let takeover = Takeover { renewals_end: START, at: START };
        let coordinator = Coordinator::new(
            Timing::default(),
            Arc::new(config(fleet, case == Case::TeamLimit)),
            takeover,
        );
        Self { coordinator, fleet, case, now: START }
    }

    /// Lists the workers, each with its runs.
    fn fill(&mut self) {
        for host in 0..self.fleet.hosts {
            self.coordinator.worker_listed(worker(host, self.fleet), self.now);
            let spec = JobSpec { steps: running_steps(), ..job(pool(host % self.fleet.pools)) };
            let tasks = runs(host).into_iter().map(|it| TaskRecord {
                step: it.task.step,
                index: it.task.index,
                run: 1,
                on: Some((worker_id(host), BORN)),
                ..TaskRecord::default()
            });
            let record = JobRecord { tasks: tasks.collect(), ..JobRecord::default() };
            let spec = Arc::new(JobSpec { team: open_team(host), ..spec });
            self.coordinator.accept(running_job(host), spec, Some(&record), self.now, WALL);
            self.report(host, runs(host), Vec::new());
        }
    }

    /// Accepts jobs of one step each.
    fn queue(&mut self, count: usize, args: &PlacementArgs) {
        let mut rng = Rng::with_seed(args.seed);
        for number in 0..count {
            let mut spec = waiting_job(number, self.fleet, &mut rng);
            let step = &mut spec.steps[0];
            match (number % OPEN_STEPS, self.case) {
                // The workers that become free are in pool 0; this step has a task for each of them.
                (0, _) if number == 0 => {
                    *step = Step { count: 2 * args.repeats as u32, ..plain_step() };
                    spec.route.pool = pool(0);
                }
                (_, Case::Full) => {}
                (0, _) => spec.route.pool = pool(1),
                (_, Case::TeamLimit) => spec.team = full_team(number),
                // No worker can run tasks of so many steps; a limit of none has the same effect.
                (_, Case::Apart) => step.per_worker = Some(0),
            }
            let id = format!("job-{number:06}").into();
            self.coordinator.accept(id, Arc::new(spec), None, self.now, WALL);
        }
    }

    /// Returns how long each placement took and how many tasks it started. Before each of them one worker loses a task.
    fn measure(&mut self, repeats: usize) -> Vec<(Duration, usize)> {
        self.now = self.now + 10_000;
        self.place();
        let mut placements = Vec::new();
        for repeat in 0..repeats {
            let host = repeat * self.fleet.pools % self.fleet.hosts;
            let mut running = runs(host);
            let end = running.pop().map(|it| RunEnd {
                number: 1,
                task: it.task,
                run: 1,
                ending: Ending::Done,
                checkpoint: Name::default(),
            });
            self.report(host, running, end.into_iter().collect());
            placements.push(self.place());
        }
        placements
    }

    fn place(&mut self) -> (Duration, usize) {
        self.now = self.now + INTERVAL_MS;
        let began = Instant::now();
        self.coordinator.place_at_most(MOST_PLACED, self.now);
        let took = began.elapsed();
        while self.coordinator.next_commit().is_some_and(|it| !it.records.is_empty()) {
            self.coordinator.committed(self.now);
        }
        self.coordinator.committed(self.now);
        let orders = self.coordinator.take_orders();
        (took, orders.iter().filter(|it| matches!(it, Order::Start { .. })).count())
    }

    fn report(&mut self, host: usize, running: Vec<RunInfo>, ended: Vec<RunEnd>) {
        self.now = self.now + 1;
        let report =
            WorkerReport { asked: self.now, born: BORN, running, ended, has_more_ends: false };
        self.coordinator.worker_reported(&worker_id(host), report, self.now);
    }
}
