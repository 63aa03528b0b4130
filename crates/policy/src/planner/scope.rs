//! The scope of an intent: the kind of work and the hosts.

use std::collections::BTreeSet;

use fuchsiamill_model::{
    Host, HostName, HostState, Intent, Millisecond, PoolName, error::Error as ModelError,
};

use super::{
    bound::lower_bound,
    candidate::{Candidate, CandidateBuilder, Strategy},
    direct, drain_plans,
    error::{Error, Result},
    fleet::{Fleet, PoolIndex},
    move_plans,
    plan::LeftOut,
    step::{Step, Task},
    timing::Timing,
    wave_plans,
};

/// The kind of work and the hosts that an intent covers.
pub struct Scope<'a> {
    kind: Kind,
    hosts: Vec<(&'a Host, PoolIndex)>,
    /// Hosts that the intent covers but that the plan does not change.
    pub left_out: Vec<LeftOut>,
    /// The reason why the first host of `left_out` cannot be worked on.
    unfit: Option<Error>,
}

enum Kind {
    Direct(Step),
    Wave,
    TakeOut,
    Restore,
    Move(PoolName),
}

impl<'a> Scope<'a> {
    /// Determines the scope of an intent.
    pub fn of(fleet: &Fleet<'a>, intent: &Intent) -> Result<Self> {
        if let Some(changes) = direct::changes(intent) {
            let kind = Kind::Direct(Step::Apply { changes });
            return Ok(Self { kind, hosts: Vec::new(), left_out: Vec::new(), unfit: None });
        }
        let scope = match intent {
            Intent::Wave { pool } => {
                pool.as_ref().map(|it| require_pool(fleet, it)).transpose()?;
                let chosen = |host: &Host| pool.as_ref().is_none_or(|it| &host.pool == it);
                Self::serving(fleet, Kind::Wave, chosen)
            }
            Intent::DrainRack { rack } => Self::drain(fleet, |host| &host.rack == rack)
                .ok_or_else(|| ModelError::NoRack(rack.clone()))?,
            Intent::DrainDataCentre { data_centre } => {
                Self::drain(fleet, |host| &host.data_centre == data_centre)
                    .ok_or(Error::NothingToDo)?
            }
            Intent::DrainHost { host } => Self::drain(fleet, |it| &it.name == host)
                .ok_or_else(|| ModelError::NoHost(host.clone()))?,
            Intent::Restore { hosts } => Self::restore(fleet, hosts)?,
            Intent::MoveHosts { from, to, count } => {
                require_pool(fleet, to)?;
                Self::move_count(fleet, (require_pool(fleet, from)?, to), *count as usize)?
            }
            Intent::MoveNamed { hosts, to } => Self::move_named(fleet, hosts, to)?,
            _ => return Err(Error::NothingToDo),
        };
        match scope.unfit {
            Some(unfit) if scope.hosts.is_empty() => Err(unfit),
            None if scope.hosts.is_empty() => Err(Error::NothingToDo),
            _ => Ok(scope),
        }
    }

    /// Returns the number of hosts to work on.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns every candidate, the baseline first.
    pub fn candidates(&self, fleet: &Fleet<'a>) -> Vec<Candidate> {
        match &self.kind {
            Kind::Direct(step) => vec![Candidate {
                strategy: Strategy::Direct,
                steps: vec![step.clone()],
                blocked: BTreeSet::new(),
            }],
            Kind::Wave => wave_plans::candidates(fleet, &self.hosts),
            Kind::TakeOut => drain_plans::candidates(fleet, &self.hosts),
            Kind::Move(to) => move_plans::candidates(fleet, &self.hosts, to),
            Kind::Restore => {
                let mut builder = CandidateBuilder::new(fleet, Strategy::Direct);
                let hosts: Vec<_> = self.hosts.iter().map(|(host, _)| *host).collect();
                builder.restore(&hosts);
                vec![builder.finish()]
            }
        }
    }

