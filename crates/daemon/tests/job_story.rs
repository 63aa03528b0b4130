//! What `fuchsiamill job show` tells of a job on the platform is what the logs tell.

mod common;

use std::time::Duration;

use common::fleet::{Fleet, KEY, job};
use fuchsiamill_cli::Outcome;
use http::Method;

const PATIENCE: Duration = Duration::from_secs(20);

/// Runs the command against an entry host.
fn show(fleet: &Fleet, entry: usize, id: &str) -> Result<Outcome, String> {
    let metrics = fleet.entries[entry].ready.to_string();
    let args = ["job", "show", id, "--metrics", &metrics];
    fuchsiamill_cli::main(&args.map(String::from)).map_err(|e| e.to_string())
}

fn text(fleet: &Fleet, entry: usize, id: &str) -> String {
    show(fleet, entry, id).expect("the job is shown").text
}

#[test]
fn story_is_that_of_the_logs() {
    let fleet = Fleet::start(2, 2);
    let id = fleet.accept(&job(60_000, &[2, 1]), PATIENCE).expect("accepted");
    fleet.wait_start(&id);
    fleet.wait_state(&id, "running");
    for entry in 0..2 {
        let told = text(&fleet, entry, &id);
        for line in ["stage       running", "step 0.0    0 of 2 done", "0 of 1 done, after step 0"]
        {
            assert!(told.contains(line), "{told}");
        }
        assert!(!told.contains(KEY) && !told.contains("spec"), "{told}");
    }
    let told = text(&fleet, 0, &id);
    let log = fleet.entries[fleet.wait_coordinator()].log();
    for run in fleet.site.world().runs.iter().filter(|it| it.task.starts_with(&id)) {
        assert!(told.contains(&format!("may be at {}", run.worker)), "{told}");
        let is_told = |it: &str| {
            it.contains("task-started") && it.contains(&run.task) && it.contains(&run.worker)
        };
        assert!(log.lines().any(is_told), "no line of the start of {}", run.task);
    }
    fleet.entries[0].send(Method::DELETE, &id, None).expect("an answer");
    fleet.wait_state(&id, "cancelled");
    let told = text(&fleet, 1, &id);
    assert!(told.contains("cancelled (cancel asked for)"), "{told}");
}

#[test]
fn unknown_job_is_said_to_be_unknown() {
    let fleet = Fleet::start(1, 1);
    let refused = show(&fleet, 0, "00000000000000aa").expect_err("it is refused");
    assert!(refused.contains("no job '00000000000000aa' is stored"), "{refused}");
}
