//! Upper limits, slots and shares over real entry hosts, judged by what ran at the backend servers.

mod common;

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use common::{Site, operator, wait_until};
use fuchsiamill_api::ChangeReport;
use fuchsiamill_model::{Change, Units};
use fuchsiamill_policy::escrow::EscrowRow;
use fuchsiamill_ports::{Range, Row};
use fuchsiamill_standin::{
    admin::{BackendMode, PlatformFault},
    record::{BackendRecord, Run, RunEnd},
};

const LIMIT: Units = 12;
const SLOTS: u32 = 8;
const CALLERS: usize = 24;
/// The hosts of each pool.
const HOSTS: usize = 2;
/// With these the slots of a pool are enough for half of the callers of both teams.
const ENOUGH_HOSTS: usize = 3;
const NOBODY: usize = usize::MAX;
/// The default and the longest time of a request, in milliseconds.
const DEADLINES_MS: (u64, u64) = (3_000, 4_000);
/// Both where requests are held at the backend servers: none passes its deadline there.
const LONG_MS: u64 = 20_000;
/// The longest time until the whole limit is held; far below the deadline of what is held.
const REACH_TIME: Duration = Duration::from_secs(5);
/// How long the whole limit is held.
const HELD_TIME: Duration = Duration::from_secs(1);
/// The upper limit of team north once it is lowered.
const LOWERED: Units = 4;
/// Both the time left and the moment of a call are told in whole milliseconds.
const ROUNDING_MS: u64 = 2;

fn site(entry_hosts: usize) -> Site {
    site_with(entry_hosts, DEADLINES_MS)
}

fn site_with(entry_hosts: usize, deadlines_ms: (u64, u64)) -> Site {
    site_of(entry_hosts, HOSTS, deadlines_ms)
}

fn site_of(entry_hosts: usize, hosts: usize, (default_ms, longest_ms): (u64, u64)) -> Site {
    let site = Site::of(entry_hosts)
        .pool("rota", hosts)
        .pool("post", hosts)
        .team("north", LIMIT)
        .team("south", 100)
        .work_ms(60)
        .setting("callers.longest-deadline-ms", longest_ms)
        .setting("callers.default-deadline-ms", default_ms)
        .setting("timing.loan-ms", 1_000)
        .setting("timing.start-by-ms", 500)
        .start();
    wait_until("work is taken", || site.post(0, "rota", "north-key", "0").status == 200);
    wait_until("work is taken", || site.post(0, "post", "north-key", "0").status == 200);
    site
}

/// What the callers are told; they stop when it is dropped.
struct Control {
    began: Instant,
    stop: AtomicBool,
    /// The entry host that the balancer leaves out.
    left_out: AtomicUsize,
}

impl Control {
    /// The time on the callers' clock, which their requests carry.
    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

struct StopOnDrop<'a>(&'a Control);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::Relaxed);
    }
}

/// One caller: sends requests through one entry host after another until told to stop.
fn call_on(site: &Site, key: &str, caller: usize, control: &Control) {
    let service = ["rota", "post"][caller % 2];
    for turn in caller.. {
        if control.stop.load(Ordering::Relaxed) {
            return;
        }
        let entry = turn % site.entries.len();
        if entry != control.left_out.load(Ordering::Relaxed) {
            site.try_post(entry, service, key, &control.now_ms().to_string());
        }
    }
}

fn of<'a>(record: &'a BackendRecord, team: &'a str) -> impl Iterator<Item = &'a Run> {
    record.runs.iter().filter(move |run| run.team == team)
}

fn most_running(record: &BackendRecord, team: &str) -> Units {
    of(record, team).map(|run| run.team_running).max().unwrap_or(0)
}

fn ran(site: &Site, team: &str) -> usize {
    of(&site.backend_record(), team).count()
}

/// Runs `fault` while both teams ask for more than there is, and returns the record.
fn under_load(site: &Site, fault: impl FnOnce(&Control)) -> BackendRecord {
    let control = Control {
        began: Instant::now(),
        stop: AtomicBool::new(false),
        left_out: AtomicUsize::new(NOBODY),
    };
    thread::scope(|scope| {
        let _stop = StopOnDrop(&control);
        for caller in 0..CALLERS {
            for key in ["north-key", "south-key"] {
                let control = &control;
                scope.spawn(move || call_on(site, key, caller, control));
            }
        }
        let before = ran(site, "north");
        wait_until("the load runs", || ran(site, "north") > before + 40);
        fault(&control);
    });
    site.backend_record()
}

