//! Operators look at jobs of every team and cancel them, through any entry host.
//!
//! `SNAPSHOTS=overwrite` writes the golden file anew.

mod common;

use std::{thread, time::Duration};

use common::{Site, jobs::TestJob, operator, session::Session, wait_until};
use fuchsiamill_api::{JobFilter, JobView};
use fuchsiamill_policy::jobs::WaitCause;
use fuchsiamill_standin::admin::PlatformFault;
use snapbox::{assert_data_eq, file};

const LONG_MS: u64 = 600_000;

fn job(key: &str, millicores: u32) -> TestJob<'_> {
    TestJob { key, run_ms: LONG_MS, millicores, rerun: "at-most-once" }
}

fn listed(site: &Site, entry: usize) -> Vec<JobView> {
    operator::call(site.entries[entry].operator, "job.list", JobFilter::default())
}

fn wait_cause(site: &Site, entry: usize, id: &str) -> Option<WaitCause> {
    let views = listed(site, entry);
    views.iter().find(|it| it.id.to_string() == id).and_then(|it| it.waits_for)
}

#[test]
fn jobs_are_shown_and_cancelled() {
    let site = Site::of(3)
        .pool("scan", 1)
        .team("north", 1)
        .team("south", 8)
        .setting("jobs.sync-ms", 100)
        .start();
    let runs = site.accept_job(0, "scan", "north", &job("runs", 1_000));
    wait_until("the first job runs", || site.job_state(0, "north", &runs) == "running");
    let limited = site.accept_job(1, "scan", "north", &job("limited", 1_000));
    let large = site.accept_job(2, "scan", "south", &job("large", 16_000));
    // Each entry host tells the same, whichever schedules the pool.
    for entry in 0..3 {
        wait_until("the causes are told", || {
            wait_cause(&site, entry, &limited) == Some(WaitCause::UpperLimit)
                && wait_cause(&site, entry, &large) == Some(WaitCause::NoRoom)
        });
    }
    let entries = site.entries.iter().rev().map(|it| it.operator).collect();
    let mut ada = Session::new(entries, "ada-key");
    for view in listed(&site, 0) {
        ada.redact(format!("\"accepted_at\": {}", view.accepted_at.0), "\"accepted_at\": TIME");
    }
    ada.run("job list");
    ada.run("job list --team south --pool scan --state waiting --json");
    ada.run(&format!("job show {runs}"));
    ada.run(&format!("job cancel {limited}"));
    ada.run(&format!("job cancel {limited}"));
    // The audit trail lists records of one millisecond by their ids.
    thread::sleep(Duration::from_millis(2));
    ada.run(&format!("job cancel {runs}"));
    wait_until("the cancelled job is over", || site.job_state(0, "north", &runs) == "cancelled");
    wait_until("there is room for the large job", || {
        site.job_state(0, "south", &large) == "running"
    });
    ada.run("job list");
    ada.run("job list --state cancelled");
    ada.run("job show nothing");
    ada.run("job list --state asleep");
    ada.run("audit --intent cancel");
    site.platform_fault(PlatformFault::Down);
    ada.run(&format!("job show {large}"));
    assert_data_eq!(ada.text(), file!["sessions/jobs.txt"]);
}
