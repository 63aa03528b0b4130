//! Views: which entry hosts share the pools among themselves.

use std::collections::{BTreeMap, VecDeque};

use fuchsiamill_model::{EntryName, Millisecond, Moment, PoolName};
use serde::{Deserialize, Serialize};

use super::{Membership, Mode, rendezvous::owner};

const MOST_CHAIN: usize = 32;

/// The number of a view; of two with the same number the later proposer's name wins.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewId(pub u64, pub Option<EntryName>);

/// A view: the entry hosts that share the pools.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct View {
    /// Its id.
    pub id: ViewId,
    /// Its members, in the order of their names.
    pub members: Vec<EntryName>,
    /// The newest view that any promising host had promised before. A host whose last installed view
    /// is another one may have missed an owner in between.
    pub basis: ViewId,
}

impl View {
    /// The owner of a pool in this view.
    pub fn owner(&self, pool: &PoolName) -> Option<&EntryName> {
        owner(pool, &self.members)
    }
}

/// A host's promise to a proposer that it follows no older view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ack {
    /// How the promising host counts.
    pub mode: Mode,
    /// The view that it had promised before.
    pub prior: ViewId,
    /// How long ago it heard each other host on record; hosts that it never heard are missing.
    pub ages: BTreeMap<EntryName, Millisecond>,
}

/// The time during which one host has owned a pool without a break.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TenureId {
    lapses: u64,
    since: ViewId,
}

/// Who may give out a pool's slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tenure {
    /// This host, without a break in this tenure. In a new tenure it takes over first.
    Mine(TenureId),
    /// This host may again soon, in the same tenure; until then it grants nothing.
    Suspended,
    /// Another host.
    Other(EntryName),
    /// Nobody known.
    Nobody,
}

/// What to do about the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewAction {
    /// Nothing.
    Wait,
    /// Ask every host on record to promise this view.
    Propose(View),
    /// Tell every host on record that this view is installed.
    Install(View),
}

/// A proposal that waits for promises.
#[derive(Clone, Debug)]
pub struct Proposal {
    view: View,
    began: Moment,
    acks: BTreeMap<EntryName, (Moment, Ack)>,
}

