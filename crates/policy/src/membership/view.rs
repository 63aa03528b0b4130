//! Views: the sets of entry hosts among which the pools are divided.

use std::collections::{BTreeMap, VecDeque};

use fuchsiamill_model::{EntryName, Millisecond, Moment, PoolName};
use serde::{Deserialize, Serialize};

use super::{Membership, Mode, rendezvous::owner};

/// Installed views that are kept to find the start of a tenure.
const MAX_CHAIN: usize = 32;

/// The number of a view and its proposer; between views of one number the greater name wins.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewId(pub u64, pub Option<EntryName>);

/// A view: the entry hosts among which the pools are divided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct View {
    /// The id, which orders the views.
    pub id: ViewId,
    /// The members, sorted by name.
    pub members: Vec<EntryName>,
    /// The newest view that any of the acknowledging hosts had promised before. A host whose last
    /// installed view is a different one may have missed a view in which another host owned a pool.
    pub basis: ViewId,
}

impl View {
    /// Returns the owner of a pool in this view.
    pub fn owner(&self, pool: &PoolName) -> Option<&EntryName> {
        owner(pool, &self.members)
    }
}

/// A host's acknowledgement of a proposal: a promise to follow no older view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ack {
    /// The mode of the acknowledging host.
    pub mode: Mode,
    /// The view that the host had promised before.
    pub prior: ViewId,
    /// The time since the host last heard each other host on record; hosts never heard are absent.
    pub ages: BTreeMap<EntryName, Millisecond>,
}

/// The id of a tenure, a time in which one host owns a pool without interruption.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TenureId {
    lapses: u64,
    since: ViewId,
}

/// Who may give out a pool's slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tenure {
    /// This host, within this tenure. When the tenure is new, the host first takes over the pool's state.
    Mine(TenureId),
    /// Nobody at present; this host grants nothing but may continue in the same tenure later.
    Suspended,
    /// This other host, by the installed view.
    Other(EntryName),
    /// No host that is known.
    Nobody,
}

/// What to do next about the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewAction {
    /// Nothing.
    Wait,
    /// Send this proposal to every host on record.
    Propose(View),
    /// Send this installed view to every host on record.
    Install(View),
}

/// A proposal that waits for acknowledgements.
#[derive(Clone, Debug)]
pub struct Proposal {
    view: View,
    began: Moment,
    acks: BTreeMap<EntryName, (Moment, Ack)>,
}

