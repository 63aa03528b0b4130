//! A randomised soak: real entry hosts under faults that come in series and overlap.
//!
//! `SOAK_SEEDS=50 SOAK_SECONDS=20 cargo test -p fuchsiamill-daemon --test fleet_soak` runs many by hand; a seed that
//! failed stays in [`REGRESSIONS`] with its cause.

mod common;

use std::{
    net::SocketAddr,
    panic::catch_unwind,
    thread,
    time::{Duration, Instant},
};

use common::{
    callers::{Call, Callers},
    fleet::{Fleet, job},
    pressers::{Pressed, Pressers},
    shared_ids::{self, SharedIds},
    soak::Soak,
    wait_until,
};

/// Seeds that failed once, each with a line on its cause.
const REGRESSIONS: &[u64] = &[
    // The proxy held a guard of the fault over a delay, so that lifting it blocked its thread for ever.
    914754811545,
    // A worker crashed before the end of a run was acknowledged: the stand-in took the next run as one too many.
    140069876269,
    // A stop that was unanswered when the coordinator was lost was not ordered anew (issue 16).
    9002,
    9008,
    // A post that was given up was stored after its cancellation, which had found no job and left no trace.
    9010,
];

/// Seeds of the whole script that failed once, each with a line on its cause.
const WHOLE_REGRESSIONS: &[u64] = &[
    // A run began in two lives of one worker, and the stand-in took the end that was lost with the second for one of the first.
    20261207001015,
];

const CALLERS: u64 = 3;

/// Callers over plain sockets.
const PRESSERS: u64 = 8;

/// Callers that play rounds of shared ids.
const SHARERS: u64 = 2;

/// A run of a cancelled job is not begun later than this after the answer: `cancel_ms` of the platform.
const BEGIN_TIME: Duration = Duration::from_millis(3_000);

/// It ends within this time: `cancel_ms` and `stop_ms`.
const END_TIME: Duration = Duration::from_millis(4_000);

/// How long everybody has to be in order again.
const PATIENCE: Duration = Duration::from_secs(20);

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

#[test]
fn promises_hold_under_overlapping_faults() {
    let fresh = number("SOAK_SEED", fastrand::u64(..1 << 40));
    let known = REGRESSIONS.iter().chain(WHOLE_REGRESSIONS).copied();
    let lanes: [Vec<u64>; 2] =
        [known.collect(), (0..number("SOAK_SEEDS", 2)).map(|it| fresh + it).collect()];
    let time = Duration::from_secs(number("SOAK_SECONDS", 6));
    let fails = move |seed: &u64| {
        println!("seed {seed}");
        let script = if REGRESSIONS.contains(seed) { Script::Kept } else { Script::Whole };
        catch_unwind(|| soak(*seed, time, script)).is_err()
    };
    // Two at a time keep CI's run under two minutes.
    let failed: Vec<u64> = thread::scope(|scope| {
        let run = |lane: Vec<u64>| {
            scope.spawn(move || lane.into_iter().filter(fails).collect::<Vec<_>>())
        };
        lanes.map(run).into_iter().flat_map(|it| it.join().expect("a lane ends")).collect()
    });
    assert!(failed.is_empty(), "failed, each for the reason above: {failed:?}");
}

/// Faults that are not mended.
mod known_red {
    use super::*;

    /// A worker restarts under its id while a start is under way to it.
    #[test]
    fn start_that_reaches_the_next_life_runs_no_task_twice() {
        soak(1_002_897_494_319, Duration::from_secs(6), Script::WithoutRecuts);
    }
}

/// Which faults come. A seed that failed once keeps the script of its time.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Script {
    /// Nothing is lost for good, and there is one pool.
    Kept,
    /// No worker is cut off soon after it started again.
    WithoutRecuts,
    /// All of them.
    Whole,
}