impl Proposal {
    fn decided(&self) -> View {
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
    /// Installed views, each the basis of the next, since the last lapse; the newest last.
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

    pub(super) fn heard(&mut self, promised: &ViewId, installed: &ViewId) {
        let newest = promised.max(installed);
        if newest > &self.heard_promised {
            self.heard_promised = newest.clone();
        }
    }

    /// Promises `id`; gives what was promised before.
    fn promise(&mut self, now: Moment, id: &ViewId) -> ViewId {
        self.promised_at = now;
        self.heard(id, &ViewId::default());
        std::mem::replace(&mut self.promised, id.clone())
    }

    fn install(&mut self, now: Moment, view: View) {
        if view.basis != self.installed.id {
            self.chain.clear();
        }
        self.chain.push_back(view.clone());
        if self.chain.len() > MOST_CHAIN {
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

    /// The oldest view of the unbroken run of installed views, up to the newest, that give `pool` to `me`.
    fn run_start(&self, pool: &PoolName, me: &EntryName) -> Option<&View> {
        self.chain.iter().rev().take_while(|view| view.owner(pool) == Some(me)).last()
    }
}

impl Membership {
    /// The newest view that is known to be installed.
    pub fn view(&self) -> &View {
        &self.views.installed
    }

    /// Who may give out the slots of `pool` at `now`.
    pub fn tenure(&mut self, now: Moment, pool: &PoolName) -> Tenure {
        self.observe(now);
        let views = &self.views;
        let Some(start) = views.run_start(pool, &self.me) else { return self.others_tenure(pool) };
        let is_newest = views.heard_promised == views.installed.id;
        if !is_newest || !self.has_majority(now) {
            return Tenure::Suspended;
        }
        Tenure::Mine(TenureId { lapses: views.lapses, since: start.id.clone() })
    }

    /// Names the unbroken time of majority support that this host is in, by the number of lapses
    /// before it; `None` without a majority, and for a host that is leaving.
    pub fn majority_term(&mut self, now: Moment) -> Option<u64> {
        self.observe(now);
        let may_hold = self.mode(now) == Mode::Counting && self.has_majority(now);
        may_hold.then_some(self.views.lapses)
    }

    fn others_tenure(&self, pool: &PoolName) -> Tenure {
        match self.views.installed.owner(pool) {
            Some(owner) if owner != &self.me => Tenure::Other(owner.clone()),
            _ => Tenure::Nobody,
        }
    }

    /// Takes a proposal; gives the promise, or the newer view that was promised already.
    pub fn handle_proposal(&mut self, now: Moment, view: &View) -> Result<Ack, ViewId> {
        self.observe(now);
        if view.id <= self.views.promised {
            return Err(self.views.promised.clone());
        }
        let prior = self.views.promise(now, &view.id);
        Ok(self.ack(now, prior))
    }

    /// Takes a peer's promise of this host's own proposal.
    pub fn handle_ack(&mut self, now: Moment, from: EntryName, id: &ViewId, ack: Ack) {
        if let Some(proposal) = self.views.proposal.as_mut().filter(|it| &it.view.id == id) {
            proposal.acks.insert(from, (now, ack));
        }
    }

    /// Takes note that a peer has promised a newer view than this host proposed.
    pub fn handle_refusal(&mut self, promised: &ViewId) {
        self.views.heard(promised, &ViewId::default());
    }

    /// Takes a view that was installed.
    pub fn handle_installed(&mut self, now: Moment, view: View) {
        self.observe(now);
        if view.id > self.views.promised {
            self.views.promise(now, &view.id);
        }
        if view.id > self.views.installed.id {
            self.views.install(now, view);
        }
    }

    /// Decides at `now` whether to propose or to install a view.
    pub fn view_step(&mut self, now: Moment) -> ViewAction {
        self.observe(now);
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

    /// Notes whether majority support has lapsed since it was last seen.
    pub(super) fn observe_majority(&mut self, now: Moment) {
        let seen = if self.has_majority(now) { Support::Majority } else { Support::Lapsed };
        let before = std::mem::replace(&mut self.views.support, seen);
        if before == Support::Majority && seen == Support::Lapsed {
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
        let others_silent =
            left_out.into_iter().all(|it| self.has_lost_ownership(now, proposal, it));
        let ready = has_majority && members_acked && others_silent;
        ready.then(|| proposal.decided())
    }

    /// Whether a host that the view leaves out has promised it, or has had no support since every promise.
    fn has_lost_ownership(&self, now: Moment, proposal: &Proposal, host: &EntryName) -> bool {
        if proposal.acks.contains_key(host) {
            return true;
        }
        let wait = self.timing.standing_with_drift();
        proposal.acks.iter().filter(|(_, (_, ack))| ack.mode.counts()).all(|(_, (at, ack))| {
            let silent = ack.ages.get(host).copied().unwrap_or(wait);
            silent + now.since(*at) >= wait
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
            return own.view.members != alive || now.since(own.began) >= self.patience();
        }
        let rank = alive.iter().position(|it| it == &self.me).unwrap_or(alive.len()) as u64;
        rank == 0 && settled || now.since(self.views.promised_at) >= self.patience() * (rank + 1)
    }

    fn patience(&self) -> Millisecond {
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

    /// The hosts on record that count, do not leave and were heard within the suspicion time. A host
    /// that a new view lets in counts from then on: its first heartbeat that says so may come later.
    fn alive(&self, now: Moment) -> Vec<EntryName> {
        let is_new = now.since(self.views.installed_at) < self.timing.suspect;
        let let_in = |name: &EntryName| is_new && self.views.installed.members.contains(name);
        let counting = |(name, mode, _): (&EntryName, Mode, _)| {
            let counts = mode == Mode::Counting || mode == Mode::Starting && let_in(name);
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
