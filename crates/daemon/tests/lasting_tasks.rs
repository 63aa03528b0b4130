//! Tasks that run until they are cancelled, while hosts are short: another pool has all of them, or they are maintained.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{
    PATIENCE,
    fleet::{Fleet, KEY, Layout, lasting_job},
    standing::{START_BOUND, START_TIME, TURN_TIME, request_wave, runs_by_task, short_job},
    wait_until,
};
use fuchsiamill_standin::fleet::DUTY_TIME;
use http::Method;
use serde_json::{Value, json};

/// How long a run goes on after the order to stop it.
const STOP_TIME: Duration = Duration::from_millis(300);

/// From the end of a run for maintenance to the next run of its task.
const AWAY_BOUND: Duration =
    STOP_TIME.saturating_add(DUTY_TIME).saturating_add(START_TIME).saturating_add(TURN_TIME);

/// How long a failing test goes on, to tell the time that it took.
const LONGEST_TIME: Duration = Duration::from_secs(25);

/// Hosts in each of two pools and spare.
const HOSTS: usize = 3;

/// Each fills more than half of a host; the pool keeps fewer hosts without work.
const LASTING_TASKS: u32 = 5;

const LASTING_CPU: u32 = 5_000;

/// All hosts have work for over a minute.
const SHORT_JOBS: u32 = 8;
const SHORT_TASKS: u32 = 400;

/// How long the short tasks run before the lasting ones come.
const LEAD_TIME: Duration = Duration::from_secs(4);

/// Plays short jobs of one pool and then a lasting job of the other one.
fn check_lasting(short: &'static str, lasting: &'static str) {
    let layout =
        Layout { own: vec![(short, HOSTS), (lasting, HOSTS)], web: None, spare: ("idle", HOSTS) };
    let fleet = Fleet::start_pools(&["", "", ""], layout, |_| {});
    for _ in 0..SHORT_JOBS {
        fleet.accept_in(short, &short_job(SHORT_TASKS), PATIENCE).expect("accepted");
    }
    thread::sleep(LEAD_TIME);
    let hosts_of = |pool: &str| fleet.site.world().hosts_up(pool).len();
    let before = [hosts_of(short), hosts_of(lasting)];
    assert!(before[1] < LASTING_TASKS as usize, "its pool has hosts already: {before:?}");
    let id = fleet.accept_in(lasting, &lasting_job(LASTING_TASKS, LASTING_CPU), PATIENCE);
    let (id, accepted) = (id.expect("accepted"), Instant::now());
    while runs_by_task(&fleet, &id).len() < LASTING_TASKS as usize
        && accepted.elapsed() < LONGEST_TIME
    {
        thread::sleep(Duration::from_millis(10));
    }
    let runs = runs_by_task(&fleet, &id);
    let mut waits: Vec<Duration> =
        runs.values().map(|it| it[0].began.saturating_duration_since(accepted)).collect();
    waits.sort();
    println!("{short} had {} hosts, {lasting} {}: waits of {waits:.2?}", before[0], before[1]);
    let is_late = waits.len() < LASTING_TASKS as usize || waits.last() > Some(&START_BOUND);
    if is_late {
        fleet.print_story(&format!("{id}.0.0.0"));
    }
    let began = waits.len();
    assert!(
        !is_late,
        "{began} of {LASTING_TASKS} tasks began, after {waits:.2?} of {START_BOUND:?}"
    );
}

#[test]
fn lasting_tasks_get_hosts_from_short_ones_of_a_former_pool() {
    check_lasting("able", "zulu");
}

#[test]
fn lasting_tasks_get_hosts_from_short_ones_of_a_later_pool() {
    check_lasting("zulu", "able");
}

/// Hosts of a pool that are full with lasting tasks, and no spare ones.
const FULL_HOSTS: usize = 4;

/// Two tasks of each of two jobs fill a host.
const TASKS_EACH: u32 = 8;

const WAVE: u64 = 1;

/// How long a wave that has to wait is watched.
const WATCH_TIME: Duration = Duration::from_secs(8);

/// A job whose tasks are on all hosts; so many of them may be away at once.
fn spread_job(may_miss: u32) -> Value {
    let mut job = lasting_job(TASKS_EACH, 2_000);
    job["steps"][0]["anti_affinity"] = json!(2);
    job["steps"][0]["may_miss"] = json!(may_miss);
    job
}

/// Checks that no task was away for longer than a maintenance takes; `until` ends the last gaps.
fn check_away(fleet: &Fleet, ids: &[&String], since: Instant, until: Instant) {
    let mut longest = (Duration::ZERO, String::new());
    for (task, runs) in ids.iter().flat_map(|it| runs_by_task(fleet, it)) {
        let next = runs.iter().skip(1).map(|it| it.began).chain([until]);
        for (run, next) in runs.iter().zip(next) {
            let Some(end) = run.ended.as_ref().map(|it| it.0).filter(|it| *it >= since) else {
                continue;
            };
            let away = next.saturating_duration_since(end);
            longest = longest.max((away, task.clone()));
        }
    }
    let maintained = fleet.site.world().maintained(WAVE);
    println!("longest away: {longest:.2?}; maintained: {maintained:?}");
    if longest.0 > AWAY_BOUND {
        fleet.print_story(&longest.1);
    }
    assert!(longest.0 <= AWAY_BOUND, "{} was away for {:?}", longest.1, longest.0);
}

/// Some tasks of a host were stopped although others that may not be kept it from its maintenance.
#[test]
fn wave_over_full_hosts_stops_no_lasting_task_for_nothing() {
    let layout = Layout { own: vec![("zulu", FULL_HOSTS)], web: None, spare: ("idle", 0) };
    let fleet = Fleet::start_pools(&["", "", ""], layout, |world| {
        for host in 0..FULL_HOSTS {
            world.worker_mut(host).expect("it is up").stop_time = STOP_TIME;
        }
    });
    let start = |may_miss| {
        let id = fleet.accept_in("zulu", &spread_job(may_miss), PATIENCE).expect("accepted");
        wait_until("its tasks run", || runs_by_task(&fleet, &id).len() == TASKS_EACH as usize);
        id
    };
    let (many, one) = (start(2), start(1));
    thread::sleep(LEAD_TIME);
    let begin = Instant::now();
    request_wave(&fleet, WAVE, &(0..FULL_HOSTS).collect::<Vec<_>>(), 2);
    thread::sleep(WATCH_TIME);
    check_away(&fleet, &[&many, &one], begin, Instant::now());
    fleet.entries[0].send_to(Method::DELETE, &format!("/zulu/{one}"), None, KEY);
    wait_until("all hosts are maintained", || {
        fleet.site.world().maintained(WAVE).len() == FULL_HOSTS
    });
    thread::sleep(AWAY_BOUND);
    check_away(&fleet, &[&many], begin, Instant::now());
    assert!(fleet.site.world().twice.is_empty(), "a task ran twice");
}
