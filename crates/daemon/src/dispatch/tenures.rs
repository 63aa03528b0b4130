//! Keeps the dispatch's idea of what it owns in step with the cluster's.

use fuchsiamill_model::{EntryName, FastMap, FastSet, HostName, PoolName};
use fuchsiamill_policy::{dispatch::GrantState, membership::View, slots::Intake};

use super::{
    rpc::{IN_FLIGHT, InFlightOf},
    task::{Command, Task},
};
use crate::{
    backend::Take,
    cluster::{Tenure, TenureId},
};

/// What the dispatch was told last.
#[derive(Default)]
pub struct Known {
    term: Option<u64>,
    view: View,
    pub(super) tenures: FastMap<PoolName, TenureId>,
    restricted: FastSet<HostName>,
}

impl Task {
    /// Whether this host has the majority support that owning and lending need.
    ///
    /// Called before every step, since a process may have been paused just before it.
    pub(super) fn sync(&mut self) -> bool {
        let term = self.cx.cluster.majority_term();
        if self.known.term != term {
            if self.known.term.is_some() {
                let actions = self.dispatch.lose_standing();
                self.known.tenures.clear();
                self.carry_out(actions);
            }
            self.known.term = term;
        }
        if term.is_none() {
            return false;
        }
        self.sync_members();
        for pool in self.cx.config.current().pools.keys() {
            self.sync_pool(pool);
        }
        true
    }

    fn sync_members(&mut self) {
        let view = self.cx.cluster.view();
        let incarnation = |name| match name == self.cx.cluster.me() {
            true => Some(self.cx.incarnation.clone()),
            false => self.cx.cluster.incarnation_of(name),
        };
        let members: Option<FastMap<_, _>> =
            view.members.iter().map(|name| Some((name.clone(), incarnation(name)?))).collect();
        // A member whose process is not known yet must not be taken for gone.
        if let Some(members) = members {
            self.dispatch.set_members(members);
        }
        self.known.view = view;
    }

    fn sync_pool(&mut self, pool: &PoolName) {
        let now = self.cx.clock.now();
        let actions = match self.cx.cluster.tenure(pool) {
            Tenure::Mine(id) if self.known.tenures.get(pool) == Some(&id) => {
                self.dispatch.set_grant_state(now, pool, GrantState::Enabled)
            }
            Tenure::Mine(id) => {
                self.known.tenures.insert(pool.clone(), id.clone());
                let actions = self.dispatch.begin_tenure(now, pool);
                let leaving = self.cx.cluster.leaving_peers();
                for entry in &leaving {
                    self.dispatch.await_leaving(pool, entry.clone());
                }
                self.ask_in_flight(pool, &id, leaving);
                actions
            }
            Tenure::Suspended => self.dispatch.set_grant_state(now, pool, GrantState::Suspended),
            Tenure::Other(_) | Tenure::Nobody => {
                if self.known.tenures.remove(pool).is_none() {
                    return;
                }
                self.dispatch.end_tenure(pool)
            }
        };
        self.carry_out(actions);
    }

    /// Asks every member of the view, this host included, and those that are leaving what they still run in the pool.
    fn ask_in_flight(&self, pool: &PoolName, tenure: &TenureId, leaving: Vec<EntryName>) {
        let of = InFlightOf { pool: pool.clone(), view: self.known.view.id.clone() };
        let members = self.known.view.members.clone();
        let leaving = leaving.into_iter().filter(|it| !self.known.view.members.contains(it));
        for entry in members.into_iter().chain(leaving) {
            let (cx, tx) = (self.cx.clone(), self.tx.clone());
            let (of, tenure) = (of.clone(), tenure.clone());
            monoio::spawn(async move {
                let in_flight = if &entry == cx.cluster.me() {
                    Ok(cx.dispatch.in_flight(cx.clock.now(), &of.pool))
                } else {
                    cx.cluster.call(&entry, IN_FLIGHT, &of).await
                };
                if let Ok(in_flight) = in_flight {
                    let pool = of.pool;
                    let _ = tx.send(Command::Reported { pool, tenure, entry, in_flight });
                }
            });
        }
    }

    /// Passes on which backend servers may take new work: those that are restricted now, and those
    /// that were the last time.
    pub(super) fn sync_intake(&mut self) {
        let now = self.cx.clock.now();
        let config = self.cx.config.current();
        let restricted = self.cx.health.restricted();
        let before = std::mem::replace(&mut self.known.restricted, restricted);
        for host in before.union(&self.known.restricted).filter_map(|it| config.hosts.get(it)) {
            let intake = match self.cx.health.may_take(now, &host.pool, &host.name) {
                Take::Yes => Intake::Open,
                Take::Trial => Intake::Trial,
                Take::No => Intake::Closed,
            };
            self.dispatch.set_intake(&host.pool, &host.name, intake);
        }
    }
}
