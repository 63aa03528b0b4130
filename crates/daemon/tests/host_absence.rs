//! Hosts that fail, leave or return without a plan, and waves meanwhile: judged from the stand-ins' records.

mod common;

use std::{thread, time::Duration};

use common::{
    Site, SiteBuilder, net, operator, wait_until,
    waves::{LoadResult, under_load},
};
use fuchsiamill_api::{AuditFilter, AuditRecord, PlanReport};
use fuchsiamill_model::{Change, HostState, Intent, PlanId, PlanState};
use fuchsiamill_ports::Liveness;
use fuchsiamill_standin::{
    admin::{BackendMode, SetLiveness},
    record::RunEnd,
};

const CLIENTS: usize = 8;
const HOSTS: usize = 12;
const ABSENT_MS: u64 = 1_000;
const BACK_MS: u64 = 1_500;
/// Far longer than the list flaps for.
const LONG_ABSENT_MS: u64 = 8_000;
/// Longer than the time between two readings of the list.
const FLAP_TIME: Duration = Duration::from_millis(1_300);

/// Two pools of 6 hosts in racks of 4; at most half of a pool's slots may be out.
fn site() -> SiteBuilder {
    Site::of(3)
        .pool_with_budget("rota", 6, 24, 2)
        .pool_with_budget("desk", 6, 24, 2)
        .team("north", 1_000)
        .work_ms(30)
        .setting("timing.start-by-ms", 200)
        .setting("maintenance.look-ms", 100)
        .setting("maintenance.lease-ms", 1_500)
        .setting("maintenance.absent-ms", ABSENT_MS)
        .setting("maintenance.back-ms", BACK_MS)
        .setting("weights.rollout-time", 10)
}

fn list(site: &Site, host: &str, liveness: Liveness) {
    let set = SetLiveness { host: host.into(), liveness, lag_ms: 0 };
    net::post::<_, ()>(site.platform(), "/admin/liveness", &set);
}

fn list_all(site: &Site, liveness: Liveness) {
    (0..HOSTS).for_each(|it| list(site, &format!("host-{it}"), liveness));
}

fn state(site: &Site, host: &str) -> HostState {
    site.newest().hosts[host].state
}

/// Plans a wave at entry host 0 and confirms it at entry host 1, once the former knows the newest configuration: a
/// plan made from an older one is refused as stale, rightly.
fn start_wave(site: &Site) -> PlanId {
    let newest = site.newest().version;
    wait_until("entry host 0 knows the newest configuration", || {
        operator::status(site.entries[0].operator).config.version >= newest
    });
    let plan = site.plan(0, "ada-key", Intent::Wave { pool: None });
    match site.confirm(1, "ada-key", &plan.id) {
        PlanReport::Done(done) => done.plan,
        other => panic!("not confirmed: {other:?}"),
    }
}

/// Each lost request was told the whole answer of its own failed run on one host.
fn check_told_of(site: &Site, load: &LoadResult, host: &str) {
    let index: usize = host.strip_prefix("host-").and_then(|it| it.parse().ok()).expect("an index");
    let is_told = |it: &&String| {
        let (body, told) = it.split_once(": ").expect("a request and what was told");
        told.starts_with("500") && told.ends_with(&format!(" backend-{index} ran {body}"))
    };
    let other = load.lost.iter().find(|it| !is_told(it));
    assert!(other.is_none(), "{other:?}");
    let runs = site.backend_record().runs;
    let failed = runs.iter().filter(|it| it.end == RunEnd::Failed).count();
    assert_eq!(failed, load.lost.len());
    assert!(load.answered > 0);
}

/// The changes of a host's state that were no part of a plan.
fn unplanned(site: &Site, host: &str) -> Vec<HostState> {
    let log = site.log();
    let changes = log.iter().filter(|it| it.plan.is_none()).flat_map(|it| &it.changes);
    let state_of = |change: &Change| match change {
        Change::SetHostState { host: of, state } if of.as_str() == host => Some(*state),
        _ => None,
    };
    changes.filter_map(state_of).collect()
}

fn audit_of(site: &Site, host: &str) -> Vec<String> {
    let filter = AuditFilter { intent: Some(format!("host '{host}'")), ..AuditFilter::default() };
    let records: Vec<AuditRecord> = operator::call(site.entries[0].operator, "audit.list", filter);
    records.into_iter().map(|it| it.intent).collect()
}

fn back(host: &str) -> String {
    format!("host '{host}' is back by the host list and passed a probe")
}

