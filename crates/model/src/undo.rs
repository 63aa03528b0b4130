//! What the changes of one entry overwrite, to take them back when a later one is refused.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    change::Change,
    config::{Configuration, Pool, Service},
    host::{Host, HostState},
    names::{EntryName, HostName, KeyId, PlanId, PoolName, ServiceName, TeamName},
    plan::{ActivePlan, Progress},
    team::{Key, Team},
};

enum Previous {
    Pool(PoolName, Option<Pool>),
    Service(ServiceName, Option<Service>),
    Team(TeamName, Option<Team>),
    Key(KeyId, Option<Key>),
    Host(HostName, Option<Host>),
    Progress(PlanId, HostName, Progress),
    Plan(PlanId, Option<ActivePlan>),
    EntryHost(EntryName, Option<SocketAddr>),
}

/// The overwritten values, in the order in which they were overwritten.
#[derive(Default)]
pub(crate) struct Undo(Vec<Previous>);

impl Undo {
    /// Saves what a change is about to overwrite.
    pub(crate) fn save(&mut self, cfg: &Configuration, change: &Change) {
        match change {
            Change::PutPool { pool } => self.save_pool(cfg, &pool.name),
            Change::RemovePool { pool } => self.save_pool(cfg, pool),
            Change::PutService { service } => self.save_service(cfg, &service.name),
            Change::RemoveService { service } => self.save_service(cfg, service),
            Change::PutTeam { team } => self.save_team(cfg, &team.name),
            Change::SetShare { team, .. } | Change::SetUpperLimit { team, .. } => {
                self.save_team(cfg, team);
            }
            Change::GrantKey { key } => self.save_key(cfg, &key.id),
            Change::WithdrawKey { key } => self.save_key(cfg, key),
            Change::PutHost { host } => self.save_host(cfg, &host.name),
            Change::RemoveHost { host } | Change::MoveHost { host, .. } => {
                self.save_host(cfg, host);
            }
            Change::SetHostState { host, .. } => {
                self.save_host(cfg, host);
                self.save_progress(cfg, host);
            }
            Change::PutEntryHost { entry, .. } | Change::RemoveEntryHost { entry } => {
                let previous = cfg.entry_hosts.get(entry).copied();
                self.0.push(Previous::EntryHost(entry.clone(), previous));
            }
            Change::StartPlan { plan, .. }
            | Change::SetPlanState { plan, .. }
            | Change::AdvancePlan { plan, .. }
            | Change::EndPlan { plan } => {
                self.0.push(Previous::Plan(plan.clone(), cfg.plans.get(plan).cloned()));
            }
        }
    }

    /// Takes every saved change back, the last one first.
    pub(crate) fn restore(self, cfg: &mut Configuration) {
        for previous in self.0.into_iter().rev() {
            match previous {
                Previous::Pool(name, value) => put_back(&mut cfg.pools, name, value),
                Previous::Service(name, value) => put_back(&mut cfg.services, name, value),
                Previous::Team(name, value) => put_back(&mut cfg.teams, name, value),
                Previous::Key(id, value) => put_back(&mut cfg.keys, id, value),
                Previous::Host(_, Some(host)) => cfg.hosts.put(host),
                Previous::Host(name, None) => {
                    cfg.hosts.remove(&name);
                }
                Previous::EntryHost(name, value) => put_back(&mut cfg.entry_hosts, name, value),
                Previous::Plan(id, value) => put_back(&mut cfg.plans, id, value),
                Previous::Progress(id, host, progress) => {
                    if let Some(plan) = cfg.plans.get_mut(&id) {
                        plan.hosts.insert(host, progress);
                    }
                }
            }
        }
    }

    /// The hosts that are draining now and were not before the entry.
    pub(crate) fn newly_draining<'a>(&'a self, cfg: &'a Configuration) -> Vec<&'a Host> {
        let mut before = BTreeMap::new();
        for previous in &self.0 {
            if let Previous::Host(name, host) = previous {
                before.entry(name).or_insert(host);
            }
        }
        let is_draining = |host: &Host| host.state == HostState::Draining;
        before
            .into_iter()
            .filter(|(_, host)| !host.as_ref().is_some_and(is_draining))
            .filter_map(|(name, _)| cfg.hosts.get(name))
            .filter(|host| is_draining(host))
            .collect()
    }

    fn save_pool(&mut self, cfg: &Configuration, name: &PoolName) {
        self.0.push(Previous::Pool(name.clone(), cfg.pools.get(name).cloned()));
    }

    fn save_service(&mut self, cfg: &Configuration, name: &ServiceName) {
        self.0.push(Previous::Service(name.clone(), cfg.services.get(name).cloned()));
    }

    fn save_team(&mut self, cfg: &Configuration, name: &TeamName) {
        self.0.push(Previous::Team(name.clone(), cfg.teams.get(name).cloned()));
    }

    fn save_key(&mut self, cfg: &Configuration, id: &KeyId) {
        self.0.push(Previous::Key(id.clone(), cfg.keys.get(id).cloned()));
    }

    fn save_host(&mut self, cfg: &Configuration, name: &HostName) {
        self.0.push(Previous::Host(name.clone(), cfg.hosts.get(name).cloned()));
    }

    fn save_progress(&mut self, cfg: &Configuration, host: &HostName) {
        if let Some((id, plan)) = cfg.holder(host) {
            let progress = plan.hosts[host];
            self.0.push(Previous::Progress(id.clone(), host.clone(), progress));
        }
    }
}

fn put_back<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, value: Option<V>) {
    match value {
        Some(value) => map.insert(key, value),
        None => map.remove(&key),
    };
}