    /// Returns the lower bound of any plan's roll-out time, `None` where it cannot be computed.
    pub fn lower_bound(&self, fleet: &Fleet<'_>, timing: &Timing) -> Option<Millisecond> {
        match self.kind {
            Kind::Wave => lower_bound(fleet, timing, &self.hosts, &Task::Cycle),
            _ => None,
        }
    }

    fn serving(fleet: &Fleet<'a>, kind: Kind, chosen: impl Fn(&Host) -> bool) -> Self {
        let mut scope = Self { kind, hosts: Vec::new(), left_out: Vec::new(), unfit: None };
        for host in fleet.config.hosts.values().filter(|host| chosen(host)) {
            match unfit(fleet, host, HostState::Serving) {
                None => scope.hosts.push((host, fleet.pool_of(host))),
                Some(e) => {
                    scope.left_out.push(LeftOut { host: host.name.clone(), why: e.to_string() });
                    scope.unfit.get_or_insert(e);
                }
            }
        }
        scope
    }

    fn drain(fleet: &Fleet<'a>, chosen: impl Fn(&Host) -> bool) -> Option<Self> {
        let scope = Self::serving(fleet, Kind::TakeOut, chosen);
        (scope.hosts.len() + scope.left_out.len() > 0).then_some(scope)
    }

    fn named(fleet: &Fleet<'a>, kind: Kind, names: &[HostName], needed: HostState) -> Result<Self> {
        let mut scope = Self { kind, hosts: Vec::new(), left_out: Vec::new(), unfit: None };
        let once: BTreeSet<_> = names.iter().collect();
        for name in once {
            let host = fleet.host(name).ok_or_else(|| ModelError::NoHost(name.clone()))?;
            if let Some(e) = unfit(fleet, host, needed) {
                return Err(e);
            }
            scope.hosts.push((host, fleet.pool_of(host)));
        }
        Ok(scope)
    }

    fn restore(fleet: &Fleet<'a>, names: &[HostName]) -> Result<Self> {
        Self::named(fleet, Kind::Restore, names, HostState::SetAside)
    }

    fn move_named(fleet: &Fleet<'a>, names: &[HostName], to: &PoolName) -> Result<Self> {
        let target = require_pool(fleet, to)?;
        let mut scope = Self::named(fleet, Kind::Move(to.clone()), names, HostState::Serving)?;
        scope.hosts.retain(|(_, pool)| *pool != target);
        Ok(scope)
    }

    fn move_count(
        fleet: &Fleet<'a>,
        (from, to): (PoolIndex, &PoolName),
        wanted: usize,
    ) -> Result<Self> {
        let free = fleet.free_hosts(from);
        if free.len() < wanted {
            let pool = fleet.pools[from].pool.name.clone();
            return Err(Error::TooFewHosts { pool, free: free.len(), wanted });
        }
        let chosen = move_plans::choose(free, wanted);
        let hosts = chosen.into_iter().map(|host| (host, from)).collect();
        Ok(Self { kind: Kind::Move(to.clone()), hosts, left_out: Vec::new(), unfit: None })
    }
}

fn require_pool(fleet: &Fleet<'_>, name: &PoolName) -> Result<PoolIndex> {
    Ok(fleet.pool(name).ok_or_else(|| ModelError::NoPool(name.clone()))?)
}

fn unfit(fleet: &Fleet<'_>, host: &Host, needed: HostState) -> Option<Error> {
    if let Some((plan, active)) = fleet.config.holder(&host.name) {
        return Some(Error::Model(ModelError::HostHeld {
            host: host.name.clone(),
            plan: plan.clone(),
            who: active.who.clone(),
            intent: active.intent.clone(),
        }));
    }
    (host.state != needed).then(|| Error::HostState {
        host: host.name.clone(),
        found: host.state.as_str(),
        needed: needed.as_str(),
    })
}