#[test]
fn host_that_returns_in_a_wave_is_maintained_by_it() {
    let site = site().start();
    list_all(&site, Liveness::Live);
    let id = start_wave(&site);
    wait_until("a host is out", || site.view(0, &id).hosts.is_some_and(|it| it[1] > 0));
    site.set_plan(2, &id, PlanState::Paused);
    wait_until("no host is out", || site.view(1, &id).hosts.is_some_and(|it| it[1] == 0));
    let restarted = site.restarts();
    let left = (0..HOSTS).map(|it| format!("host-{it}")).find(|it| !restarted.contains_key(it));
    let host = left.expect("a host that the wave has not touched");
    list(&site, &host, Liveness::Gone);
    wait_until("it is absent", || state(&site, &host) == HostState::Absent);
    list(&site, &host, Liveness::Live);
    wait_until("it is back", || state(&site, &host) == HostState::Serving);
    site.set_plan(0, &id, PlanState::Running);
    wait_until("the wave has ended", || site.has_ended(1, &id));
    assert_eq!(site.restarts().len(), HOSTS);
    assert!(site.restarts().values().all(|it| *it == 1));
    site.check_budgets(&[]);
}

#[test]
fn wrong_or_flapping_list_takes_no_host_out() {
    let site = site().setting("maintenance.absent-ms", LONG_ABSENT_MS).start();
    list_all(&site, Liveness::Live);
    for liveness in [Liveness::Gone, Liveness::Live, Liveness::Leaving, Liveness::Live] {
        list(&site, "host-1", liveness);
        thread::sleep(FLAP_TIME);
    }
    list_all(&site, Liveness::Gone);
    let capped = || {
        let mut pages = site.entries.iter().filter_map(|it| it.get("/metrics"));
        pages.any(|it| String::from_utf8_lossy(&it.body).contains("host_absences_capped"))
    };
    wait_until("the cap is met", capped);
    thread::sleep(FLAP_TIME);
    assert!(site.log().is_empty(), "{:?}", site.log());
}

/// See KNOWN-RED.txt.
#[test]
fn host_that_fails_in_a_wave_is_set_aside_and_the_wave_goes_on() {
    let site = site().start();
    let ((), load) = under_load(&site, &["rota", "desk"], CLIENTS, || {
        let id = start_wave(&site);
        wait_until("some hosts are done", || site.view(0, &id).hosts.is_some_and(|it| it[0] >= 1));
        site.backend_mode("host-3", BackendMode::Failing);
        wait_until("it is set aside", || state(&site, "host-3") == HostState::SetAside);
        wait_until("the wave has ended", || site.has_ended(1, &id));
    });
    check_told_of(&site, &load, "host-3");
    site.check_runs_but(&["host-3"]);
    site.check_empty();
    site.check_budgets(&["host-3"]);
    let newest = site.newest();
    let serving = newest.hosts.values().filter(|it| it.state == HostState::Serving);
    assert_eq!(serving.count(), HOSTS - 1);
    assert!(site.restarts().iter().all(|(host, count)| *count == 1 || host == "host-3"));
    assert!(site.restarts().len() >= HOSTS - 1);
    assert_eq!(audit_of(&site, "host-3"), ["host 'host-3' fails everything it starts"]);
}

#[test]
fn gone_host_counts_as_out_until_it_is_back() {
    let site = site().start();
    list_all(&site, Liveness::Live);
    let ((), load) = under_load(&site, &["rota", "desk"], CLIENTS, || {
        list(&site, "host-0", Liveness::Leaving);
        list(&site, "host-7", Liveness::Gone);
        for host in ["host-0", "host-7"] {
            wait_until("it is absent", || state(&site, host) == HostState::Absent);
        }
        let id = start_wave(&site);
        wait_until("the wave has ended", || site.has_ended(1, &id));
        assert_eq!(state(&site, "host-0"), HostState::Absent);
        list(&site, "host-0", Liveness::Live);
        list(&site, "host-7", Liveness::Live);
        for host in ["host-0", "host-7"] {
            wait_until("it is back", || state(&site, host) == HostState::Serving);
        }
    });
    assert!(load.lost.is_empty(), "{:?}", load.lost);
    site.check_runs();
    // The absent hosts count: the wave keeps the budgets with them.
    site.check_budgets(&[]);
    assert_eq!(unplanned(&site, "host-0"), [HostState::Absent, HostState::Serving]);
    assert_eq!(
        audit_of(&site, "host-7"),
        ["host 'host-7' is gone by the host list", &back("host-7")]
    );
    assert!(site.restarts().keys().all(|it| it != "host-0" && it != "host-7"));
}
