//! Cancellations of an id that several client accounts use.

mod common;

use common::{Bench, job, starts, step, stops, worker};
use fuchsiamill_fleet::{Cancellation, JobRecord, JobScope, JobSpec, Stage, Timing};

fn request(scope: JobScope) -> Cancellation {
    Cancellation { job: "j".into(), scope }
}

fn by_team(team: &str) -> Cancellation {
    request(JobScope::Team(team.into()))
}

fn bench() -> Bench {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench
}

fn posted(team: &str, queue: &str) -> JobSpec {
    JobSpec { team: team.into(), queue: queue.into(), ..job(vec![step(1)]) }
}

/// The stage of the job in the records that are stored next; `None` if there is none.
fn stored_stage(bench: &mut Bench) -> Option<Stage> {
    let records = bench.coordinator.next_commit().unwrap_or_default().records;
    bench.coordinator.committed(bench.now);
    records.into_iter().find(|it| it.0 == "j").map(|it| it.1.stage)
}

/// The cancellation of another team, which was told that there is no such job, cancelled the job that came later.
#[test]
fn early_cancellation_does_not_apply_to_another_teams_job() {
    let mut bench = bench();
    bench.coordinator.cancel_in_scope(&by_team("south"), bench.now);
    bench.coordinator.cancel_in_scope(&request(JobScope::Queue("open".into())), bench.now);
    bench.accept("j", posted("north", "jobs"));
    assert_eq!(starts(&bench.step()).len(), 1);
}

/// A cancellation was lost if another team had cancelled the same id before its job came.
#[test]
fn early_cancellation_applies_beside_another_teams() {
    for scope in [JobScope::Team("north".into()), JobScope::Queue("open".into()), JobScope::All] {
        let mut bench = bench();
        bench.coordinator.cancel_in_scope(&by_team("south"), bench.now);
        bench.coordinator.cancel_in_scope(&request(scope), bench.now);
        bench.accept("j", posted("north", "open"));
        assert_eq!(stored_stage(&mut bench), Some(Stage::Cancelled));
        assert!(starts(&bench.step()).is_empty());
    }
}

/// A cancellation that was read after another team's job cancelled that job.
#[test]
fn late_cancellation_does_not_apply_to_another_teams_job() {
    let mut bench = bench();
    bench.accept("j", posted("north", "jobs"));
    bench.coordinator.cancel_in_scope(&by_team("south"), bench.now);
    assert_eq!(starts(&bench.step()).len(), 1);
    bench.coordinator.cancel_in_scope(&by_team("north"), bench.now);
    assert_eq!(stops(&bench.step()).len(), 1);
}

/// Rows of cancellations that no job has used must not stay for ever, nor may those of a job outlast it.
#[test]
fn cancellations_of_all_scopes_are_deleted_in_time() {
    let mut bench = bench();
    bench.coordinator.cancel_in_scope(&by_team("south"), bench.now);
    bench.accept("j", posted("north", "jobs"));
    bench.coordinator.cancel_in_scope(&by_team("north"), bench.now);
    bench.step();
    bench.wait(Timing::default().retention_ms);
    assert_eq!(bench.coordinator.take_expired(bench.now, 10), ["j"]);
    let scopes = bench.coordinator.cancel_scopes(&"j".into());
    assert!(scopes.contains(&JobScope::Team("north".into())));
    assert!(scopes.contains(&JobScope::Queue("jobs".into())));
    assert_eq!(bench.coordinator.take_expired_cancels(bench.now, 10), [by_team("south")]);
}

/// Without a team only the queue tells whose job it is: its caller could not see the job at the other queue.
#[test]
fn post_without_a_team_to_another_queue_is_no_repeat() {
    assert!(posted("", "open").is_repeated_by(&posted("", "open")));
    assert!(!posted("", "open").is_repeated_by(&posted("", "other")));
    assert!(posted("north", "open").is_repeated_by(&posted("north", "other")));
}

/// The record of a former job of the same id, which may outlast it, ended another team's job.
#[test]
fn record_of_another_teams_job_does_not_end_a_job() {
    let record =
        JobRecord { stage: Stage::Completed, team: "north".into(), ..JobRecord::default() };
    let rows = [(0, record)];
    assert!(JobRecord::merge(&rows, &posted("south", "jobs")).is_none());
    assert!(JobRecord::merge(&rows, &posted("north", "jobs")).is_some());
}
