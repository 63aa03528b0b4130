//! Drains and waves through real entry hosts under load: no request lost or cut, budgets held, and
//! every host maintained once, whatever fails meanwhile.

mod common;

use std::thread;

use common::{
    Site, SiteBuilder,
    jobs::TestJob,
    operator, wait_until,
    waves::{LoadResult, under_load},
};
use fuchsiamill_api::{PlanReport, Reason, Stage};
use fuchsiamill_model::{HostState, Intent, PlanId, PlanState};
use fuchsiamill_standin::{
    admin::{PlatformFault, RestartMode},
    worker::Access,
};

const CLIENTS: usize = 4;
/// Longer than a drain takes that does not wait for what is in flight.
const LONG_WORK_MS: u64 = 5_000;
/// Longer than the rest of a rack takes to drain.
const LONG_TASK_MS: u64 = 12_000;

/// Two pools of 6 hosts, whose racks of 4 overlap; at most half of a pool's slots may be out.
fn site(entries: usize) -> SiteBuilder {
    site_with(entries, (24, 2))
}

fn site_with(entries: usize, (least, most_out): (u32, u32)) -> SiteBuilder {
    Site::of(entries)
        .pool_with_budget("rota", 6, least, most_out)
        .pool_with_budget("desk", 6, 24, 2)
        .team("north", 1_000)
        .work_ms(30)
        .setting("timing.start-by-ms", 200)
        .setting("maintenance.look-ms", 100)
        .setting("maintenance.lease-ms", 1_500)
        .setting("maintenance.restart-ms", 3_000)
        .setting("weights.rollout-time", 10)
}

fn wave() -> Intent {
    Intent::Wave { pool: None }
}

fn confirmed(report: &PlanReport) -> &PlanId {
    match report {
        PlanReport::Done(done) => &done.plan,
        other => panic!("not confirmed: {other:?}"),
    }
}

fn done_hosts(site: &Site, entry: usize, plan: &PlanId) -> u32 {
    let view = site.view(entry, plan);
    if view.stage == Stage::Ended { u32::MAX } else { view.hosts.map_or(0, |it| it[0]) }
}

/// No request was lost, none ran where it must not, and hosts were empty when they restarted.
fn check_served(site: &Site, load: &LoadResult) {
    assert!(load.lost.is_empty(), "{} lost, first {:?}", load.lost.len(), load.lost.first());
    assert!(load.answered > 0);
    site.check_runs();
    site.check_empty();
}

fn check_all_maintained_once(site: &Site) {
    let restarts = site.restarts();
    assert_eq!(restarts.len(), site.config.hosts.len(), "{restarts:?}");
    assert!(restarts.values().all(|it| *it == 1), "{restarts:?}");
    assert_eq!(site.newest().hosts, site.config.hosts);
}

#[test]
fn wave_outlives_its_runner() {
    let site = site(3).start();
    let ((), load) = under_load(&site, &["rota", "desk"], CLIENTS, || {
        let plan = site.plan(0, "ada-key", wave());
        let id = confirmed(&site.confirm(1, "ada-key", &plan.id)).clone();
        wait_until("some hosts are done", || done_hosts(&site, 0, &id) >= 2);
        let runner = site.runner(&id).expect("the plan has a runner");
        site.entries[runner].kill();
        let other = (runner + 1) % 3;
        wait_until("another entry host carries it out", || site.runner(&id) != Some(runner));
        wait_until("the wave has ended", || site.has_ended(other, &id));
    });
    check_served(&site, &load);
    site.check_budgets(&[]);
    check_all_maintained_once(&site);
}

#[test]
fn wave_waits_for_the_table() {
    let site = site(3).start();
    let ((), load) = under_load(&site, &["rota", "desk"], CLIENTS, || {
        let plan = site.plan(0, "ada-key", wave());
        confirmed(&site.confirm(0, "ada-key", &plan.id));
        wait_until("some hosts are done", || done_hosts(&site, 0, &plan.id) >= 1);
        let before = site.log().len();
        site.platform_fault(PlatformFault::Down);
        let refused = site.platform_record().refused;
        wait_until("the table is asked in vain", || site.platform_record().refused > refused + 50);
        assert_eq!(site.log().len(), before);
        site.platform_fault(PlatformFault::None);
        wait_until("the wave has ended", || site.has_ended(1, &plan.id));
    });
    check_served(&site, &load);
    site.check_budgets(&[]);
    check_all_maintained_once(&site);
}