fn soak(seed: u64, time: Duration, script: Script) {
    let mut soak = Soak::start(seed, time, script == Script::Kept);
    let is_whole = script == Script::Whole;
    if is_whole {
        soak.add_recuts();
        soak.add_accounts();
    }
    let fronts: Vec<_> = soak.fleet.entries.iter().map(|it| it.front).collect();
    let callers = Callers::start(CALLERS, &fronts, seed);
    let pressers = is_whole.then(|| Pressers::start(PRESSERS, &fronts, seed, true));
    let sharers = is_whole.then(|| SharedIds::start(SHARERS, &fronts, seed));
    let until = Instant::now() + time;
    while Instant::now() < until {
        soak.step();
    }
    soak.heal();
    if let Some(it) = &mut soak.evacuations {
        it.finish(&soak.fleet);
    }
    soak.end_losses();
    let (calls, mut unanswered) = callers.finish();
    let mut pressed = pressers.map(Pressers::finish).unwrap_or_default();
    let rounds = sharers.map(SharedIds::finish).unwrap_or_default();
    unanswered.append(&mut pressed.unanswered);
    check(&soak, &calls, seed);
    pressed.check(&soak.fleet);
    shared_ids::check(&soak.fleet, &rounds);
    if let Some(it) = &soak.evacuations {
        it.check(&soak.fleet, seed);
    }
    if let Some(it) = &mut soak.standing {
        it.check(&soak.fleet, seed);
        it.finish(&soak.fleet);
    }
    if is_whole {
        let pressed = press_planned_work(&mut soak, &fronts, seed);
        unanswered.extend(pressed.unanswered);
    }
    let broken = soak.disturbances.broken(&unanswered);
    assert!(broken.is_empty(), "seed {seed}: requests without an answer: {broken:#?}");
}

/// Callers beside planned work alone.
fn press_planned_work(soak: &mut Soak, fronts: &[SocketAddr], seed: u64) -> Pressed {
    let pressers = Pressers::start(PRESSERS, fronts, !seed, false);
    soak.plan_work();
    let pressed = pressers.finish();
    soak.fleet.wait_ready();
    pressed.check(&soak.fleet);
    pressed
}

/// Checks what callers were promised, now that nothing is in the way.
fn check(soak: &Soak, calls: &[Call], seed: u64) {
    let fleet = &soak.fleet;
    fleet.wait_ready();
    soak.losses.check(fleet, calls);
    let probe = fleet.accept(&job(20, &[1]), PATIENCE).expect("a job is accepted");
    fleet.wait_state(&probe, "completed");
    let calm = Instant::now();
    thread::sleep(END_TIME);
    let broken = broken_cancellations(fleet, calls, calm);
    if let Some(first) = broken.first().and_then(|it| it.split(':').next()) {
        fleet.print_story(first);
    }
    assert!(broken.is_empty(), "seed {seed}: work of cancelled jobs: {broken:#?}");
    for it in calls.iter().filter(|it| it.cancelled.is_some()) {
        check_told(fleet, it);
    }
    let kept = calls.iter().filter(|it| it.is_accepted && it.cancelled.is_none());
    let kept: Vec<&Call> = kept.collect();
    fleet.jobs.borrow_mut().extend(kept.iter().map(|it| it.id.clone()));
    fleet.check();
    let world = fleet.site.world();
    let lost = kept.iter().any(|it| world.done_tasks(&it.id) != it.tasks);
    assert!(!lost, "seed {seed}: a job is completed without all of its tasks");
    let cancelled = calls.iter().filter(|it| it.cancelled.is_some()).count();
    println!("seed {seed}: {} jobs, {cancelled} of them cancelled", calls.len());
}

/// Runs of cancelled jobs that are at work, or were begun too late, since everybody is in order.
fn broken_cancellations(fleet: &Fleet, calls: &[Call], calm: Instant) -> Vec<String> {
    let world = fleet.site.world();
    let mut broken = Vec::new();
    for call in calls {
        let Some((answered, status)) = call.cancelled else { continue };
        for run in world.runs.iter().filter(|it| it.task.starts_with(&call.id)) {
            let is_late = run.began > calm.max(answered + BEGIN_TIME);
            let fault = match (run.ended.is_none(), is_late) {
                (true, _) => "at work",
                (false, true) => "begun late",
                _ => continue,
            };
            let since = calm.saturating_duration_since(answered);
            broken.push(format!(
                "{}: run {} {fault}, its job was cancelled {since:?} before the calm ({status}, {})",
                run.task,
                run.run,
                if call.is_accepted { "accepted" } else { "post unanswered" },
            ));
        }
    }
    broken
}

fn check_told(fleet: &Fleet, call: &Call) {
    let mut told = None;
    wait_until("a state is told", || {
        told = fleet.state(&call.id);
        told.is_some()
    });
    let told = told.unwrap_or_default();
    let is_unknown = told == "gone" && call.cancelled.is_some_and(|it| it.1 == 410);
    let is_right = is_unknown || told == "cancelled" || told == "completed";
    assert!(is_right, "{call:?} is told as {told}");
}
