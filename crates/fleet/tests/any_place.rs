//! Random jobs, limits, advice, faults and takeovers: nothing that could start waits long in a part without faults,
//! and tasks that are to run all the time or at a time of day come first.

mod common;

use common::{
    config, cores, every, job,
    places::{Advice, Places, Policy, SHORT_VALID_MS, Starts, VALID_MS},
    startable::ROUND_MS,
    step, worker,
};
use fuchsiamill_fleet::{
    Config, Ending, JobSpec, Name, Step, TaskId, Team, WorkerInfo, coordinator::Refusal,
    job::RouteSettings,
};
use fuchsiamill_model::{Resources, units::Millisecond};
use quickcheck::{Gen, QuickCheck};

/// Number of random scripts.
const SCRIPTS: u64 = 200;

/// Seed of the random scripts; other seeds are tried by hand.
const SEED: u64 = 1;

/// Maximum number of entries of a random script.
const SCRIPT_LEN: usize = 40;

/// Maximum number of entries of a script whose events are printed if it fails.
const MAX_TRACED: usize = 12;

/// Number of kinds of events.
const EVENT_KINDS: u32 = 24;

/// Time within which workers that are avoided are used again.
const LONG_REST_MS: Millisecond = 9_000;

const DAY_MS: Millisecond = 86_400_000;

/// Lengths of time for which the coordinator has been up.
const UP_MS: [Millisecond; 5] = [0, 60_000, 4_000_000, DAY_MS, 30 * DAY_MS];

/// Numbers of workers.
const FLEETS: [usize; 5] = [2, 70, 6, 20, 40];

/// Numbers of equal jobs that are sent together.
const BATCHES: [usize; 4] = [1, 3, 34, 48];

/// Numbers of tasks of a step.
const COUNTS: [u32; 5] = [1, 2, 5, 36, 60];

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

    fn flag(&mut self) -> bool {
        self.below(2) == 1
    }
}

/// Returns a configuration with two teams whose limits are drawn.
fn limited(draw: &mut Draw, version: u64) -> Config {
    let mut config = Config { version, ..config() };
    let one_accelerator = Resources { accelerators: 1, ..Resources::default() };
    for name in ["capped", "tight"] {
        let limit = draw.of(&[cores(1), cores(3), one_accelerator, cores(40), cores(0)]);
        let team = Team { name: name.into(), weight: 1_000.0, limit };
        config.teams.insert(team.name.clone(), team);
    }
    config
}

fn fleet(draw: &mut Draw) -> Vec<WorkerInfo> {
    let count = draw.of(&FLEETS);
    let sizes = draw.of(&[[8, 8, 8], [1, 8, 2], [64, 4, 1], [64, 64, 64]]);
    let has_accelerators = draw.flag();
    let info = |number: usize| {
        let accelerators = if has_accelerators && number % 4 == 1 { 2 } else { 0 };
        let kind = if number % 5 == 1 { "kind-b" } else { "kind-a" };
        WorkerInfo {
            capacity: Resources { accelerators, ..cores(sizes[number % 3]) },
            labels: vec![kind.into(), "rack-1".into()],
            ..worker(&format!("w{number}"))
        }
    };
    (0..count).map(info).collect()
}

fn drawn_job(draw: &mut Draw) -> JobSpec {
    let accelerator = Resources { accelerators: 1, ..cores(1) };
    let kind = draw.below(8);
    let label = draw.of(&[None, None, Some("kind-b"), Some("kind-z")]);
    let drawn = Step {
        count: draw.of(&COUNTS),
        size: draw.of(&[cores(1), cores(2), cores(8), cores(100), accelerator, cores(0)]),
        label: label.map(Name::from),
        long_running: kind == 1 || kind == 7,
        best_effort: kind == 2,
        tail_target_ms: (kind == 0 && draw.below(4) == 3).then_some(100),
        gang: kind == 3 || kind == 4,
        per_worker: (kind >= 4).then_some(draw.of(&[1, 2])),
        ..step(1)
    };
    let is_advised = kind == 5 || kind == 7 || draw.below(4) == 3;
    let team = draw.of(&["north", "capped", "tight"]);
    let mut steps = vec![drawn];
    if draw.below(4) == 3 && !steps[0].long_running {
        steps.push(Step { after: vec![0], ..step(2) });
    }
    let spec = job(steps);
    let schedule = (kind != 1 && kind != 7 && draw.below(6) == 5).then_some(every(3, 4_000));
    let priority = draw.of(&[0, 0, 1]);
    let route = RouteSettings { advised: is_advised, priority, ..spec.route.clone() };
    JobSpec { route, schedule, team: team.into(), ..spec }
}