impl Proposal {
    fn final_view(&self) -> View {
        let basis =
            self.acks.values().map(|(_, ack)| &ack.prior).max().cloned().unwrap_or_default();
        View { basis, ..self.view.clone() }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Support {
    #[default]
    Lapsed,
    Majority,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Views {
    promised: ViewId,
    promised_at: Moment,
    heard_promised: ViewId,
    /// Installed views since the last lapse, oldest first; each is the basis of the next.
    chain: VecDeque<View>,
    installed: View,
    installed_at: Moment,
    lapses: u64,
    support: Support,
    proposal: Option<Proposal>,
}

impl Views {
    pub(super) fn promised_id(&self) -> ViewId {
        self.promised.clone()
    }

    pub(super) fn installed_id(&self) -> ViewId {
        self.installed.id.clone()
    }

    pub(super) fn record_heard(&mut self, promised: &ViewId, installed: &ViewId) {
        let newest = promised.max(installed);
        if newest > &self.heard_promised {
            self.heard_promised = newest.clone();
        }
    }

    /// Promises `id` and returns what was promised before.
    fn promise(&mut self, now: Moment, id: &ViewId) -> ViewId {
        self.promised_at = now;
        self.record_heard(id, &ViewId::default());
        std::mem::replace(&mut self.promised, id.clone())
    }

    fn install(&mut self, now: Moment, view: View) {
        if view.basis != self.installed.id {
            self.chain.clear();
        }
        self.chain.push_back(view.clone());
        if self.chain.len() > MAX_CHAIN {
            self.chain.pop_front();
        }
        self.installed = view;
        self.installed_at = now;
    }

    fn lapse(&mut self) {
        self.lapses += 1;
        self.chain.clear();
        self.chain.push_back(self.installed.clone());
    }

    /// Returns the oldest of the consecutive latest views in which `me` owns `pool`.
    fn run_start(&self, pool: &PoolName, me: &EntryName) -> Option<&View> {
        self.chain.iter().rev().take_while(|view| view.owner(pool) == Some(me)).last()
    }
}

impl Membership {
    /// Returns the newest view that is known to be installed.
    pub fn view(&self) -> &View {
        &self.views.installed
    }

    /// Returns who may give out the slots of `pool` at `now`.
    pub fn tenure(&mut self, now: Moment, pool: &PoolName) -> Tenure {
        self.update(now);
        let views = &self.views;
        let Some(start) = views.run_start(pool, &self.me) else { return self.others_tenure(pool) };
        let is_newest = views.heard_promised == views.installed.id;
        if !is_newest || !self.has_majority(now) {
            return Tenure::Suspended;
        }
        Tenure::Mine(TenureId { lapses: views.lapses, since: start.id.clone() })
    }

    /// Returns a number for the current uninterrupted time of majority support: the number of lapses
    /// before it. It is `None` without a majority and for a host that is starting or leaving.
    pub fn majority_term(&mut self, now: Moment) -> Option<u64> {
        self.update(now);
        let may_hold = self.mode(now) == Mode::Counting && self.has_majority(now);
        may_hold.then_some(self.views.lapses)
    }

    fn others_tenure(&self, pool: &PoolName) -> Tenure {
        match self.views.installed.owner(pool) {
            Some(owner) if owner != &self.me => Tenure::Other(owner.clone()),
            _ => Tenure::Nobody,
        }
    }

    /// Handles a proposal; returns the acknowledgement, or the newer view that was promised already.
    pub fn handle_proposal(&mut self, now: Moment, view: &View) -> Result<Ack, ViewId> {
        self.update(now);
        if view.id <= self.views.promised {
            return Err(self.views.promised.clone());
        }
        let prior = self.views.promise(now, &view.id);
        Ok(self.ack(now, prior))
    }

    /// Records a peer's acknowledgement of this host's own proposal.
    pub fn handle_ack(&mut self, now: Moment, from: EntryName, id: &ViewId, ack: Ack) {
        if let Some(proposal) = self.views.proposal.as_mut().filter(|it| &it.view.id == id) {
            proposal.acks.insert(from, (now, ack));
        }
    }

    /// Records that a peer has promised a newer view than this host's proposal.
    pub fn handle_refusal(&mut self, promised: &ViewId) {
        self.views.record_heard(promised, &ViewId::default());
    }

    /// Records a view that was installed.
    pub fn handle_installed(&mut self, now: Moment, view: View) {
        self.update(now);
        if view.id > self.views.promised {
            self.views.promise(now, &view.id);
        }
        if view.id > self.views.installed.id {
            self.views.install(now, view);
        }
    }

    /// Decides whether to propose or to install a view at `now`.
    pub fn view_step(&mut self, now: Moment) -> ViewAction {
        self.update(now);
        if self.mode(now) != Mode::Counting || !self.record.contains(&self.me) {
            return ViewAction::Wait;
        }
        if let Some(view) = self.ready_view(now) {
            self.views.proposal = None;
            self.handle_installed(now, view.clone());
            return ViewAction::Install(view);
        }
        if !self.should_propose(now) {
            return ViewAction::Wait;
        }
        self.propose(now)
    }

    /// Records whether this host has majority support at `now`; a loss of it counts as a lapse.
    pub(super) fn update_support(&mut self, now: Moment) {
        let current = if self.has_majority(now) { Support::Majority } else { Support::Lapsed };
        let before = std::mem::replace(&mut self.views.support, current);
        if before == Support::Majority && current == Support::Lapsed {
            self.views.lapse();
        }
    }

    fn ack(&self, now: Moment, prior: ViewId) -> Ack {
        let known =
            |name: &EntryName| Some((name.clone(), now.since(self.peers.get(name)?.last_heard)));
        Ack { mode: self.mode(now), prior, ages: self.record.iter().filter_map(known).collect() }
    }

    fn ready_view(&self, now: Moment) -> Option<View> {
        let proposal = self.views.proposal.as_ref()?;
        if proposal.view.id != self.views.promised {
            return None;
        }
        let counting = proposal
            .acks
            .iter()
            .filter(|(name, (_, ack))| ack.mode.counts() && self.record.contains(*name));
        let has_majority = counting.count() >= self.majority();
        let members_acked = proposal.view.members.iter().all(|it| proposal.acks.contains_key(it));
        let left_out = self.record.iter().filter(|it| !proposal.view.members.contains(it));
        let others_lost_ownership =
            left_out.into_iter().all(|it| self.has_lost_ownership(now, proposal, it));
        let ready = has_majority && members_acked && others_lost_ownership;
        ready.then(|| proposal.final_view())
    }

    /// Returns whether a host outside the view can own no pool any more.
    ///
    /// That is so once the host has acknowledged the proposal. Otherwise, the standing time with drift has
    /// to pass for every acknowledging host that counts, from when it last heard the host before its
    /// acknowledgement.
    fn has_lost_ownership(&self, now: Moment, proposal: &Proposal, host: &EntryName) -> bool {
        if proposal.acks.contains_key(host) {
            return true;
        }
        let wait = self.timing.standing_with_drift();
        proposal.acks.iter().filter(|(_, (_, ack))| ack.mode.counts()).all(|(_, (at, ack))| {
            let silence = ack.ages.get(host).copied().unwrap_or(wait);
            silence + now.since(*at) >= wait
        })
    }

    fn should_propose(&self, now: Moment) -> bool {
        let alive = self.alive(now);
        if alive.len() < self.majority() {
            return false;
        }
        let settled = self.views.heard_promised == self.views.installed.id;
        if settled && self.views.installed.members == alive {
            return false;
        }
        if let Some(own) =
            self.views.proposal.as_ref().filter(|it| it.view.id == self.views.promised)
        {
            return own.view.members != alive || now.since(own.began) >= self.retry_interval();
        }
        let rank = alive.iter().position(|it| it == &self.me).unwrap_or(alive.len()) as u64;
        rank == 0 && settled
            || now.since(self.views.promised_at) >= self.retry_interval() * (rank + 1)
    }

    fn retry_interval(&self) -> Millisecond {
        self.timing.suspect + self.timing.standing_with_drift()
    }

    fn propose(&mut self, now: Moment) -> ViewAction {
        let id = ViewId(self.views.heard_promised.0 + 1, Some(self.me.clone()));
        let view = View { id, members: self.alive(now), basis: ViewId::default() };
        let prior = self.views.promise(now, &view.id);
        let own = (self.me.clone(), (now, self.ack(now, prior)));
        self.views.proposal =
            Some(Proposal { view: view.clone(), began: now, acks: BTreeMap::from([own]) });
        ViewAction::Propose(view)
    }

    /// Returns the hosts on record that count, are not leaving and were heard within the suspicion time.
    ///
    /// A starting host that a newly installed view contains is included for the suspicion time, because
    /// its first heartbeat as a counting host may arrive later than the view.
    fn alive(&self, now: Moment) -> Vec<EntryName> {
        let is_new = now.since(self.views.installed_at) < self.timing.suspect;
        let admitted = |name: &EntryName| is_new && self.views.installed.members.contains(name);
        let counting = |(name, mode, _): (&EntryName, Mode, _)| {
            let counts = mode == Mode::Counting || mode == Mode::Starting && admitted(name);
            counts.then(|| name.clone())
        };
        let mut alive: Vec<EntryName> = self
            .live_peers(now)
            .filter_map(counting)
            .filter(|it| self.record.contains(it))
            .collect();
        if self.mode(now) == Mode::Counting {
            alive.push(self.me.clone());
        }
        alive.sort_unstable();
        alive
    }
}
