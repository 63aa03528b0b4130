//! Decides when a written change counts as accepted.
//!
//! A change is accepted once there was a moment at which a majority of the entry hosts on record knew
//! it, and each other host has either reported since then that it knows the change, or has lost the
//! standing that it had at that moment, because the standing time with drift has passed.
//!
//! One acknowledgement of each host does not prove such a moment: a host may acknowledge, restart and
//! lose its state before the majority is complete. Two messages of one incarnation prove that the host
//! knew the change from the arrival of the first one here until this host sent the heartbeat that the
//! later one echoes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fuchsiamill_model::{EntryName, Incarnation, Millisecond, Moment, Version};

const PERCENT: u64 = 100;

/// The progress of an entry in the table towards acceptance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// No majority has confirmed the entry yet; these hosts have not reported that they know it.
    Spreading(Vec<EntryName>),
    /// A majority has confirmed the entry; these hosts have not reported it and lose standing at this time.
    Waiting(Vec<EntryName>, Moment),
    /// The entry is accepted; these hosts have to learn of it before they may serve again.
    Accepted(Vec<EntryName>),
}

/// The configuration version that an entry host reports to know.
#[derive(Clone, Debug)]
pub struct VersionReport {
    /// The reporting host.
    pub host: EntryName,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// The newest version that the host knows.
    pub version: Version,
    /// When the receiver of the report had sent the heartbeat that the report echoes.
    pub echo: Moment,
}

/// The time span in which one incarnation certainly knew a version; empty when `until` is before `since`.
#[derive(Clone, Copy, Debug)]
struct KnownSpan {
    since: Moment,
    until: Moment,
}

#[derive(Clone, Debug)]
struct Pending {
    version: Version,
    record: BTreeSet<EntryName>,
    known: BTreeMap<EntryName, KnownSpan>,
    majority_at: Option<Moment>,
    confirmed: BTreeSet<EntryName>,
}

/// Tracks which versions are accepted, from the reports of the entry hosts.
#[derive(Clone, Debug)]
pub struct Acceptance {
    wait: Millisecond,
    accepted: Version,
    record: BTreeSet<EntryName>,
    last: BTreeMap<EntryName, (Incarnation, Version)>,
    pending: VecDeque<Pending>,
}

impl Acceptance {
    /// Starts at an accepted version; `record` holds the entry hosts on record at that version.
    ///
    /// `standing` is the standing time; `drift_percent` is the maximum drift between two clocks.
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

    /// Returns the newest accepted version.
    pub fn accepted(&self) -> Version {
        self.accepted
    }

    /// Records an entry that is certainly in the table, with the entry hosts on record after it.
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
            // The host's report arrived before `now`, so only a later report can end the span.
            let span = KnownSpan { since: now, until: Moment::default() };
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

    /// Records a report of any entry host, this host included.
    pub fn record_report(&mut self, report: &VersionReport, now: Moment) {
        let is_same =
            |(incarnation, _): &(Incarnation, Version)| *incarnation == report.incarnation;
        let restarted = !self.last.get(&report.host).is_some_and(is_same);
        self.last.insert(report.host.clone(), (report.incarnation.clone(), report.version));
        for pending in &mut self.pending {
            if restarted {
                pending.known.remove(&report.host);
            }
            if report.version >= pending.version {
                pending.record_report(report, now);
            }
        }
        self.advance(now);
    }

    /// Records that a version is accepted, as reported by the host that wrote it.
    pub fn accept(&mut self, version: Version) {
        while let Some(pending) = self.pending.pop_front_if(|it| it.version <= version) {
            self.accepted = pending.version;
            self.record = pending.record;
        }
    }

    /// Accepts what time alone has made acceptable at `now`; returns the newest accepted version.
    pub fn tick(&mut self, now: Moment) -> Version {
        self.advance(now);
        self.accepted
    }

    /// Returns when [`Acceptance::tick`] may next accept a version; `None` when only a report can change that.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.pending.front().and_then(|pending| pending.majority_at).map(|at| at + self.wait)
    }

    /// Returns whether any written version is not accepted yet.
    pub fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the progress of a version towards acceptance.
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

    /// Returns the version that each host on record reported last; zero for a host without a report.
    pub fn versions(&self) -> BTreeMap<EntryName, Version> {
        let record = self.pending.back().map_or(&self.record, |last| &last.record);
        let reported = |host: &EntryName| self.last.get(host).map(|(_, version)| *version);
        record.iter().map(|host| (host.clone(), reported(host).unwrap_or_default())).collect()
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
    fn record_report(&mut self, report: &VersionReport, now: Moment) {
        let known = KnownSpan { since: now, until: report.echo };
        let known = self.known.entry(report.host.clone()).or_insert(known);
        known.until = known.until.max(report.echo);
        if self.majority_at.is_some_and(|at| report.echo >= at) {
            self.confirmed.insert(report.host.clone());
        }
    }

    /// Returns the first moment at which a majority of the hosts on record knew the version.
    fn find_majority(&mut self) -> Option<Moment> {
        if self.majority_at.is_some() {
            return self.majority_at;
        }
        let spans: Vec<KnownSpan> = self
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
