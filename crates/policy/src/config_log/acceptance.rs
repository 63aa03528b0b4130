//! When a written change counts as accepted.
//!
//! A change is accepted once there was a moment at which a majority of the entry hosts on record all
//! knew it, and every other one has told since then that it knows it, or has lost any standing that it
//! had before: the standing time with drift has passed since that moment.
//!
//! One acknowledgement of each does not show such a moment: a host may acknowledge, restart and forget
//! before the majority is complete. A host knew the change between two of its messages of one
//! incarnation: from the moment at which the first arrived here to the moment at which this host sent
//! the heartbeat that the later one echoes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fuchsiamill_model::{EntryName, Incarnation, Millisecond, Moment, Version};

const PERCENT: u64 = 100;

/// How far an entry in the table is on its way to be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// No majority has confirmed it yet; these hosts have not told that they know it.
    Spreading(Vec<EntryName>),
    /// A majority has confirmed it; these hosts have not and serve no more from this moment on.
    Waiting(Vec<EntryName>, Moment),
    /// It is accepted; these hosts have still to hear of it before they serve again.
    Accepted(Vec<EntryName>),
}

/// What an entry host told of itself.
#[derive(Clone, Debug)]
pub struct VersionReport {
    /// The host.
    pub host: EntryName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The newest version that it knows.
    pub version: Version,
    /// When the host that takes note had sent the heartbeat that this one echoes.
    pub echo: Moment,
}

/// The time in which one incarnation certainly knew a version; empty when `until` is before `since`.
#[derive(Clone, Copy, Debug)]
struct Known {
    since: Moment,
    until: Moment,
}

#[derive(Clone, Debug)]
struct Pending {
    version: Version,
    record: BTreeSet<EntryName>,
    known: BTreeMap<EntryName, Known>,
    majority_at: Option<Moment>,
    confirmed: BTreeSet<EntryName>,
}

/// Follows which versions are accepted, from what each entry host tells of itself.
#[derive(Clone, Debug)]
pub struct Acceptance {
    wait: Millisecond,
    accepted: Version,
    record: BTreeSet<EntryName>,
    last: BTreeMap<EntryName, (Incarnation, Version)>,
    pending: VecDeque<Pending>,
}

impl Acceptance {
    /// Follows from an accepted version on; `record` are the entry hosts on record at that version.
    ///
    /// `standing` is the standing time; `drift_percent` the most by which two clocks differ.
    pub fn new(
        accepted: Version,
        record: impl IntoIterator<Item = EntryName>,
        standing: Millisecond,
        drift_percent: u32,
    ) -> Self {
        let margin = (standing * u64::from(drift_percent)).div_ceil(PERCENT);
        Self {
            wait: standing + margin,
            accepted,
            record: record.into_iter().collect(),
            last: BTreeMap::new(),
            pending: VecDeque::new(),
        }
    }

    /// The newest accepted version.
    pub fn accepted(&self) -> Version {
        self.accepted
    }

    /// Takes note of an entry that is certainly in the table, with the record after it.
    pub fn record_written(
        &mut self,
        version: Version,
        record: impl IntoIterator<Item = EntryName>,
        now: Moment,
    ) {
        let newest = self.pending.back().map_or(self.accepted, |last| last.version);
        if version <= newest {
            return;
        }
        let knows = |(host, (_, known)): (&EntryName, &(Incarnation, Version))| {
            // The message that told so has arrived before, so only a later one can end the span.
            let span = Known { since: now, until: Moment::default() };
            (*known >= version).then(|| (host.clone(), span))
        };
        self.pending.push_back(Pending {
            version,
            record: record.into_iter().collect(),
            known: self.last.iter().filter_map(knows).collect(),
            majority_at: None,
            confirmed: BTreeSet::new(),
        });
        self.advance(now);
    }