#[test]
fn lost_host_is_set_aside_and_the_wave_goes_on() {
    let site = site(3).start();
    site.restart_mode("host-3", RestartMode::Never);
    let ((), load) = under_load(&site, &["rota", "desk"], CLIENTS, || {
        let plan = site.plan(0, "ada-key", wave());
        confirmed(&site.confirm(0, "ada-key", &plan.id));
        wait_until("the wave has ended", || site.has_ended(1, &plan.id));
    });
    check_served(&site, &load);
    site.check_budgets(&["host-3"]);
    let newest = site.newest();
    let aside = newest.hosts.values().filter(|it| it.state == HostState::SetAside);
    assert_eq!(aside.map(|it| it.name.as_str()).collect::<Vec<_>>(), ["host-3"]);
    let serving = newest.hosts.values().filter(|it| it.state == HostState::Serving).count();
    assert_eq!(serving, 11);
}

#[test]
fn rack_drain_lets_long_requests_finish() {
    let site = site_with(3, (16, 4)).work_ms(LONG_WORK_MS).start();
    let ((), load) = under_load(&site, &["rota"], 2 * CLIENTS, || {
        wait_until("requests run", || site.backend_record().runs.len() >= 2 * CLIENTS);
        let rack = Intent::DrainRack { rack: "rack-0".try_into().unwrap() };
        let plan = site.plan(0, "ada-key", rack);
        confirmed(&site.confirm(2, "ada-key", &plan.id));
        wait_until("the drain has ended", || site.has_ended(1, &plan.id));
    });
    check_served(&site, &load);
    site.check_budgets(&[]);
    let newest = site.newest();
    let aside = |it: &&fuchsiamill_model::Host| it.state == HostState::SetAside;
    assert!(newest.hosts.values().filter(aside).all(|it| it.rack.as_str() == "rack-0"));
    assert_eq!(newest.hosts.values().filter(aside).count(), 4);
}

#[test]
fn of_two_operators_one_wins_and_the_other_is_told() {
    let site = site(3).start();
    let plans = [site.plan(0, "ada-key", wave()), site.plan(1, "ben-key", wave())];
    let reports: Vec<PlanReport> = thread::scope(|scope| {
        let confirm = |at: usize, key: &'static str| {
            let (site, id) = (&site, &plans[at].id);
            scope.spawn(move || site.confirm(at, key, id))
        };
        let both = [confirm(0, "ada-key"), confirm(1, "ben-key")];
        both.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let is_done = |it: &&PlanReport| matches!(it, PlanReport::Done(_));
    assert_eq!(reports.iter().filter(is_done).count(), 1, "{reports:?}");
    let loser = reports.iter().position(|it| !is_done(&it)).unwrap();
    let winner = ["ben", "ada"][loser];
    let PlanReport::NotDone { detail, reason, .. } = &reports[loser] else { unreachable!() };
    assert!(matches!(reason, Reason::Conflict | Reason::Stale | Reason::Refused), "{detail}");
    assert!(detail.contains(winner) && detail.contains("wave"), "{detail}");
    assert_eq!(site.starts(), 1);
}

#[test]
fn confirming_again_acts_once() {
    let site = site(3).start();
    let plan = site.plan(0, "ada-key", wave());
    site.platform_fault(PlatformFault::LoseAnswers { count: 2 });
    let first = site.confirm(0, "ada-key", &plan.id);
    site.platform_fault(PlatformFault::None);
    let again = [site.confirm(1, "ada-key", &plan.id), site.confirm(2, "ben-key", &plan.id)];
    assert!(again.iter().all(|it| confirmed(it) == &plan.id));
    assert_eq!(site.starts(), 1, "{first:?}");
    wait_until("the wave has ended", || site.has_ended(1, &plan.id));
    confirmed(&site.confirm(1, "ada-key", &plan.id));
    assert_eq!(site.starts(), 1);
    check_all_maintained_once(&site);
}

#[test]
fn changed_plan_is_refused_with_a_new_one() {
    let site = site(1).start();
    let old = site.plan(0, "ada-key", wave());
    let rack = Intent::DrainHost { host: "host-1".try_into().unwrap() };
    let drain = site.plan(0, "ben-key", rack);
    confirmed(&site.confirm(0, "ben-key", &drain.id));
    wait_until("the drain has ended", || site.has_ended(0, &drain.id));
    let report = site.confirm(0, "ada-key", &old.id);
    let PlanReport::NotDone { reason, detail, fresh } = report else { panic!("{report:?}") };
    assert_eq!(reason, Reason::Stale);
    assert!(detail.contains("'host-1'") && detail.contains("set-aside"), "{detail}");
    let fresh = fresh.expect("a new plan");
    confirmed(&site.confirm(0, "ada-key", &fresh.id));
    assert_eq!(fresh.hosts().len(), 11);
}

#[test]
fn paused_wave_rests_and_a_cancelled_one_ends() {
    let site = site(3).start();
    let plan = site.plan(0, "ada-key", wave());
    confirmed(&site.confirm(0, "ada-key", &plan.id));
    wait_until("some hosts are done", || done_hosts(&site, 0, &plan.id) >= 1);
    confirmed(&site.set_plan(2, &plan.id, PlanState::Paused));
    wait_until("no host is out", || site.view(1, &plan.id).hosts.is_some_and(|it| it[1] == 0));
    wait_until("it says that it is paused", || {
        site.view(1, &plan.id).waits.iter().any(|it| it.contains("paused"))
    });
    confirmed(&site.set_plan(1, &plan.id, PlanState::Running));
    wait_until("hosts go out again", || site.view(1, &plan.id).hosts.is_none_or(|it| it[1] > 0));
    site.set_plan(0, &plan.id, PlanState::Cancelling);
    wait_until("it has ended", || site.has_ended(1, &plan.id));
    assert_eq!(site.newest().hosts, site.config.hosts);
    let refused = site.set_plan(0, &plan.id, PlanState::Running);
    assert!(matches!(refused, PlanReport::NotDone { reason: Reason::NoPlan, .. }), "{refused:?}");
}

fn long_job(key: &str) -> TestJob<'_> {
    TestJob { key, run_ms: LONG_TASK_MS, millicores: 8_000, rerun: "idempotent" }
}