/// Returns a job of one task with the size and label of another job, which nothing else holds back.
fn freed(spec: &JobSpec) -> JobSpec {
    let first = &spec.steps[0];
    job(vec![Step { size: first.size, label: first.label.clone(), ..step(1) }])
}

fn send(places: &mut Places, draw: &mut Draw) {
    let batch = draw.of(&BATCHES);
    let policy = Policy { salt: draw.below(3), of_ten: draw.of(&[10, 8, 1, 0]) };
    let has_freed = draw.flag();
    let spec = drawn_job(draw);
    let first = places.specs.len();
    places.note(|| format!("{batch} jobs from {first}, {policy:?}, {has_freed}: {spec:?}"));
    for _ in 0..batch {
        let id = format!("j{:04}", places.specs.len());
        places.accept(id.into(), spec.clone(), policy);
    }
    if has_freed {
        let id = format!("j{:04}", places.specs.len());
        places.accept(id.into(), freed(&spec), policy);
    }
}

/// Ends some of the runs.
fn end_runs(places: &mut Places, draw: &mut Draw, ending: Ending) {
    let (every, offset) = (draw.of(&[1, 2, 9]), draw.below(9));
    let mut number = offset;
    for worker in places.workers.iter_mut().filter(|it| it.down_since.is_none()) {
        let own: Vec<TaskId> = worker.running.keys().cloned().collect();
        for task in own {
            number += 1;
            if number % every == 0 {
                worker.end(&task, ending);
            }
        }
    }
}

/// Applies one event of a script.
fn apply(places: &mut Places, what: u32, draw: &mut Draw) -> Result<(), String> {
    let count = places.workers.len();
    match what {
        0..6 => send(places, draw),
        6..9 => end_runs(places, draw, Ending::Done),
        9 => end_runs(places, draw, Ending::Failed),
        10 => (0..=draw.below(3)).for_each(|_| places.cut(draw.below(count))),
        11 | 12 => {
            let is_restarted = draw.flag();
            let down = (0..count).filter(|it| places.workers[*it].down_since.is_some());
            down.collect::<Vec<_>>().into_iter().for_each(|it| places.bring_back(it, is_restarted));
        }
        13 => places.kill(draw.below(count)),
        14 => places.configure(limited(draw, places.config.version + 1)),
        15 => places.take_over(),
        16 => {
            let id = places.specs.keys().nth(draw.below(places.specs.len().max(1))).cloned();
            id.iter().for_each(|it| places.cancel(it));
        }
        17 => {
            places.starts = draw.of(&[
                Starts::Begin,
                Starts::Refuse(Refusal::Room),
                Starts::NotSent,
                Starts::Refuse(Refusal::Ticket),
                Starts::Lost(true),
                Starts::Lost(false),
                Starts::Refuse(Refusal::Unhealthy),
                Starts::Refuse(Refusal::Late),
            ]);
        }
        18 => {
            let short = Advice::Answers(SHORT_VALID_MS);
            let valid = Advice::Answers(VALID_MS);
            places.advice = draw.of(&[valid, short, Advice::Fails, Advice::Lost]);
        }
        19 => places.most = draw.of(&[usize::MAX, 60, 5]),
        20 => places.pass(draw.of(&[700, 3_000, 10_000, DAY_MS])),
        21 => (0..draw.below(10)).for_each(|_| {
            places.round();
            places.pass(ROUND_MS / 2);
        }),
        22 => places.rest(0)?,
        _ => places.rest(LONG_REST_MS)?,
    }
    places.round();
    places.pass(ROUND_MS);
    Ok(())
}

/// Plays a script: the first entry selects the fleet, each other one an event and what it affects.
fn play(script: &[u32]) -> (Places, Result<(), String>) {
    let mut draw = Draw(script.first().copied().unwrap_or(0) as usize);
    let config = limited(&mut draw, 1);
    let mut places = Places::new(config, draw.of(&UP_MS), fleet(&mut draw));
    places.trace = (script.len() <= MAX_TRACED).then(Vec::new);
    for it in script.iter().skip(1) {
        let (what, whom) = (it % EVENT_KINDS, it / EVENT_KINDS);
        places.note(|| format!("{what}.{whom}"));
        if let Err(violation) = apply(&mut places, what, &mut Draw(whom as usize)) {
            return (places, Err(violation));
        }
    }
    let result = places.rest(0);
    (places, result)
}

fn holds(script: &[u32]) -> bool {
    let (places, result) = play(script);
    if let Err(violation) = &result {
        eprintln!("{}", places.trace.unwrap_or_default().join("\n"));
        eprintln!("{violation}, script: {script:?}");
    }
    result.is_ok()
}

#[test]
fn nothing_that_could_start_waits_long() {
    let holds: fn(Vec<u32>) -> bool = |script| holds(&script);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SCRIPT_LEN, SEED))
        .tests(SCRIPTS)
        .quickcheck(holds);
}