    /// Takes note of what a host told, this host itself included.
    pub fn record_report(&mut self, told: &VersionReport, now: Moment) {
        let is_same = |(incarnation, _): &(Incarnation, Version)| *incarnation == told.incarnation;
        let restarted = !self.last.get(&told.host).is_some_and(is_same);
        self.last.insert(told.host.clone(), (told.incarnation.clone(), told.version));
        for pending in &mut self.pending {
            if restarted {
                pending.known.remove(&told.host);
            }
            if told.version >= pending.version {
                pending.note(told, now);
            }
        }
        self.advance(now);
    }

    /// Takes note that a version is accepted, as the host that wrote it told.
    pub fn accept(&mut self, version: Version) {
        while let Some(pending) = self.pending.pop_front_if(|it| it.version <= version) {
            self.accepted = pending.version;
            self.record = pending.record;
        }
    }

    /// Takes note that time has passed; answers the newest accepted version.
    pub fn tick(&mut self, now: Moment) -> Version {
        self.advance(now);
        self.accepted
    }

    /// When [`Acceptance::tick`] may next find something accepted by time alone.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.pending.front().and_then(|pending| pending.majority_at).map(|at| at + self.wait)
    }

    /// Whether some written version is not accepted yet.
    pub fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// How far a version is.
    pub fn confirmation(&self, version: Version) -> Confirmation {
        let missing = |record: &BTreeSet<EntryName>| {
            record.iter().filter(|host| !self.knows(host, version)).cloned().collect()
        };
        if version <= self.accepted {
            return Confirmation::Accepted(missing(&self.record));
        }
        let Some(pending) = self.pending.iter().find(|pending| pending.version >= version) else {
            return Confirmation::Spreading(missing(&self.record));
        };
        match pending.majority_at {
            None => Confirmation::Spreading(missing(&pending.record)),
            Some(at) => Confirmation::Waiting(missing(&pending.record), at + self.wait),
        }
    }

    /// What each host on record told last; a host that told nothing is at version zero.
    pub fn versions(&self) -> BTreeMap<EntryName, Version> {
        let record = self.pending.back().map_or(&self.record, |last| &last.record);
        let told = |host: &EntryName| self.last.get(host).map(|(_, version)| *version);
        record.iter().map(|host| (host.clone(), told(host).unwrap_or_default())).collect()
    }

    fn knows(&self, host: &EntryName, version: Version) -> bool {
        self.last.get(host).is_some_and(|(_, known)| *known >= version)
    }

    fn advance(&mut self, now: Moment) {
        while let Some(pending) = self.pending.front_mut() {
            let Some(majority_at) = pending.find_majority() else { return };
            let mut others = self.record.union(&pending.record);
            let all_know = others.all(|host| pending.confirmed.contains(host));
            if !all_know && now.since(majority_at) <= self.wait {
                return;
            }
            self.accepted = pending.version;
            self.record = std::mem::take(&mut pending.record);
            self.pending.pop_front();
        }
    }
}

impl Pending {
    fn note(&mut self, told: &VersionReport, now: Moment) {
        let known = Known { since: now, until: told.echo };
        let known = self.known.entry(told.host.clone()).or_insert(known);
        known.until = known.until.max(told.echo);
        if self.majority_at.is_some_and(|at| told.echo >= at) {
            self.confirmed.insert(told.host.clone());
        }
    }

    /// The first moment at which a majority of the record all knew the version.
    fn find_majority(&mut self) -> Option<Moment> {
        if self.majority_at.is_some() {
            return self.majority_at;
        }
        let spans: Vec<Known> = self
            .known
            .iter()
            .filter(|(host, _)| self.record.contains(*host))
            .map(|it| *it.1)
            .collect();
        let holds = |at: &Moment| {
            let knowing = spans.iter().filter(|span| span.since <= *at && *at <= span.until);
            knowing.count() > self.record.len() / 2
        };
        let at = spans.iter().map(|span| span.since).filter(holds).min()?;
        self.majority_at = Some(at);
        let confirmed = self.known.iter().filter(|(_, span)| span.until >= at);
        self.confirmed = confirmed.map(|(host, _)| host.clone()).collect();
        Some(at)
    }
}
