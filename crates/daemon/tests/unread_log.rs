//! A log that nobody reads costs lines, never requests, and the lines that it costs are counted.

mod common;

use std::{
    io::{BufRead, BufReader},
    process::ChildStdout,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{
    fleet::{Fleet, Process, job},
    wait_until,
};

/// Far more lines than wait for a reader: one for each job at least.
const JOBS: usize = 12_000;
const CALLERS: usize = 8;

/// Jobs that are posted before the lines are counted again.
const ROUND: usize = 2_000;

/// More lines than the entry host keeps (4,096) and a pipe holds (64 KiB, each line more than 100 bytes).
const LINES: usize = 8_000;

/// Callers wait this long for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// The lines that are written of each job, unless they are left out.
const KINDS: [&str; 4] = ["job-posted", "task-started", "task-ended", "job-ended"];

/// Faults that are not mended.
mod known_red {
    use super::*;

    #[test]
    fn stalled_reader_costs_lines_only() {
        let fleet = Fleet::start(1, 4);
        fleet.entries[0].restart_unread();
        wait_until("it is ready", || fleet.entries[0].is_ready());
        let entry = &fleet.entries[0];
        let begun = Instant::now();
        let mut posted = 0;
        // A fast machine posts more jobs a second than lines of a kind are written.
        while posted < JOBS || posted - left_out(entry, "job-posted") < LINES {
            assert!(posted < 10 * JOBS, "{}", counts(entry));
            post_jobs(entry, ROUND);
            posted += ROUND;
        }
        println!("{posted} jobs in {:?}; left out: {}", begun.elapsed(), counts(entry));
        assert!(left_out(entry, "unread") > 0, "{posted} jobs: {}", counts(entry));
        let read = count_lines(entry.take_output());
        wait_until("each line of a job is read or counted as left out", || {
            let limited: usize = KINDS.iter().map(|it| left_out(entry, it)).sum();
            let known = read.load(Ordering::Relaxed) + limited + left_out(entry, "unread");
            known >= KINDS.len() * posted
        });
    }
}

/// Posts so many jobs and checks that each is answered in time.
fn post_jobs(entry: &Process, count: usize) {
    let posted = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                while posted.fetch_add(1, Ordering::Relaxed) < count {
                    let id = format!("{:016x}", fastrand::u64(..));
                    let begin = Instant::now();
                    let answer = entry.post(&id, &job(1, &[1])).expect("an answer");
                    assert_eq!(answer.status.as_u16(), 200);
                    let took = begin.elapsed();
                    assert!(took <= ANSWER_TIME, "answered after {took:?}");
                }
            });
        }
    });
}

/// Counts the lines of [`KINDS`] that are read from now on.
fn count_lines(output: ChildStdout) -> Arc<AtomicUsize> {
    let count = Arc::new(AtomicUsize::new(0));
    let read = count.clone();
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let is_of_job = KINDS.iter().any(|it| line.contains(&format!("\"event\":\"{it}\"")));
            read.fetch_add(usize::from(is_of_job), Ordering::Relaxed);
        }
    });
    count
}

/// How many lines of a kind were left out.
fn left_out(entry: &Process, kind: &str) -> usize {
    let metrics = entry.metrics();
    let kind = format!("kind=\"{kind}\"");
    let line = metrics.lines().find(|it| is_count(it) && it.contains(&kind));
    let value = line.and_then(|it| it.rsplit(' ').next()).unwrap_or("0");
    value.parse::<f64>().expect("a count") as usize
}

fn counts(entry: &Process) -> String {
    let metrics = entry.metrics();
    metrics.lines().filter(|it| is_count(it)).collect::<Vec<_>>().join("\n")
}

fn is_count(line: &str) -> bool {
    line.starts_with("log_lines_left_out_total")
}