fn check(record: &BackendRecord) {
    let most = most_running(record, "north");
    assert!(most <= LIMIT, "{most} of team north ran with a limit of {LIMIT}");
    let slots = record.runs.iter().map(|run| run.server_running).max().unwrap_or(0);
    assert!(slots <= SLOTS, "{slots} ran on one backend server");
}

fn escrow_row(site: &Site) -> EscrowRow {
    let range = Range::prefix("escrow/north", 1);
    let rows: Vec<Row> = common::net::post(site.platform(), "/table/range", &range);
    serde_json::from_value(rows[0].value.clone()).expect("an escrow row")
}

/// The team's requests that backend servers hold.
fn held(site: &Site, team: &str) -> Units {
    site.backend_record().held.get(team).copied().unwrap_or(0)
}

/// The team's requests that backend servers hold or run.
fn at_work(site: &Site, team: &str) -> Units {
    let record = site.backend_record();
    let running = of(&record, team).filter(|it| !has_ended(it)).count();
    running as Units + record.held.get(team).copied().unwrap_or(0)
}

fn more_run(site: &Site, count: usize) {
    let (north, south) = (ran(site, "north"), ran(site, "south"));
    wait_until("both teams run on", || {
        ran(site, "north") > north + count && ran(site, "south") > south + count
    });
}

#[test]
fn limit_is_never_passed() {
    let site = site(3);
    let record = under_load(&site, |_| more_run(&site, 100));
    check(&record);
    assert_eq!(record.busy, 0, "no backend server was asked for a ninth slot");
}

/// The backend servers hold what they get, so that nothing granted is on its way back when the rest is granted.
#[test]
fn whole_limit_is_granted_at_once_and_never_passed() {
    let site = site_of(3, ENOUGH_HOSTS, (LONG_MS, LONG_MS));
    let record = under_load(&site, |_| {
        set_mode(&site, BackendMode::Holding);
        let until = Instant::now() + REACH_TIME;
        while held(&site, "north") < LIMIT {
            assert!(at_work(&site, "north") <= LIMIT, "above the limit of {LIMIT}");
            assert!(Instant::now() < until, "{} of {LIMIT} are held", held(&site, "north"));
        }
        let until = Instant::now() + HELD_TIME;
        while Instant::now() < until {
            assert_eq!(at_work(&site, "north"), LIMIT, "what is held neither ends nor grows");
        }
        set_mode(&site, BackendMode::Serving);
        more_run(&site, 100);
    });
    check(&record);
    assert_eq!(record.busy, 0, "no backend server was asked for a ninth slot");
}

/// Faults that are not mended.
mod known_red {
    use super::*;

    #[test]
    fn limit_is_reached_and_never_passed() {
        let site = site(3);
        let record = under_load(&site, |_| more_run(&site, 100));
        check(&record);
        assert_eq!(most_running(&record, "north"), LIMIT, "the whole limit is used");
        assert_eq!(record.busy, 0, "no backend server was asked for a ninth slot");
    }
}

#[test]
fn killed_owner_takes_no_limit_along() {
    let mut site = site(3);
    let owner = site.owner_of("rota");
    let record = under_load(&site, |control| {
        site.entries[owner].kill();
        control.left_out.store(owner, Ordering::Relaxed);
        more_run(&site, 60);
    });
    check(&record);
    site.restart(owner);
    site.wait_ready();
    check(&under_load(&site, |_| more_run(&site, 20)));
}

#[test]
fn stopped_owner_gives_its_units_back() {
    let site = site(3);
    let owner = site.owner_of("rota");
    let before = escrow_row(&site);
    let held_by = |row: &EscrowRow| -> Units {
        let name = site.entries[owner].name.as_str();
        row.held.iter().filter(|(id, _)| id.entry.as_str() == name).map(|(_, units)| *units).sum()
    };
    assert!(held_by(&before) > 0, "{before:?}");
    site.entries[owner].signal("TERM");
    assert!(site.entries[owner].wait_end().success());
    let after = escrow_row(&site);
    assert_eq!(held_by(&after), 0, "{after:?}");
}