#[test]
fn tasks_leave_a_drained_rack_before_it_goes() {
    let site = site_with(3, (16, 4)).setting("jobs.sync-ms", 100).start();
    let keys: Vec<String> = (0..10).map(|at| format!("job-{at}")).collect();
    let accept = |key: &String| site.accept_job(0, "rota", "north", &long_job(key));
    let jobs: Vec<_> = keys.iter().map(accept).collect();
    let running = |worker: &str| {
        let record = site.worker_record().into_iter().filter(|it| it.worker == worker);
        record.flat_map(|it| it.runs).filter(|run| run.ended.is_none()).count()
    };
    wait_until("the first host of the rack runs tasks", || running("worker-0") > 0);
    site.worker_access(0, Access::CutOff);
    let rack = Intent::DrainRack { rack: "rack-0".try_into().unwrap() };
    let plan = site.plan(0, "ada-key", rack);
    confirmed(&site.confirm(2, "ada-key", &plan.id));
    wait_until("the plan waits for the first host alone", || {
        let waits = site.view(1, &plan.id).waits;
        waits.len() == 1 && waits[0].contains("'host-0'")
    });
    assert!(running("worker-0") > 0);
    assert_eq!(site.newest().hosts["host-0"].state, HostState::Draining);
    site.worker_access(0, Access::Reachable);
    wait_until("the drain has ended", || site.has_ended(1, &plan.id));
    assert!((0..4).all(|at| running(&format!("worker-{at}")) == 0));
    assert!(jobs.iter().all(|id| site.wait_job(1, "north", id) == "finished"));
}

#[test]
fn faults_come_together_in_one_wave() {
    let site = site(3).start();
    site.restart_mode("host-3", RestartMode::Never);
    let ((), load) = under_load(&site, &["rota", "desk"], CLIENTS, || {
        let plan = site.plan(0, "ada-key", wave());
        confirmed(&site.confirm(0, "ada-key", &plan.id));
        wait_until("some hosts are done", || done_hosts(&site, 0, &plan.id) >= 2);
        let rack = Intent::DrainRack { rack: "rack-2".try_into().unwrap() };
        let late = operator::try_call(site.entries[1].operator, "ben-key", "plan.make", &rack);
        let refused = late.expect("the port answers").to_string();
        assert!(refused.contains("held by plan") && refused.contains("of ada"), "{refused}");
        let runner = site.runner(&plan.id).expect("the plan has a runner");
        site.platform_fault(PlatformFault::Down);
        site.entries[runner].kill();
        let before = site.platform_record().refused;
        wait_until("the table is asked in vain", || site.platform_record().refused > before + 20);
        site.platform_fault(PlatformFault::None);
        let other = (runner + 1) % 3;
        wait_until("another entry host carries it out", || site.runner(&plan.id) != Some(runner));
        wait_until("most hosts are done", || done_hosts(&site, other, &plan.id) >= 8);
        wait_until("the wave has ended", || site.has_ended(other, &plan.id));
    });
    check_served(&site, &load);
    site.check_budgets(&["host-3"]);
    let newest = site.newest();
    let serving = newest.hosts.values().filter(|it| it.state == HostState::Serving).count();
    assert_eq!(serving, 11);
    assert!(site.restarts().values().all(|it| *it == 1));
}
