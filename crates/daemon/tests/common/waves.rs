//! Plans through the operator port, load beside them, and what the stand-ins' records say of both.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use fuchsiamill_api::{PlanRef, PlanReport, PlanView, SetPlanState, Stage};
use fuchsiamill_daemon::maintenance::LeaseRow;
use fuchsiamill_model::{
    Change, Configuration, HostState, Intent, LogEntry, PlanId, PlanState, Slots,
};
use fuchsiamill_policy::planner::Plan;
use fuchsiamill_ports::{Range, Row};
use fuchsiamill_standin::{
    admin::{RestartMode, SetRestart},
    record::{Run, RunEnd},
};
use serde::{Serialize, de::DeserializeOwned};

use super::{Site, net, operator};

const ROWS: usize = 100_000;
const CLOCK_SLACK_MS: u64 = 100;
const LONGEST_REQUEST: Duration = Duration::from_secs(40);

impl Site {
    fn plan_call<P: Serialize, R: DeserializeOwned>(
        &self,
        entry: usize,
        key: &str,
        method: &str,
        params: P,
    ) -> R {
        let addr = self.entries[entry].operator;
        let answer = operator::try_call(addr, key, method, params).expect("the port answers");
        let result = answer.get("result").unwrap_or_else(|| panic!("{method}: {answer}"));
        serde_json::from_value(result.clone()).expect("the result is as expected")
    }

    /// Makes a plan as the operator with this key.
    pub fn plan(&self, entry: usize, key: &str, intent: Intent) -> Plan {
        self.plan_call(entry, key, "plan.make", intent)
    }

    /// Confirms a plan.
    pub fn confirm(&self, entry: usize, key: &str, plan: &PlanId) -> PlanReport {
        self.plan_call(entry, key, "plan.confirm", PlanRef { plan: plan.clone() })
    }

    /// Pauses, resumes or cancels a plan.
    pub fn set_plan(&self, entry: usize, plan: &PlanId, state: PlanState) -> PlanReport {
        let params = SetPlanState { plan: plan.clone(), state };
        self.plan_call(entry, "ben-key", "plan.set-state", params)
    }

    /// The plans that one entry host lists.
    pub fn views(&self, entry: usize) -> Vec<PlanView> {
        self.plan_call(entry, "ada-key", "plan.list", ())
    }

    /// A plan as one entry host lists it.
    pub fn view(&self, entry: usize, plan: &PlanId) -> PlanView {
        self.views(entry).into_iter().find(|it| &it.plan.id == plan).expect("the plan is listed")
    }

    /// Whether a plan has ended, as one entry host lists it; the table must serve.
    pub fn has_ended(&self, entry: usize, plan: &PlanId) -> bool {
        self.view(entry, plan).stage == Stage::Ended
    }

    /// The index of the entry host that carries out a plan.
    pub fn runner(&self, plan: &PlanId) -> Option<usize> {
        let start = format!("plan-lease/{plan}");
        let end = format!("{start}~");
        let row = self.rows(&Range { start, end, limit: 1 }).pop()?;
        let lease: LeaseRow = serde_json::from_value(row.value).expect("a lease");
        self.entries.iter().position(|it| it.name == lease.holder.as_str())
    }

    /// Sets how a host restarts.
    pub fn restart_mode(&self, host: &str, mode: RestartMode) {
        let set = SetRestart { host: host.into(), mode };
        net::post::<_, ()>(self.platform(), "/admin/restart", &set);
    }

    /// Rows of the table.
    pub fn rows(&self, range: &Range) -> Vec<Row> {
        net::post(self.platform(), "/admin/rows", range)
    }

    /// The log of the configuration, as the table has it.
    pub fn log(&self) -> Vec<LogEntry> {
        let rows = self.rows(&Range::prefix("config/log/", ROWS));
        let entry = |row: Row| serde_json::from_value(row.value).expect("a log entry");
        rows.into_iter().map(entry).collect()
    }

    /// Every configuration from the first on.
    pub fn history(&self) -> Vec<Configuration> {
        let mut config = self.config.clone();
        let mut all = vec![config.clone()];
        for entry in self.log() {
            config.apply(&entry).expect("the log applies");
            all.push(config.clone());
        }
        all
    }

    /// The newest configuration.
    pub fn newest(&self) -> Configuration {
        self.history().pop().expect("a configuration")
    }

    /// How often a plan was started.
    pub fn starts(&self) -> usize {
        let is_start = |change: &&Change| matches!(change, Change::StartPlan { .. });
        self.log().iter().flat_map(|it| &it.changes).filter(is_start).count()
    }

    /// Checks every configuration against every budget; hosts in `failed` do not count.
    pub fn check_budgets(&self, failed: &[&str]) {
        for config in self.history() {
            for pool in config.pools.values() {
                let of_pool = || config.hosts_of(&pool.name);
                let is_out = |state| state != HostState::Serving;
                let lost: Slots = of_pool()
                    .filter(|it| failed.contains(&it.name.as_str()) && is_out(it.state))
                    .map(|it| it.slots)
                    .sum();
                let left = config.serving_slots(&pool.name) + lost;
                assert!(
                    left >= pool.least_serving,
                    "version {}: {pool:?} has {left}",
                    config.version
                );
                let mut out = BTreeMap::new();
                for host in
                    of_pool().filter(|it| is_out(it.state) && !failed.contains(&it.name.as_str()))
                {
                    *out.entry(&host.data_centre).or_insert(0) += 1;
                }
                let most = out.values().max().copied().unwrap_or(0);
                assert!(
                    most <= pool.most_out_per_domain,
                    "version {}: {pool:?} has {most} out",
                    config.version
                );
            }
        }
    }

