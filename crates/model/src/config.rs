//! The whole configuration and the rules that every change to it keeps.

mod plans;

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    change::{Change, LogEntry},
    error::{Error, Result},
    host::{Host, HostState},
    hosts::Hosts,
    names::{DataCentre, EntryName, HostName, KeyId, PlanId, PoolName, ServiceName, TeamName},
    plan::{ActivePlan, PlanState, Progress},
    team::{Key, Team},
    undo::Undo,
    units::Slots,
};

const MAX_SHARE: u64 = 1_000_000;
const MAX_UPPER_LIMIT: u64 = 1_000_000;
const MAX_QUEUE: u64 = 1_000_000;

/// A version of the configuration; it only ever grows, by one an entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version after this one.
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What a pool is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolRole {
    /// It serves requests and jobs.
    #[default]
    Serving,
    /// Its hosts stand by for peaks and waves.
    Spare,
}

/// A pool with its availability budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// What it is for.
    #[serde(default)]
    pub role: PoolRole,
    /// The least slots that must keep serving during planned work.
    pub least_serving: Slots,
    /// The most hosts that may be out of service at once in one data centre.
    pub most_out_per_domain: u32,
}

/// A service that callers ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// Who may ask for it.
    #[serde(default)]
    pub access: Access,
}

/// Who may ask for a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Callers with a team's key.
    #[default]
    Teams,
    /// Everyone, without a key; bounded apart from the teams.
    Open,
}

/// The whole configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// The version of the last entry that was applied.
    pub version: Version,
    /// The last version that changed the record of entry hosts.
    pub entry_version: Version,
    /// The pools.
    pub pools: BTreeMap<PoolName, Pool>,
    /// The services.
    pub services: BTreeMap<ServiceName, Service>,
    /// The teams.
    pub teams: BTreeMap<TeamName, Team>,
    /// The keys in force.
    pub keys: BTreeMap<KeyId, Key>,
    /// The hosts of the fleet.
    pub hosts: Hosts,
    /// The entry hosts on record and their peer addresses.
    pub entry_hosts: BTreeMap<EntryName, SocketAddr>,
    /// The confirmed plans that have not ended.
    pub plans: BTreeMap<PlanId, ActivePlan>,
}

