//! The calls that need nothing but the configuration and the audit trail.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use fuchsiamill_model::{
    Change, ChangeId, EntryName, Host, HostState, Key, Pool, PoolName, RackName, Service, Team,
    Version,
};
use fuchsiamill_peer::{Call, CallReceiver, Failure, Router, call_channel, router::Reply};
use fuchsiamill_policy::config_log::{Basis, Proposal};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    Asked,
    report::{SiteReport, SiteStatus},
};
use crate::{
    audit::AuditFilter,
    config::{Outcome, describe},
    cx::Cx,
};

const PATIENCE: Duration = Duration::from_secs(10);

/// Which hosts to list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostFilter {
    /// Only of this pool.
    pub pool: Option<PoolName>,
    /// Only in this rack.
    pub rack: Option<RackName>,
    /// Only in this state.
    pub state: Option<HostState>,
}

impl HostFilter {
    fn takes(&self, host: &Host) -> bool {
        self.pool.as_ref().is_none_or(|pool| *pool == host.pool)
            && self.rack.as_ref().is_none_or(|rack| *rack == host.rack)
            && self.state.is_none_or(|state| state == host.state)
    }
}

/// Everything that is listed by name, without the hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// The version of the configuration.
    pub version: Version,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The services.
    pub services: Vec<Service>,
    /// The teams.
    pub teams: Vec<Team>,
    /// The keys in force; digests only.
    pub keys: Vec<Key>,
    /// The entry hosts on record.
    pub entry_hosts: BTreeMap<EntryName, std::net::SocketAddr>,
}

/// A change that moves nothing, by a program that keeps teams and keys in step with another system.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// The caller's own id; the same id acts once.
    pub id: ChangeId,
    /// What is wanted, in words.
    pub intent: String,
    /// The version since which the things changed must be untouched; none when that is all the same.
    #[serde(default)]
    pub basis: Option<Version>,
    /// The changes, all in force together or not at all.
    pub changes: Vec<Change>,
}

/// What came of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ChangeReport {
    /// It is in force.
    Accepted {
        /// The version.
        version: Version,
    },
    /// It is in the table and will be in force; these hosts have not confirmed it.
    Pending {
        /// The version.
        version: Version,
        /// The hosts.
        waiting: Vec<EntryName>,
    },
    /// The answer of the table was lost; the same id asked again tells.
    InDoubt {
        /// The cause and remedy.
        detail: String,
    },
    /// Another change stands in the way; nothing was changed.
    Conflict {
        /// By whom, what, and the remedy.
        detail: String,
    },
    /// It is refused; nothing was changed.
    Refused {
        /// The reason and remedy.
        detail: String,
    },
    /// The table does not serve; nothing was changed.
    Unavailable {
        /// The cause and remedy.
        detail: String,
    },
}

impl From<Outcome> for ChangeReport {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Accepted(version) => Self::Accepted { version },
            Outcome::Pending(version, waiting) => Self::Pending { version, waiting },
            Outcome::InDoubt(detail) => Self::InDoubt { detail },
            Outcome::Conflict(conflict) => Self::Conflict { detail: describe(&conflict) },
            Outcome::Refused(detail) => Self::Refused { detail },
            Outcome::Unavailable(detail) => Self::Unavailable { detail },
        }
    }
}

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
        answer(self.report, cx, async |cx, _: Asked<()>| Ok(SiteReport::of(&cx.config.current())));
        answer(self.hosts, cx, async |cx, asked: Asked<HostFilter>| Ok(hosts(&cx, &asked.params)));
        answer(self.catalogue, cx, async |cx, _: Asked<()>| Ok(catalogue(&cx)));
        answer(self.audit, cx, async |cx, asked: Asked<AuditFilter>| {
            let listed = cx.audit.list(&cx, &asked.params).await;
            listed.map_err(|e| Failure::refused(e.to_string()))
        });
        answer(self.change, cx, async |cx, asked| change(&cx, asked).await);
    }
}

fn answer<T, R, F>(mut rx: CallReceiver, cx: &Rc<Cx>, respond: F)
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
    Ok(cx.config.propose(proposal, PATIENCE).await.into())
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
