//! Jobs of eight entry hosts while a partition, a withdrawn key and a lowered limit come together; judged from the
//! workers' record.

mod common;

use std::{collections::BTreeSet, ops::Range, thread::sleep, time::Duration};

use common::{Site, jobs::TestJob, operator, wait_until};
use fuchsiamill_api::{ChangeReport, JobRef, JobReport, JobState};
use fuchsiamill_model::Change;
use fuchsiamill_standin::{
    admin::RouteFault,
    worker::{Run, RunEnd},
};

const ENTRY_HOSTS: usize = 8;
const RUN_MS: u64 = 3_000;
const LOWERED: usize = 5;
/// More than a start that is being written when the limit is lowered takes to reach its worker.
const GRACE: Duration = Duration::from_secs(3);

struct Accepted {
    id: String,
    team: &'static str,
    rerun: &'static str,
}

/// Posts jobs through some entry hosts in turn, to both pools and of both kinds.
fn accept(
    site: &Site,
    entries: &[usize],
    team: &'static str,
    numbers: Range<usize>,
) -> Vec<Accepted> {
    let accept_one = |n: usize| {
        let (pool, key) = (["scan", "post"][n % 2], format!("{team}-{n}"));
        let rerun = ["at-most-once", "idempotent"][n / 2 % 2];
        let job = TestJob { key: &key, run_ms: RUN_MS, millicores: 1_000, rerun };
        let id = site.accept_job(entries[n % entries.len()], pool, team, &job);
        Accepted { id, team, rerun }
    };
    numbers.map(accept_one).collect()
}

fn runs_of(site: &Site, team: &str) -> Vec<Run> {
    let mark = format!("\"team\":\"{team}\"");
    let runs = site.worker_record().into_iter().flat_map(|it| it.runs);
    runs.filter(|it| it.payload.contains(&mark)).collect()
}

/// How many runs of `all` were under way when `run` began, itself included.
fn beside(run: &Run, all: &[Run]) -> usize {
    let began = run.began;
    let is_open = |it: &&Run| it.began <= began && it.ended.is_none_or(|(end, _)| end > began);
    all.iter().filter(is_open).count()
}

fn state_of(site: &Site, entry: usize, id: &str) -> Option<JobState> {
    let job = JobRef { job: id.try_into().unwrap() };
    let addr = site.entries[entry].operator;
    let answer = operator::try_call(addr, "ada-key", "job.show", job).ok()?;
    match serde_json::from_value(answer.get("result")?.clone()).ok()? {
        JobReport::Job(view) => Some(view.state),
        JobReport::NotDone { .. } => None,
    }
}

fn wait_state(site: &Site, entry: usize, id: &str) -> JobState {
    let mut state = None;
    wait_until("the job is over", || {
        state = state_of(site, entry, id);
        state.is_some_and(JobState::is_over)
    });
    state.unwrap()
}

fn is_accepted(report: &ChangeReport) -> bool {
    matches!(report, ChangeReport::Accepted { .. })
}

#[test]
fn limits_and_keys_hold_for_jobs_through_a_partition() {
    let site = Site::of(ENTRY_HOSTS)
        .pool("scan", 6)
        .pool("post", 6)
        .team("north", 40)
        .team("south", 3)
        .team("east", 8)
        .setting("jobs.sync-ms", 100)
        .setting("jobs.rescan-ms", 500)
        .setting("platform.request-timeout-ms", 500)
        .proxied()
        .start();
    let all: Vec<usize> = (0..ENTRY_HOSTS).collect();
    let mut jobs = accept(&site, &all, "north", 0..48);
    jobs.extend(accept(&site, &all, "south", 0..8));
    jobs.extend(accept(&site, &all, "east", 0..12));
    wait_until("jobs of each team run", || {
        ["north", "south", "east"].iter().all(|team| !runs_of(&site, team).is_empty())
    });

    // A minority that holds the owner of a pool is cut off.
    let owner = site.job_owner("scan");
    let (minority, majority): (Vec<usize>, Vec<usize>) =
        (0..ENTRY_HOSTS).partition(|it| (it + ENTRY_HOSTS - owner) % ENTRY_HOSTS < 3);
    site.partition(&minority, &majority, RouteFault::Cut);
    let addr = site.entries[majority[0]].operator;
    let changes = vec![
        Change::WithdrawKey { key: "east-1".try_into().unwrap() },
        Change::SetUpperLimit { team: "north".try_into().unwrap(), upper_limit: LOWERED as u32 },
    ];
    wait_until("the change is in force", || {
        let report = operator::try_change(addr, "ada-key", "c1", None, changes.clone());
        report.is_some_and(|it| is_accepted(&it))
    });
    let late = TestJob { key: "late", run_ms: 1, millicores: 1_000, rerun: "idempotent" };
    for entry in 0..ENTRY_HOSTS {
        let answer = site.post_job(entry, "scan", "east", &late);
        assert!(answer.is_none_or(|it| it.status != 202), "entry-{entry} takes a withdrawn key");
    }
    sleep(GRACE);
    let before: BTreeSet<String> =
        runs_of(&site, "north").iter().map(|it| format!("{:?}", it.task)).collect();
    jobs.extend(accept(&site, &majority, "north", 48..60));
    sleep(GRACE);
    site.partition(&minority, &majority, RouteFault::None);
    site.wait_ready();

    for it in &jobs {
        let state = wait_state(&site, minority[0], &it.id);
        check(&site, it, state);
    }
    let north = runs_of(&site, "north");
    let after: Vec<&Run> =
        north.iter().filter(|it| !before.contains(&format!("{:?}", it.task))).collect();
    assert!(!after.is_empty(), "no job began under the lowered limit");
    for run in after {
        assert!(beside(run, &north) <= LOWERED, "{run:?} began above the lowered limit");
    }
    for (team, limit) in [("north", 40), ("south", 3), ("east", 8)] {
        let runs = runs_of(&site, team);
        let most = runs.iter().map(|it| beside(it, &runs)).max().unwrap_or(0);
        assert!(most <= limit, "team {team} had {most} running");
    }
    assert_eq!(site.runs_by_job().len(), jobs.len(), "a job ran that nobody was told of");
}

/// Accepted means finished; only an at-most-once job whose run was cut may be told as unknown.
fn check(site: &Site, job: &Accepted, state: JobState) {
    let runs = site.runs_by_job().remove(&job.id).unwrap_or_default();
    let whole =
        runs.iter().filter(|it| it.ended.is_some_and(|(_, end)| end == RunEnd::Finished)).count();
    let told = format!("{} {} {} {state:?}: {runs:?}", job.team, job.id, job.rerun);
    if job.rerun == "at-most-once" {
        assert!(runs.len() <= 1, "ran twice: {told}");
    }
    match state {
        JobState::Finished => assert!(whole >= 1, "{told}"),
        JobState::Unknown => assert!(job.rerun == "at-most-once" && whole == 0, "{told}"),
        _ => panic!("neither finished nor unknown: {told}"),
    }
}
