//! Odd rows among the workers' entries, as other writers leave them.

mod common;

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use common::{
    fleet::{Fleet, job},
    wait_until,
};
use fuchsiamill_standin::fleet::World;
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(20);

/// A change of the table is known to the coordinator, and what it ordered before has begun.
const KNOWN: Duration = Duration::from_millis(500);

/// Deeper than a parser that calls itself gets on any stack.
const DEPTH: usize = 40_000;

const TABLE: &str = "servers";

fn worker_of(world: &mut World, host: usize) -> (String, Value) {
    let id = world.worker_mut(host).expect("it is up").id.clone();
    let entry = world.rows.value(TABLE, "", &id).expect("it is listed");
    (id, entry)
}

/// Copies of a good entry under other ids, each with one odd field, and bytes that are no entry.
fn put_odd(world: &mut World) {
    let (id, entry) = worker_of(world, 0);
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let fields = [
        ("state", "7"),
        ("state", "\"gone\""),
        ("service", "null"),
        ("address", "\"127.0.0.1:70000\""),
        ("address", "\"0.0.0.0:0\""),
        ("capacity", r#"{"cpu":4294967296,"mem_mb":1}"#),
        ("capacity", r#"{"cpu":4294967295,"mem_mb":4294967295}"#),
        ("born", "1e999"),
        ("born", "18446744073709551615"),
        ("labels", nested.as_str()),
        ("slots", nested.as_str()),
    ];
    for (number, (field, value)) in fields.into_iter().enumerate() {
        let mut odd = entry.clone();
        odd[field] = json!("HERE");
        let text = odd.to_string().replace("\"HERE\"", value);
        world.rows.put_bytes(TABLE, &format!("odd-{number}"), text.as_bytes());
    }
    world.rows.put_bytes(TABLE, "odd-bytes", b"\xff\xfe{");
    world.rows.put_raw(TABLE, "odd-base64", "no base64");
    for key in ["", " ", "odd key", "odd#key&from=", "\u{fc}", &format!("{id}\r\nx: y")] {
        world.rows.put(TABLE, key, &entry);
    }
    world.rows.put(TABLE, &"z".repeat(200), &entry);
}

#[test]
fn odd_entries_end_a_process() {
    let fleet = Fleet::start_on(2, 3, put_odd);
    fleet.accept(&job(100, &[3, 2]), PATIENCE).expect("accepted");
    fleet.check();
    // The feed tells them now, and a worker that is new after them.
    let crashed = {
        let mut world = fleet.site.world();
        put_odd(&mut world);
        let host = world.hosts_up("web")[0];
        world.crash(host);
        worker_of(&mut world, host).0
    };
    wait_until("the worker after them is used", || {
        fleet.accept(&job(100, &[8, 2]), PATIENCE).expect("accepted");
        sleep(KNOWN);
        fleet.site.world().runs.iter().any(|it| it.worker == crashed)
    });
    fleet.check();
    assert!(fleet.entries.iter().all(|it| it.is_running()), "a process has ended");
    let leader = fleet.wait_coordinator();
    fleet.entries[leader].replace(true);
    fleet.accept(&job(100, &[3]), PATIENCE).expect("accepted");
    fleet.check();
}

#[test]
fn worker_without_entry_gets_tasks() {
    let fleet = Fleet::start(1, 2);
    let long = fleet.accept(&job(6_000, &[1]), PATIENCE).expect("accepted");
    fleet.wait_start(&long);
    let (id, entry) = {
        let mut world = fleet.site.world();
        let id = world.runs[0].worker.clone();
        let entry = world.rows.value(TABLE, "", &id).expect("it is listed");
        let mut odd = entry.clone();
        odd["state"] = json!(7);
        world.rows.put(TABLE, &id, &odd);
        (id, entry)
    };
    sleep(KNOWN);
    let odd_since = Instant::now();
    for _ in 0..6 {
        fleet.accept(&job(50, &[2]), PATIENCE).expect("accepted");
    }
    sleep(KNOWN);
    let begun = |id: &str| {
        let world = fleet.site.world();
        world.runs.iter().filter(|it| it.worker == id && it.began > odd_since).count()
    };
    assert_eq!(begun(&id), 0, "its entry names no worker to use");
    fleet.wait_state(&long, "completed");
    let runs = fleet.site.world().runs.iter().filter(|it| it.task.starts_with(&long)).count();
    assert_eq!(runs, 1, "what ran there went on");
    fleet.site.world().rows.put(TABLE, &id, &entry);
    wait_until("it is used again", || {
        fleet.accept(&job(50, &[16]), PATIENCE).expect("accepted");
        sleep(KNOWN);
        begun(&id) > 0
    });
    fleet.check();
}

/// A worker whose entry is good again before anybody has looked is not forgotten.
#[test]
fn odd_moment_loses_a_worker() {
    let fleet = Fleet::start(1, 2);
    fleet.accept(&job(50, &[1]), PATIENCE).expect("accepted");
    fleet.check();
    let ids: Vec<String> = {
        let mut world = fleet.site.world();
        let up = world.hosts_up("web");
        let workers: Vec<_> = up.into_iter().map(|it| worker_of(&mut world, it)).collect();
        for (id, entry) in &workers {
            world.rows.put(TABLE, id, &json!(7));
            world.rows.put(TABLE, id, entry);
        }
        workers.into_iter().map(|it| it.0).collect()
    };
    let before = fleet.site.world().runs.len();
    fleet.accept(&job(50, &[1]), PATIENCE).expect("accepted");
    fleet.check();
    let world = fleet.site.world();
    let workers: Vec<&String> = world.runs[before..].iter().map(|it| &it.worker).collect();
    assert!(workers.iter().all(|it| ids.contains(it)), "{workers:?} instead of {ids:?}");
}

#[test]
fn rewritten_odd_entry_floods_the_log() {
    let fleet = Fleet::start(1, 1);
    for number in 0..25 {
        let odd = json!({ "state": number });
        fleet.site.world().rows.put(TABLE, "odd", &odd);
        sleep(Duration::from_millis(40));
    }
    sleep(KNOWN);
    let log = fleet.entries[0].log();
    let lines = log.lines().filter(|it| it.contains("worker-unreadable")).count();
    assert_eq!(lines, 1, "{log}");
}

/// A job is stored before anybody looks at its numbers: one that ends its reader would end each of them in turn.
#[test]
fn absurd_job_ends_a_process() {
    let fleet = Fleet::start(2, 2);
    let size = json!({ "count": 9, "cpu": u32::MAX, "mem_mb": u32::MAX, "gpu": u32::MAX });
    let mut steps = vec![size.clone(), size];
    steps[1]["after"] = json!([0]);
    for step in &mut steps {
        step["estimate_ms"] = json!(u64::MAX);
        step["affinity"] = json!("rack-0");
        step["target_ms"] = json!(u64::MAX);
    }
    for id in ["00000000000000a1", "00000000000000a2", "00000000000000a3"] {
        let answer = fleet.entries[0].post(id, &json!({ "spec": "ms=50", "steps": steps }));
        assert!(answer.is_some(), "nobody answers any more");
    }
    let small = json!({
        "spec": "ms=50", "steps": [{ "count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": u64::MAX }]
    });
    fleet.accept(&small, PATIENCE).expect("accepted");
    fleet.accept(&job(100, &[3]), PATIENCE).expect("accepted");
    fleet.check();
    assert!(fleet.entries.iter().all(|it| it.is_running()), "a process has ended");
}
