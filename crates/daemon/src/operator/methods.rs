//! The calls that need nothing but the configuration and the audit trail.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use fuchsiamill_api::{
    AuditFilter, Catalogue, ChangeReport, ChangeRequest, HostFilter, SiteReport, SiteStatus,
};
use fuchsiamill_model::{Change, Host};
use fuchsiamill_peer::{Call, CallReceiver, Failure, Router, call_channel, router::Reply};
use fuchsiamill_policy::config_log::{Basis, Proposal};
use serde::{Serialize, de::DeserializeOwned};

use super::{Asked, report::report};
use crate::{
    config::{Outcome, describe},
    cx::Cx,
};

const PATIENCE: Duration = Duration::from_secs(10);

/// The calls of this module, before its task is started.
pub struct Inputs {
    status: CallReceiver,
    report: CallReceiver,
    hosts: CallReceiver,
    catalogue: CallReceiver,
    audit: CallReceiver,
    change: CallReceiver,
}

/// Routes the calls of this module.
pub fn route(router: &mut Router) -> Inputs {
    let mut input = |method| {
        let (tx, rx) = call_channel();
        router.route(method, tx);
        rx
    };
    Inputs {
        status: input("site.status"),
        report: input("site.report"),
        hosts: input("host.list"),
        catalogue: input("catalogue.list"),
        audit: input("audit.list"),
        change: input("config.change"),
    }
}

impl Inputs {
    /// Starts to answer.
    pub fn start(self, cx: &Rc<Cx>) {
        answer(self.status, cx, async |cx, _: Asked<()>| Ok(status(&cx).await));
        answer(self.report, cx, async |cx, _: Asked<()>| Ok(site_report(&cx).await));
        answer(self.hosts, cx, async |cx, asked: Asked<HostFilter>| Ok(hosts(&cx, &asked.params)));
        answer(self.catalogue, cx, async |cx, _: Asked<()>| Ok(catalogue(&cx)));
        answer(self.audit, cx, async |cx, asked: Asked<AuditFilter>| {
            let listed = cx.audit.list(&cx, &asked.params).await;
            listed.map_err(|e| Failure::refused(e.to_string()))
        });
        answer(self.change, cx, async |cx, asked| change(&cx, asked).await);
    }
}

/// Answers every call of a method with what `respond` makes of its parameters.
pub fn answer<T, R, F>(mut rx: CallReceiver, cx: &Rc<Cx>, respond: F)
where
    T: DeserializeOwned + 'static,
    R: Serialize + 'static,
    F: AsyncFn(Rc<Cx>, T) -> Result<R, Failure> + Copy + 'static,
{
    let cx = cx.clone();
    monoio::spawn(async move {
        while let Some(call) = rx.recv().await {
            let cx = cx.clone();
            monoio::spawn(async move { answer_one(call, cx, respond).await });
        }
    });
}

async fn answer_one<T, R, F>(call: Call, cx: Rc<Cx>, respond: F)
where
    T: DeserializeOwned,
    R: Serialize,
    F: AsyncFn(Rc<Cx>, T) -> Result<R, Failure>,
{
    let parsed: Option<(T, Reply)> = call.parse();
    if let Some((asked, reply)) = parsed {
        reply.send(respond(cx, asked).await);
    }
}

fn change_report(outcome: Outcome) -> ChangeReport {
    match outcome {
        Outcome::Accepted(version) => ChangeReport::Accepted { version },
        Outcome::Pending(version, waiting) => ChangeReport::Pending { version, waiting },
        Outcome::InDoubt(detail) => ChangeReport::InDoubt { detail },
        Outcome::Conflict(conflict) => ChangeReport::Conflict { detail: describe(&conflict) },
        Outcome::Refused(detail) => ChangeReport::Refused { detail },
        Outcome::Unavailable(detail) => ChangeReport::Unavailable { detail },
    }
}

async fn site_report(cx: &Cx) -> SiteReport {
    report(&cx.config.current(), cx.dispatch.site_lanes(cx).await)
}

async fn status(cx: &Cx) -> SiteStatus {
    let cfg = cx.config.current();
    let mut hosts = BTreeMap::new();
    for host in cfg.hosts.values() {
        *hosts.entry(host.state.as_str().to_owned()).or_default() += 1;
    }
    let entry = &cx.settings.entry;
    SiteStatus {
        entry: entry.name.clone(),
        region: entry.region.clone(),
        data_centre: entry.data_centre.clone(),
        standing: cx.cluster.standing().refusal().unwrap_or("serving").to_owned(),
        config: cx.config.status().await,
        hosts,
        pools: cfg.pools.len() as u32,
        teams: cfg.teams.len() as u32,
        keys: cfg.keys.len() as u32,
        plans: cfg.plans.len() as u32,
    }
}

fn hosts(cx: &Cx, filter: &HostFilter) -> Vec<Host> {
    let cfg = cx.config.current();
    cfg.hosts.values().filter(|host| filter.takes(host)).cloned().collect()
}

fn catalogue(cx: &Cx) -> Catalogue {
    let cfg = cx.config.current();
    Catalogue {
        version: cfg.version,
        pools: cfg.pools.values().cloned().collect(),
        services: cfg.services.values().cloned().collect(),
        teams: cfg.teams.values().cloned().collect(),
        keys: cfg.keys.values().cloned().collect(),
        entry_hosts: cfg.entry_hosts.clone(),
    }
}

async fn change(cx: &Cx, asked: Asked<ChangeRequest>) -> Result<ChangeReport, Failure> {
    let Asked { who, params } = asked;
    if let Some(moved) = params.changes.iter().find(|change| moves_hosts(change)) {
        let detail = format!(
            "A change of hosts or plans ({moved:?}) needs a plan; use 'fuchsiamill plan' and 'fuchsiamill confirm'."
        );
        return Err(Failure::refused(detail));
    }
    let proposal = Proposal {
        id: params.id,
        who,
        intent: params.intent,
        plan: None,
        basis: params.basis.map_or(Basis::Newest, Basis::At),
        changes: params.changes,
    };
    Ok(change_report(cx.config.propose(proposal, PATIENCE).await))
}

fn moves_hosts(change: &Change) -> bool {
    matches!(
        change,
        Change::PutHost { .. }
            | Change::RemoveHost { .. }
            | Change::SetHostState { .. }
            | Change::MoveHost { .. }
            | Change::StartPlan { .. }
            | Change::SetPlanState { .. }
            | Change::AdvancePlan { .. }
            | Change::EndPlan { .. }
    )
}