impl Configuration {
    /// Applies one log entry whole, or refuses it whole and stays as it was.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<()> {
        if entry.version != self.version.next() {
            return Err(Error::VersionGap {
                found: self.version,
                needed: Version(entry.version.0.saturating_sub(1)),
            });
        }
        let mut undo = Undo::default();
        if let Err(e) = self.apply_changes(entry, &mut undo) {
            undo.restore(self);
            return Err(e);
        }
        self.version = entry.version;
        if entry.changes.iter().any(Change::is_record_change) {
            self.entry_version = entry.version;
        }
        Ok(())
    }

    /// Tells whether [`Configuration::apply`] would take an entry.
    pub fn check(&self, entry: &LogEntry) -> Result<()> {
        self.clone().apply(entry)
    }

    fn apply_changes(&mut self, entry: &LogEntry, undo: &mut Undo) -> Result<()> {
        for change in &entry.changes {
            undo.save(self, change);
            self.apply_change(change, entry)?;
        }
        self.check_budgets(undo)
    }

    /// The hosts of a pool, in the order of their names.
    pub fn hosts_of<'a>(&'a self, pool: &PoolName) -> impl Iterator<Item = &'a Host> + 'a {
        self.hosts.of_pool(pool)
    }

    /// Whether a pool has the same hosts in the same states in another configuration.
    pub fn has_same_hosts(&self, other: &Self, pool: &PoolName) -> bool {
        self.hosts.is_shared_with(&other.hosts) || self.hosts_of(pool).eq(other.hosts_of(pool))
    }

    /// The slots of a pool's serving hosts.
    pub fn serving_slots(&self, pool: &PoolName) -> Slots {
        self.hosts_of(pool)
            .filter(|host| host.state == HostState::Serving)
            .map(|host| host.slots)
            .sum()
    }

    /// The hosts of a pool in one data centre that are not serving.
    pub fn out_in_domain(&self, pool: &PoolName, data_centre: &DataCentre) -> u32 {
        let out =
            |host: &&Host| host.state != HostState::Serving && &host.data_centre == data_centre;
        self.hosts_of(pool).filter(out).count() as u32
    }

    fn apply_change(&mut self, change: &Change, entry: &LogEntry) -> Result<()> {
        match change {
            Change::PutPool { pool } => {
                self.pools.insert(pool.name.clone(), pool.clone());
            }
            Change::RemovePool { pool } => self.remove_pool(pool)?,
            Change::PutService { service } => {
                self.need_pool(&service.pool)?;
                self.services.insert(service.name.clone(), service.clone());
            }
            Change::RemoveService { service } => {
                self.services.remove(service).ok_or_else(|| Error::NoService(service.clone()))?;
            }
            Change::PutTeam { team } => {
                in_range("share", team.share, 1, MAX_SHARE)?;
                in_range("upper-limit", team.upper_limit, 0, MAX_UPPER_LIMIT)?;
                in_range("queue", team.queue, 1, MAX_QUEUE)?;
                self.teams.insert(team.name.clone(), team.clone());
            }
            Change::SetShare { team, share } => {
                in_range("share", *share, 1, MAX_SHARE)?;
                self.team_mut(team)?.share = *share;
            }
            Change::SetUpperLimit { team, upper_limit } => {
                in_range("upper-limit", *upper_limit, 0, MAX_UPPER_LIMIT)?;
                self.team_mut(team)?.upper_limit = *upper_limit;
            }
            Change::GrantKey { key } => self.grant_key(key)?,
            Change::WithdrawKey { key } => {
                self.keys.remove(key).ok_or_else(|| Error::NoKey(key.clone()))?;
            }
            Change::PutHost { host } => {
                self.check_holder(&host.name, entry.plan.as_ref())?;
                self.put_host(host)?;
            }
            Change::RemoveHost { host } => {
                self.need_host_state(host, "removed", "set-aside", &[HostState::SetAside])?;
                self.hosts.remove(host);
            }
            Change::SetHostState { host, state } => {
                let before = self.host_state(host)?;
                if !before.is_unplanned(*state) {
                    self.check_holder(host, entry.plan.as_ref())?;
                }
                self.set_host_state(host, *state)?;
                if let Some(progress) = Progress::after(before, *state) {
                    self.record_progress(host, progress);
                }
            }
            Change::MoveHost { host, pool } => {
                self.check_holder(host, entry.plan.as_ref())?;
                self.move_host(host, pool)?;
            }
            Change::StartPlan { plan, hosts } => self.start_plan(plan, hosts, entry)?,
            Change::SetPlanState { plan, state } => self.set_plan_state(plan, *state)?,
            Change::AdvancePlan { plan, step } => self.advance_plan(plan, *step)?,
            Change::EndPlan { plan } => {
                self.plans.remove(plan).ok_or_else(|| Error::NoPlan(plan.clone()))?;
            }
            Change::PutEntryHost { entry, peer } => {
                self.entry_hosts.insert(entry.clone(), *peer);
            }
            Change::RemoveEntryHost { entry } => {
                self.entry_hosts.remove(entry);
            }
        }
        Ok(())
    }

    fn remove_pool(&mut self, pool: &PoolName) -> Result<()> {
        self.need_pool(pool)?;
        let in_use = self.hosts_of(pool).next().is_some()
            || self.services.values().any(|it| &it.pool == pool);
        if in_use {
            return Err(Error::PoolInUse(pool.clone()));
        }
        self.pools.remove(pool);
        Ok(())
    }

    fn grant_key(&mut self, key: &Key) -> Result<()> {
        self.team_mut(&key.team)?;
        let known =
            self.keys.contains_key(&key.id) || self.keys.values().any(|it| it.digest == key.digest);
        if known {
            return Err(Error::AlreadyThere { kind: "key", name: key.id.to_string() });
        }
        self.keys.insert(key.id.clone(), key.clone());
        Ok(())
    }

    fn put_host(&mut self, host: &Host) -> Result<()> {
        self.need_pool(&host.pool)?;
        self.check_replaceable(host)?;
        self.hosts.put(host.clone());
        Ok(())
    }

    /// Refuses to replace the record of a known host that the budgets count on.
    fn check_replaceable(&self, host: &Host) -> Result<()> {
        let Some(known) = self.hosts.get(&host.name).filter(|known| *known != host) else {
            return Ok(());
        };
        if known.pool != host.pool {
            return Err(Error::AlreadyThere { kind: "host", name: host.name.to_string() });
        }
        if known.state == HostState::SetAside && host.state == HostState::SetAside {
            return Ok(());
        }
        Err(Error::HostState {
            host: host.name.clone(),
            found: known.state.as_str(),
            wanted: "replaced",
            needed: "set-aside, for instance after 'fuchsiamill plan drain-host', and leave it so",
        })
    }

    fn host_state(&self, name: &HostName) -> Result<HostState> {
        let host = self.hosts.get(name).ok_or_else(|| Error::NoHost(name.clone()))?;
        Ok(host.state)
    }

    fn set_host_state(&mut self, name: &HostName, state: HostState) -> Result<()> {
        use HostState::*;
        let (needed, from): (&'static str, &[HostState]) = match state {
            Draining => ("serving or checking", &[Serving, Checking]),
            Rebooting => ("draining or set-aside", &[Draining, SetAside]),
            Checking => ("rebooting, draining or set-aside", &[Rebooting, Draining, SetAside]),
            Serving => ("checking, draining or absent", &[Checking, Draining, Absent]),
            SetAside => ("in any other state", &[Serving, Draining, Rebooting, Checking, Absent]),
            Absent => ("serving", &[Serving]),
        };
        self.need_host_state(name, state.as_str(), needed, from)?;
        self.hosts.set_state(name, state);
        Ok(())
    }

    fn move_host(&mut self, name: &HostName, pool: &PoolName) -> Result<()> {
        use HostState::*;
        self.need_pool(pool)?;
        let needed = "draining, rebooting or checking";
        self.need_host_state(name, "moved", needed, &[Draining, Rebooting, Checking])?;
        self.hosts.set_pool(name, pool);
        Ok(())
    }

    fn need_pool(&self, pool: &PoolName) -> Result<()> {
        if self.pools.contains_key(pool) { Ok(()) } else { Err(Error::NoPool(pool.clone())) }
    }

    fn team_mut(&mut self, team: &TeamName) -> Result<&mut Team> {
        self.teams.get_mut(team).ok_or_else(|| Error::NoTeam(team.clone()))
    }

    fn need_host_state(
        &self,
        name: &HostName,
        wanted: &'static str,
        needed: &'static str,
        from: &[HostState],
    ) -> Result<()> {
        let host = self.hosts.get(name).ok_or_else(|| Error::NoHost(name.clone()))?;
        if !from.contains(&host.state) {
            return Err(Error::HostState {
                host: name.clone(),
                found: host.state.as_str(),
                wanted,
                needed,
            });
        }
        Ok(())
    }

    /// Refuses planned work that takes a pool below its budget.
    ///
    /// A host that fails counts against the budget but is never refused: setting it aside only records it.
    fn check_budgets(&self, undo: &Undo) -> Result<()> {
        undo.newly_draining(self).into_iter().try_for_each(|host| self.check_pool_budget(host))
    }

    fn check_pool_budget(&self, host: &Host) -> Result<()> {
        let Some(pool) = self.pools.get(&host.pool) else { return Ok(()) };
        let left = self.serving_slots(&pool.name);
        if left < pool.least_serving {
            return Err(Error::Budget { pool: pool.name.clone(), left, least: pool.least_serving });
        }
        let out = self.out_in_domain(&pool.name, &host.data_centre);
        if out > pool.most_out_per_domain {
            return Err(Error::DomainBudget {
                pool: pool.name.clone(),
                out,
                most: pool.most_out_per_domain,
            });
        }
        Ok(())
    }
}

fn in_range(field: &'static str, found: u32, min: u64, max: u64) -> Result<()> {
    let found = u64::from(found);
    if (min..=max).contains(&found) {
        Ok(())
    } else {
        Err(Error::OutOfRange { field, found, min, max })
    }
}