    /// Checks that every run ended whole and that none ran while its host restarted.
    pub fn check_runs(&self) {
        self.check_runs_but(&[]);
    }

    /// Like [`Site::check_runs`]; runs on the hosts in `failing` may have failed, but not been cut.
    pub fn check_runs_but(&self, failing: &[&str]) {
        let platform = self.platform_record();
        let backends = self.backend_record();
        let failing: Vec<_> = failing.iter().map(|it| self.server_of(it)).collect();
        let whole = |run: &Run| match run.end {
            RunEnd::Finished => true,
            RunEnd::Failed => failing.contains(&run.server),
            _ => false,
        };
        assert!(backends.runs.iter().all(whole), "a run was cut or failed");
        // Both records were read at about the same time: that gives the offset of their clocks.
        let shift = platform.now_ms as i64 - backends.now_ms as i64;
        for restart in &platform.restarts {
            let server = self.server_of(&restart.host);
            let back = restart.back_ms.unwrap_or(u64::MAX / 2) as i64;
            for run in backends.runs.iter().filter(|run| run.server == server) {
                let began = run.began_ms as i64 + shift;
                let ended = run.ended_ms.map_or(i64::MAX, |at| at as i64 + shift);
                let slack = CLOCK_SLACK_MS as i64;
                let overlaps = began < back - slack && ended > restart.began_ms as i64 + slack;
                assert!(!overlaps, "{restart:?} met {run:?}");
            }
        }
    }

    /// Checks that no host was taken out of service or restarted with a run in flight.
    pub fn check_empty(&self) {
        let backends = self.backend_record();
        let began = wall_ms() - backends.now_ms;
        for entry in self.log().iter().filter(|it| it.plan.is_some()) {
            for change in &entry.changes {
                let Change::SetHostState { host, state } = change else { continue };
                if !matches!(state, HostState::SetAside | HostState::Rebooting) {
                    continue;
                }
                let server = self.server_of(host.as_str());
                let at = entry.at.0.saturating_sub(began);
                let cut = |run: &&Run| {
                    let ended = run.ended_ms.unwrap_or(u64::MAX);
                    run.server == server && run.began_ms < at && ended > at + CLOCK_SLACK_MS
                };
                let met = backends.runs.iter().find(cut);
                assert!(met.is_none(), "{host} became {state:?} at {at} ms with {met:?}");
            }
        }
    }

    fn server_of(&self, host: &str) -> String {
        self.standins.server_of(host).expect("a host of the site")
    }

    /// How often each host was restarted.
    pub fn restarts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for restart in self.platform_record().restarts {
            *counts.entry(restart.host).or_insert(0) += 1;
        }
        counts
    }
}

/// What became of a load.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// Requests answered whole.
    pub answered: usize,
    /// Requests that were never answered with success.
    pub lost: Vec<String>,
}

/// Runs `work` while clients post to the services; a client tries the next entry host when one
/// refuses with "not run" or cannot be reached, as the balancer would.
pub fn under_load<T>(
    site: &Site,
    services: &[&str],
    clients: usize,
    work: impl FnOnce() -> T,
) -> (T, LoadResult) {
    let is_over = AtomicBool::new(false);
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        let client = |at: usize| {
            let (is_over, next) = (&is_over, &next);
            scope.spawn(move || {
                let mut result = LoadResult::default();
                while !is_over.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let service = services[number % services.len()];
                    match send(site, at + number, service, &format!("r{number}")) {
                        Ok(()) => result.answered += 1,
                        Err(why) => result.lost.push(why),
                    }
                }
                result
            })
        };
        let clients: Vec<_> = (0..clients).map(client).collect();
        let made = std::panic::catch_unwind(std::panic::AssertUnwindSafe(work));
        is_over.store(true, Ordering::Relaxed);
        let mut all = LoadResult::default();
        for client in clients {
            let one = client.join().expect("a client");
            all.answered += one.answered;
            all.lost.extend(one.lost);
        }
        match made {
            Ok(made) => (made, all),
            Err(panic) => std::panic::resume_unwind(panic),
        }
    })
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970");
    since.as_millis() as u64
}

fn send(site: &Site, first: usize, service: &str, body: &str) -> Result<(), String> {
    let end = Instant::now() + LONGEST_REQUEST;
    let mut why = String::new();
    for entry in (0..site.entries.len()).cycle().skip(first % site.entries.len()) {
        if Instant::now() >= end {
            break;
        }
        match site.try_post(entry, service, "north-key", body) {
            Some(answer) if answer.status == 200 => {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                return if text.ends_with(&format!("ran {body}")) { Ok(()) } else { Err(text) };
            }
            Some(answer) => {
                why =
                    format!("{body}: {} {}", answer.status, String::from_utf8_lossy(&answer.body));
                if !why.contains("\"run\":\"not-run\"") {
                    return Err(why);
                }
            }
            None => why = format!("{body}: no answer"),
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(why)
}