#[test]
fn paused_owner_overruns_nothing_when_it_resumes() {
    let site = site(3);
    let owner = site.owner_of("rota");
    let record = under_load(&site, |control| {
        for _ in 0..2 {
            site.entries[owner].signal("STOP");
            control.left_out.store(owner, Ordering::Relaxed);
            let (north, south) = (ran(&site, "north"), ran(&site, "south"));
            wait_until("others run on", || {
                ran(&site, "north") + ran(&site, "south") > north + south + 60
            });
            site.entries[owner].signal("CONT");
            control.left_out.store(NOBODY, Ordering::Relaxed);
            more_run(&site, 20);
        }
    });
    check(&record);
}

#[test]
fn table_outage_keeps_limit_and_work() {
    let site = site(3);
    let record = under_load(&site, |_| {
        site.platform_fault(PlatformFault::Down);
        more_run(&site, 60);
        site.platform_fault(PlatformFault::LoseAnswers { count: 5 });
        more_run(&site, 20);
        site.platform_fault(PlatformFault::None);
        more_run(&site, 20);
    });
    check(&record);
}

/// Lowers the limit of team north; answers when it was accepted, on the callers' clock.
fn lower(site: &Site, control: &Control) -> u64 {
    let team = "north".try_into().unwrap();
    let change = Change::SetUpperLimit { team, upper_limit: LOWERED };
    let addr = site.entries[1].operator;
    let report = operator::change(addr, "ada-key", "lower", None, vec![change]);
    assert!(matches!(report, ChangeReport::Accepted { .. }), "{report:?}");
    control.now_ms()
}

/// The earliest moment, on the callers' clock, at which the entry host may have admitted a run: it came there after its
/// caller's call, and the time left that it sent along is what its check before sending left of the deadline.
///
/// A backend server may begin a run long after that, so the beginning does not tell.
fn admitted_ms(run: &Run) -> u64 {
    let called_ms: u64 = run.body.parse().expect("the moment of the call");
    let left_ms = run.left_ms.expect("the time left");
    called_ms + (LONG_MS - left_ms)
}

/// Checks that whatever was admitted after `accepted_ms` kept the lowered limit at its beginning.
fn check_lowered(record: &BackendRecord, accepted_ms: u64) {
    check(record);
    let later = of(record, "north").filter(|it| admitted_ms(it) > accepted_ms + ROUNDING_MS);
    let most = later.max_by_key(|run| run.team_running).expect("work went on");
    let after_ms = admitted_ms(most) - accepted_ms;
    assert!(most.team_running <= LOWERED, "above {LOWERED}, {after_ms} ms after it: {most:?}");
}

/// Sets how all backend servers behave.
fn set_mode(site: &Site, mode: BackendMode) {
    for host in site.config.hosts.keys() {
        site.backend_mode(host.as_str(), mode);
    }
}

#[test]
fn lowered_limit_starts_nothing_above_it() {
    let site = site_with(3, (LONG_MS, LONG_MS));
    let mut accepted_ms = 0;
    let record = under_load(&site, |control| {
        accepted_ms = lower(&site, control);
        more_run(&site, 30);
    });
    check_lowered(&record, accepted_ms);
}

/// What the backend servers begin late was admitted under the former limit, and nothing joins it.
#[test]
fn limit_lowered_under_held_work_starts_nothing_above_it() {
    let site = site_with(3, (LONG_MS, LONG_MS));
    let (mut accepted_ms, mut begun) = (0, 0);
    let record = under_load(&site, |control| {
        set_mode(&site, BackendMode::Holding);
        wait_until("more than the lowered limit is held", || held(&site, "north") > LOWERED);
        wait_until("nothing begins", || site.backend_record().runs.iter().all(has_ended));
        begun = site.backend_record().runs.len();
        accepted_ms = lower(&site, control);
        set_mode(&site, BackendMode::Serving);
        more_run(&site, 30);
    });
    let late = record.runs[begun..].iter().filter(|it| it.team == "north");
    let most = late.map(|it| it.team_running).max().unwrap_or(0);
    assert!(most > LOWERED, "no more than {most} of the former limit began after it");
    check_lowered(&record, accepted_ms);
}

fn has_ended(run: &Run) -> bool {
    run.end != RunEnd::Running
}
