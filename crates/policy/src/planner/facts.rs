//! The configuration facts that a plan depends on, stored with it to detect that it is out of date.

use std::collections::BTreeMap;

use fuchsiamill_model::{
    Configuration, HostName, HostState, Intent, Key, KeyId, Pool, PoolName, Slots, Team, TeamName,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::step::{Step, Task};

/// The facts about one pool that a plan depends on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolFacts {
    /// The pool and its budget, `None` if it does not exist.
    pub pool: Option<Pool>,
    /// The slots of the serving hosts, only when the plan takes hosts out of the pool or into it.
    pub serving: Option<Slots>,
}

/// The facts about one host that a plan depends on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostFacts {
    /// The pool that the host belongs to.
    pub pool: PoolName,
    /// The host's state.
    pub state: HostState,
    /// The host's slots.
    pub slots: Slots,
}

/// The configuration facts that a plan depends on; `None` stands for an item that does not exist.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Facts {
    /// The pools that the plan changes.
    pub pools: BTreeMap<PoolName, PoolFacts>,
    /// The hosts that the plan changes.
    pub hosts: BTreeMap<HostName, Option<HostFacts>>,
    /// The teams that the plan changes.
    pub teams: BTreeMap<TeamName, Option<Team>>,
    /// The keys that the plan changes.
    pub keys: BTreeMap<KeyId, Option<Key>>,
}

impl Facts {
    /// Collects the facts that an intent and its steps depend on.
    pub fn gather(config: &Configuration, intent: &Intent, steps: &[Step]) -> Self {
        let mut facts = Self::default();
        for work in steps.iter().filter_map(Step::work) {
            if let Task::Move { to } = &work.task {
                facts.add_pool(config, to);
            }
            work.hosts().for_each(|host| facts.add_host(config, host));
        }
        facts.add_intent_targets(config, intent);
        facts
    }

    /// Returns the same facts, read from a later configuration.
    pub fn refreshed(&self, config: &Configuration) -> Self {
        let mut facts = Self::default();
        for (pool, known) in &self.pools {
            match known.serving {
                Some(_) => facts.add_pool(config, pool),
                None => facts.add_budget(config, pool),
            }
        }
        for host in self.hosts.keys() {
            facts.hosts.insert(host.clone(), host_facts(config, host));
        }
        self.teams.keys().for_each(|it| facts.add_team(config, it));
        self.keys.keys().for_each(|it| facts.add_key(config, it));
        facts
    }

    /// Returns the SHA-256 digest of the facts, in hexadecimal digits.
    pub fn digest(&self) -> String {
        let text = serde_json::to_vec(self).unwrap_or_default();
        Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Describes each difference between these facts and `now` in one sentence.
    pub fn changed(&self, now: &Facts) -> Vec<String> {
        let hosts = differing(&self.hosts, &now.hosts).map(|(name, was, is)| {
            format!("Host '{name}' was {} and is {}.", describe_host(was), describe_host(is))
        });
        let pools = differing(&self.pools, &now.pools)
            .map(|(name, was, is)| format!("Pool '{name}' {}.", describe_pool_change(was, is)));
        let teams = differing(&self.teams, &now.teams)
            .map(|(name, was, is)| format!("Team '{name}' {}.", describe_team_change(was, is)));
        let keys = differing(&self.keys, &now.keys)
            .map(|(name, _, is)| format!("Key '{name}' {}.", describe_key_change(is)));
        hosts.chain(pools).chain(teams).chain(keys).collect()
    }

    fn add_intent_targets(&mut self, config: &Configuration, intent: &Intent) {
        match intent {
            Intent::GrantKey { key } => {
                self.add_key(config, &key.id);
                self.add_team(config, &key.team);
            }
            Intent::WithdrawKey { key } => self.add_key(config, key),
            Intent::PutTeam { team } => self.add_team(config, &team.name),
            Intent::SetShare { team, .. } | Intent::SetUpperLimit { team, .. } => {
                self.add_team(config, team);
            }
            Intent::PutPool { pool } => self.add_budget(config, &pool.name),
            Intent::PutService { service } => self.add_budget(config, &service.pool),
            Intent::AddHosts { hosts } => hosts.iter().for_each(|host| {
                self.hosts.insert(host.name.clone(), host_facts(config, &host.name));
            }),
            _ => {}
        }
    }

    fn add_pool(&mut self, config: &Configuration, name: &PoolName) {
        if !self.pools.contains_key(name) {
            let pool = config.pools.get(name).cloned();
            let serving = Some(config.serving_slots(name));
            self.pools.insert(name.clone(), PoolFacts { pool, serving });
        }
    }

    fn add_budget(&mut self, config: &Configuration, name: &PoolName) {
        let pool = config.pools.get(name).cloned();
        self.pools.insert(name.clone(), PoolFacts { pool, serving: None });
    }

    fn add_host(&mut self, config: &Configuration, name: &HostName) {
        let facts = host_facts(config, name);
        if let Some(facts) = &facts {
            self.add_pool(config, &facts.pool);
        }
        self.hosts.insert(name.clone(), facts);
    }

    fn add_team(&mut self, config: &Configuration, name: &TeamName) {
        self.teams.insert(name.clone(), config.teams.get(name).cloned());
    }

    fn add_key(&mut self, config: &Configuration, name: &KeyId) {
        self.keys.insert(name.clone(), config.keys.get(name).cloned());
    }
}

fn host_facts(config: &Configuration, name: &HostName) -> Option<HostFacts> {
    let host = config.hosts.get(name)?;
    Some(HostFacts { pool: host.pool.clone(), state: host.state, slots: host.slots })
}

fn differing<'a, K: Ord, V: PartialEq>(
    was: &'a BTreeMap<K, V>,
    is: &'a BTreeMap<K, V>,
) -> impl Iterator<Item = (&'a K, &'a V, &'a V)> {
    was.iter().filter_map(|(key, was)| is.get(key).map(|is| (key, was, is))).filter(differs)
}

fn differs<K, V: PartialEq>(&(_, was, is): &(&K, &V, &V)) -> bool {
    was != is
}

fn describe_host(facts: &Option<HostFacts>) -> String {
    match facts {
        Some(facts) => {
            let HostFacts { pool, state, slots } = facts;
            format!("{} in pool '{pool}' with {slots} slots", state.as_str())
        }
        None => "not there".into(),
    }
}

fn describe_pool_change(was: &PoolFacts, is: &PoolFacts) -> String {
    match (was.pool == is.pool, &is.pool) {
        (_, None) => "is gone".into(),
        (false, Some(_)) if was.pool.is_none() => "was made".into(),
        (false, Some(pool)) => format!(
            "has a new budget of {} serving slots and {} hosts out in a data centre",
            pool.least_serving, pool.most_out_per_domain
        ),
        (true, _) => {
            let [was, is] = [was.serving, is.serving].map(Option::unwrap_or_default);
            format!("served with {was} slots and serves with {is}")
        }
    }
}

fn describe_team_change(was: &Option<Team>, is: &Option<Team>) -> String {
    match (was, is) {
        (_, None) => "is gone".into(),
        (None, Some(_)) => "was made".into(),
        (Some(was), Some(is)) if was.share != is.share => {
            format!("had share {} and has {}", was.share, is.share)
        }
        (Some(was), Some(is)) if was.upper_limit != is.upper_limit => {
            format!("had upper limit {} and has {}", was.upper_limit, is.upper_limit)
        }
        _ => "has other settings".into(),
    }
}

fn describe_key_change(is: &Option<Key>) -> &'static str {
    match is {
        Some(_) => "was granted",
        None => "was withdrawn",
    }
}
