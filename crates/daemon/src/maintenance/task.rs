//! Carries out one plan for as long as this entry host holds its lease.

use std::{rc::Rc, time::Duration};

use fuchsiamill_model::{
    Change, Configuration, FastMap, Host, HostName, HostState, OperatorName, PlanId, PoolName,
};
use fuchsiamill_policy::waves::{
    Action, Limits, Observations, Reading, Restart, Runner, Tasks, Turn,
};
use fuchsiamill_ports::{RestartClient, RestartOrder, RestartState};
use monoio::time::sleep;

use super::{
    lease::{Held, Lease},
    probes,
    proposals::{self, PATIENCE},
    rows::{PlanRow, PlanRows, RowState},
};
use crate::{config::Outcome, cx::Cx};

/// How long connecting to a backend server may follow the check of a grant's start-by time.
const CONNECT_MS: u64 = 1_000;
const PERCENT: u64 = 100;

/// The task of one plan.
pub struct PlanTask {
    cx: Rc<Cx>,
    id: PlanId,
    rows: PlanRows,
    lease: Lease,
    restarts: RestartClient,
    readings: FastMap<HostName, Reading>,
    waits: Vec<String>,
}

impl PlanTask {
    /// A task that holds nothing yet.
    pub fn new(cx: Rc<Cx>, id: PlanId) -> Self {
        let platform = &cx.settings.platform;
        let time = Duration::from_millis(platform.request_timeout_ms);
        Self {
            rows: PlanRows::new(cx.table.clone()),
            lease: Lease::new(&cx, id.clone()),
            restarts: RestartClient::new(platform.hosts, time),
            readings: FastMap::default(),
            waits: Vec::new(),
            cx,
            id,
        }
    }

    /// Runs until the plan has ended.
    pub async fn run(mut self) {
        let look = Duration::from_millis(self.cx.settings.maintenance.look_ms);
        let mut runner = None;
        while self.cx.config.current().plans.contains_key(&self.id) {
            match self.lease.hold(&self.cx, &self.waits).await {
                Held::Here => self.look(&mut runner).await,
                Held::Elsewhere => runner = None,
            }
            sleep(look).await;
        }
        if runner.is_some() {
            self.note_end().await;
        }
    }

    async fn look(&mut self, runner: &mut Option<Runner>) {
        if runner.is_none() {
            self.readings.clear();
            *runner = self.load().await;
        }
        let Some(runner) = runner else { return };
        let config = self.cx.config.current();
        let out: Vec<Host> = runner.out(&config).cloned().collect();
        let observed = self.observe(&out).await;
        // The hosts were probed by `config`: the turn is made from the same version.
        let turn = runner.turn(&config, &observed, self.cx.clock.now());
        self.carry_out(&config, turn).await;
    }

    async fn load(&self) -> Option<Runner> {
        let row = self.rows.plan(&self.id).await.ok()?;
        Some(Runner::new(self.id.clone(), row.value.plan.steps.clone(), self.limits()))
    }

    fn limits(&self) -> Limits {
        let (timing, limits) = (&self.cx.settings.timing, &self.cx.settings.maintenance);
        let settle = timing.start_by_ms + CONNECT_MS;
        Limits {
            settle: settle + (settle * u64::from(timing.drift_percent)).div_ceil(PERCENT),
            unreachable: limits.unreachable_ms,
            reboot: limits.restart_ms,
            check: limits.check_ms,
            max_failures: limits.most_failures,
        }
    }

    async fn observe(&mut self, out: &[Host]) -> Observations {
        let accepted = self.cx.config.accepted();
        let probed: Vec<_> =
            out.iter().filter(|host| host.state != HostState::Rebooting).cloned().collect();
        let probes = probes::all(&self.cx, &probed).await;
        self.readings.retain(|name, _| out.iter().any(|host| &host.name == name));
        for (host, probe) in probed.iter().zip(probes) {
            let reading = self.readings.entry(host.name.clone()).or_default();
            reading.probe = probe.or(reading.probe);
        }
        self.count_tasks(&probed).await;
        Observations { accepted, hosts: self.readings.clone() }
    }

    /// Asks the owners of the pools for the tasks on draining hosts.
    async fn count_tasks(&mut self, hosts: &[Host]) {
        let mut pools: FastMap<&PoolName, Vec<HostName>> = FastMap::default();
        for host in hosts.iter().filter(|host| host.state == HostState::Draining) {
            pools.entry(&host.pool).or_default().push(host.name.clone());
        }
        for (pool, names) in pools {
            let at = self.cx.clock.now();
            let Some(counts) = self.cx.jobs.held(&self.cx, pool, names.clone()).await else {
                continue;
            };
            for (name, count) in names.into_iter().zip(counts) {
                self.readings.entry(name).or_default().tasks = Some(Tasks { at, count });
            }
        }
    }

    async fn carry_out(&mut self, config: &Configuration, turn: Turn) {
        self.waits = turn.waits.iter().map(ToString::to_string).collect();
        for action in turn.actions {
            match action {
                Action::Reboot(host) => self.restart(host).await,
                Action::Propose(changes) => self.propose(config, changes).await,
            }
        }
    }

    async fn restart(&mut self, host: HostName) {
        let order = RestartOrder { id: format!("{}/{host}", self.id), host: host.clone() };
        let state = match self.restarts.restart(&order).await {
            Ok(RestartState::Done) => Restart::Done,
            Ok(RestartState::Running) => Restart::Running,
            Err(e) => return self.waits.push(e.to_string()),
        };
        self.readings.entry(host).or_default().restart = Some(state);
    }

    async fn propose(&mut self, config: &Configuration, changes: Vec<Change>) {
        let who = OperatorName::try_from(self.cx.settings.entry.name.as_str());
        let Ok(who) = who else { return };
        let proposal = proposals::step_of(&self.id, &who, config.version, changes);
        match self.cx.config.propose(proposal, PATIENCE).await {
            Outcome::Accepted(_) | Outcome::Pending(..) => {
                self.cx.metrics.event("plan_steps_written");
            }
            outcome => {
                self.cx.metrics.event("plan_steps_not_written");
                self.waits.extend(proposals::answer(outcome).err().map(|e| e.to_string()));
            }
        }
    }

    async fn note_end(&self) {
        log::info!("plan {}: ended", self.id);
        let Ok(row) = self.rows.plan(&self.id).await else { return };
        let state = match row.value.state {
            RowState::Confirmed { who, version } | RowState::Confirming { who, basis: version } => {
                RowState::Ended { who, version }
            }
            RowState::Proposed | RowState::Ended { .. } => return,
        };
        let ended = PlanRow { plan: row.value.plan, state };
        let _ = self.rows.put_plan(ended, Some(row.version)).await;
    }
}
