//! Jobs.

use fuchsiamill_api::{JobState, JobView};
use fuchsiamill_model::{Resources, RunState};
use fuchsiamill_policy::jobs::{Cancel, Rerun};

use super::{table::table, time::utc};

/// The jobs, one a line.
pub fn list(jobs: &[JobView]) -> String {
    let rows: Vec<Vec<String>> = jobs
        .iter()
        .map(|it| {
            vec![
                it.id.to_string(),
                it.team.to_string(),
                it.pool.to_string(),
                it.state.as_str().into(),
                it.attempt.to_string(),
                it.host.as_ref().map_or("-".into(), ToString::to_string),
                why(it).unwrap_or_else(|| "-".into()),
            ]
        })
        .collect();
    table(&["JOB", "TEAM", "POOL", "STATE", "RUNS", "HOST", "WHY"], &rows)
}

/// One job.
pub fn job(it: &JobView) -> String {
    let mut lines = vec![
        ("job", it.id.to_string()),
        ("team", it.team.to_string()),
        ("pool", it.pool.to_string()),
        ("kind", it.kind.to_string()),
        ("accepted", format!("{} UTC", utc(it.accepted_at))),
        ("state", it.state.as_str().into()),
        ("runs", runs(it)),
        ("declared", resources(it.declared)),
    ];
    if let Some(host) = &it.host {
        lines.push(("host", host.to_string()));
    }
    if let Some(size) = it.placed_for {
        lines.push(("placed for", resources(size)));
    }
    if it.cancel == Cancel::Asked && !it.state.is_over() {
        lines.push(("cancel", "asked for; the worker stops it".into()));
    }
    if let Some(why) = why(it) {
        lines.push(("why", why));
    }
    lines.into_iter().map(|(name, value)| format!("{name:<10}  {value}\n")).collect()
}

fn runs(it: &JobView) -> String {
    let rerun = match it.rerun {
        Rerun::Idempotent => "may run again",
        Rerun::AtMostOnce => "at most once",
    };
    format!("{} ordered, {rerun}", it.attempt)
}

/// Why it waits, or ended as it did.
fn why(it: &JobView) -> Option<String> {
    if it.state == JobState::Waiting {
        let cause = it.waits_for.map(|cause| format!("waits for {}", cause.as_str()));
        return Some(cause.unwrap_or_else(|| "not known now; ask again".into()));
    }
    let run = it.run.map(|run| match run {
        RunState::NotRun => "it did not run",
        RunState::Unknown => "it may have run",
    });
    match (&it.detail, run) {
        (Some(detail), Some(run)) => Some(format!("{detail} ({run})")),
        (Some(detail), None) => Some(detail.clone()),
        (None, run) => run.map(Into::into),
    }
}

fn resources(it: Resources) -> String {
    format!("{} millicores, {} MiB, {} accelerators", it.millicores, it.memory_mib, it.accelerators)
}

#[cfg(test)]
mod tests {
    use fuchsiamill_model::{Problem, ProblemKind, WallTime};
    use fuchsiamill_policy::jobs::{Begun, Ended, JobCore, JobRow, JobSpec, Stage};

    use super::*;

    #[test]
    fn refused_job_tells_why() {
        let spec = JobSpec {
            kind: "default".parse().unwrap(),
            resources: Resources::default(),
            run_time: 1,
            payload: String::new(),
            rerun: Rerun::AtMostOnce,
        };
        let core = JobCore {
            id: "j1".try_into().unwrap(),
            pool: "scan".try_into().unwrap(),
            team: "north".try_into().unwrap(),
            spec,
            accepted_at: WallTime(0),
            attempt: 0,
            begun: Begun::Never,
            failed_on: Vec::new(),
            cancel: Cancel::No,
            writes: Vec::new(),
        };
        let problem = Problem::not_run(ProblemKind::Unplaceable, "No host is large enough.");
        let row = JobRow { core, stage: Stage::Ended(Ended::Refused { problem }) };
        let view = JobView::from(&row);
        assert_eq!(why(&view).unwrap(), "No host is large enough. (it did not run)");
        assert!(list(&[view]).contains("refused"));
    }
}
