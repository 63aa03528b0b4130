//! The memory of entry hosts beside large jobs of one client account, and the work of another one.

mod common;

use std::{
    fs,
    time::{Duration, Instant, SystemTime},
};

use common::fleet::{Fleet, KEY, Layout, OTHER_KEY, Process, job};
use http::Method;
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(20);

/// The memory of the smallest host of all sites, in KiB.
const MEMORY_KIB: u64 = 160 * 1_024;

fn chain(steps: usize) -> Value {
    let step = |it: usize| {
        let after: Vec<usize> = it.checked_sub(1).into_iter().collect();
        json!({ "count": 10_000, "cpu": 100, "mem_mb": 16, "estimate_ms": 300, "after": after })
    };
    json!({ "spec": "ms=300", "steps": (0..steps).map(step).collect::<Vec<_>>() })
}

/// A job whose occurrences are long due.
fn overdue(times: u32) -> Value {
    let now = SystemTime::UNIX_EPOCH.elapsed().expect("after 1970").as_millis() as u64;
    let step = json!({ "count": 1, "cpu": 100, "mem_mb": 16, "estimate_ms": 300 });
    let first_ms = now - 10 * u64::from(times);
    json!({ "spec": "ms=300", "steps": [step], "times": times, "first_ms": first_ms, "interval_ms": 10 })
}

fn peak_kib(entry: &Process) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", entry.pid())).expect("it runs");
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches("kB").trim().parse().expect("a number")
}

/// Posts a job of one client account, which is answered with one of these statuses.
fn post(fleet: &Fleet, (id, prefix, key): (&str, &str, &str), value: &Value, statuses: &[u16]) {
    let begun = Instant::now();
    loop {
        let entry = &fleet.entries[fastrand::usize(0..fleet.entries.len())];
        let answer = entry.send_to(Method::POST, &format!("{prefix}{id}"), Some(value), key);
        match answer.map(|it| it.status.as_u16()) {
            Some(it) if statuses.contains(&it) => return,
            it => assert!(begun.elapsed() < PATIENCE, "{id} was answered with {it:?}"),
        }
    }
}

/// Plays large jobs of one client account; jobs of another one are done within the memory of the smallest host, also under
/// the next coordinator.
fn assert_others_are_served_beside(large: &[Value]) {
    let layout = Layout { own: vec![("notice", 2)], ..Layout::of_web(4) };
    let fleet = Fleet::start_pools(&[""; 3], layout, |_| {});
    for (number, value) in large.iter().enumerate() {
        post(&fleet, (&format!("{number:016x}"), "/jobs/", KEY), value, &[200, 400, 413]);
    }
    for round in 0..2 {
        for number in 0..4 {
            let id = format!("5c0e7a21d94b3{round}{number:02}");
            post(&fleet, (&id, "/notice/", OTHER_KEY), &job(100, &[2]), &[200]);
        }
        std::thread::sleep(Duration::from_secs(2));
        for entry in &fleet.entries {
            let peak = peak_kib(entry);
            println!("{} had at most {peak} KiB", entry.name);
            assert!(peak < MEMORY_KIB, "{} had {peak} KiB", entry.name);
        }
        if round == 0 {
            let first = fleet.wait_coordinator();
            fleet.entries[first].kill();
            common::wait_until("another one coordinates", || {
                fleet.coordinator().is_some_and(|it| it != first)
            });
            fleet.entries[first].restart();
            fleet.wait_ready();
        }
    }
    for number in 0..4 {
        for round in 0..2 {
            let path = format!("/notice/5c0e7a21d94b3{round}{number:02}");
            common::wait_until("the job of the other account is completed", || {
                let answer = fleet.entries[0].send_to(Method::GET, &path, None, OTHER_KEY);
                answer.is_some_and(|it| it.body.windows(9).any(|it| it == b"completed"))
            });
        }
    }
}

/// An accepted job of 1.3 million tasks took each coordinator in turn over its memory.
#[test]
fn chain_of_large_steps_does_not_exceed_the_memory_of_a_host() {
    assert_others_are_served_beside(&[chain(130)]);
}

mod known_red {
    use super::{assert_others_are_served_beside, overdue};

    /// A body of 138 bytes took a coordinator to 400 MB.
    #[test]
    fn overdue_occurrences_do_not_exceed_the_memory_of_a_host() {
        assert_others_are_served_beside(&[overdue(1_000_000), overdue(100_000)]);
    }
}
