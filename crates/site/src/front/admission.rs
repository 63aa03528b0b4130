//! Decides whether a posted job is accepted, by what the coordinator publishes about pools.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use fuchsiamill_fleet::{
    JobSpec, Name,
    admission::{
        Basis, Doubts, Found, Gate, Outcome, Post, Reason, Refusal, Step, Verdict, after_lookup,
        before_refusal,
    },
};
use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};
use fuchsiamill_platform::{Row, Store};
use monoio::time::{sleep, timeout};

use super::lookup::Board;
use crate::{
    clock::Clock,
    lead::{LeaseRow, decode_lease},
    metrics::Metrics,
    tables,
};

/// The interval at which the lease row is read, and the board while a pool is limited.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// The longest time that the row of a job is looked for before a refusal.
const LOOKUP_TIME: Duration = Duration::from_millis(150);

/// A read of the store that takes longer is not prompt.
const PROMPT_MS: Millisecond = 150;

/// Refusals need a store that has been prompt for this long: twice the longest call to it, so that no insertion of another
/// entry host that was sent before is still on its way.
const PROMPT_FOR_MS: Millisecond = 5_000;

/// The least time between two log lines about refusals.
const LOG_INTERVAL_MS: Millisecond = 1_000;

/// The admission of posted jobs by one entry host.
pub struct Admission {
    is_on: bool,
    store: Rc<Store>,
    clock: Clock,
    metrics: Rc<Metrics>,
    gate: RefCell<Gate>,
    doubts: RefCell<Doubts>,
    /// Since when the store has been prompt; `None` while it is not.
    prompt_since: Cell<Option<Moment>>,
    refused: RefCell<FastMap<(Name, &'static str), u64>>,
    last_log: Cell<Moment>,
}

/// What is done with a post.
pub enum Decision {
    /// The job is inserted.
    Insert,
    /// The post repeats an earlier one, which has this row.
    Known(Row),
    /// The job is refused; no attempt at it is stored.
    Refused(Refusal),
}

impl Admission {
    /// Creates the admission of the entry host with this address.
    pub fn new(
        is_on: bool,
        own_address: Name,
        store: Rc<Store>,
        clock: Clock,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self {
            is_on,
            store,
            clock,
            metrics,
            gate: RefCell::new(Gate::new(own_address)),
            doubts: RefCell::default(),
            prompt_since: Cell::default(),
            refused: RefCell::default(),
            last_log: Cell::new(Moment(0)),
        }
    }

    /// Returns whether posts may be refused.
    pub fn is_on(&self) -> bool {
        self.is_on
    }

    /// Follows the lease row, and the board while a pool is limited.
    pub async fn follow(self: Rc<Self>) {
        if !self.is_on {
            return;
        }
        loop {
            let jitter = fastrand::u64(0..POLL_INTERVAL.as_millis() as u64 / 8);
            sleep(POLL_INTERVAL + Duration::from_millis(jitter)).await;
            if let Some((row, _, _)) = self.read(&tables::lease_key()).await {
                let lease = row.map_or_else(LeaseRow::default, |it| decode_lease(&it.value));
                self.gate.borrow_mut().set_limited(lease.limited > 0);
            }
            if self.gate.borrow().is_limited() {
                self.read_board().await;
            }
            let now = self.clock.now();
            let age = self.gate.borrow().age(now);
            self.metrics.set_admission_age(age.unwrap_or(0));
            self.log(now);
        }
    }

    /// Reads a row, with the store's clock and the moment at which the read was sent, and notes whether the store is prompt.
    async fn read(&self, key: &fuchsiamill_platform::Key) -> Option<(Option<Row>, u64, Moment)> {
        let asked = self.clock.now();
        let answer = self.store.read_row(key).await;
        let now = self.clock.now();
        match answer {
            Ok((row, store_ms)) if now.since(asked) <= PROMPT_MS => {
                self.prompt_since.set(self.prompt_since.get().or(Some(now)));
                Some((row, store_ms, asked))
            }
            Ok((row, store_ms)) => {
                self.prompt_since.set(None);
                Some((row, store_ms, asked))
            }
            Err(e) => {
                tracing::debug!(event = "read-failed", key = %key.key, error = %e);
                self.prompt_since.set(None);
                None
            }
        }
    }

    async fn read_board(&self) {
        let Some((Some(row), store_ms, asked)) = self.read(&tables::board_key()).await else {
            return;
        };
        match serde_json::from_slice::<Board>(&row.value) {
            Ok(Board { at_ms, admission: Some(data), .. }) => {
                let at = asked - store_ms.saturating_sub(at_ms);
                self.gate.borrow_mut().update(data, at);
            }
            Ok(_) => {}
            Err(e) => tracing::error!(event = "board-unreadable", error = %e),
        }
    }

    /// Decides on a post. A refusal is decided only after a read of the job's row, since an earlier attempt may be stored.
    pub async fn decide(&self, id: &Name, spec: &JobSpec, weight: Option<f64>) -> Decision {
        if !self.is_on {
            return Decision::Insert;
        }
        let now = self.clock.now();
        let verdict = self.gate.borrow_mut().judge(Post { spec, weight }, now, fastrand::f64);
        let is_in_doubt = self.doubts.borrow().has(id, now);
        let refusal = match before_refusal(verdict, is_in_doubt, self.is_store_prompt(now)) {
            Step::Lookup(refusal) => refusal,
            Step::Insert => {
                self.metrics.admission(admitted_label(verdict));
                return Decision::Insert;
            }
        };
        let (found, row) = self.look_up(id).await;
        match (after_lookup(refusal, found), row) {
            (Outcome::Refused(refusal), _) => {
                let reason = reason_label(refusal.reason);
                self.metrics.admission(reason);
                let key = (spec.route.pool.clone(), reason);
                *self.refused.borrow_mut().entry(key).or_insert(0) += 1;
                Decision::Refused(refusal)
            }
            (Outcome::Known, Some(row)) => {
                self.metrics.admission("known");
                Decision::Known(row)
            }
            _ => {
                self.metrics.admission("unsure");
                Decision::Insert
            }
        }
    }

    async fn look_up(&self, id: &Name) -> (Found, Option<Row>) {
        let key = tables::job_key(id);
        let read = self.store.read_row_for_caller(&key, LOOKUP_TIME);
        match timeout(LOOKUP_TIME, read).await {
            Ok(Ok((Some(row), _))) => (Found::Row, Some(row)),
            Ok(Ok((None, _))) => (Found::Nothing, None),
            Ok(Err(_)) | Err(_) => {
                self.prompt_since.set(None);
                (Found::NoAnswer, None)
            }
        }
    }

    /// Notes that an insertion begins. Until its outcome is noted, the job is not refused here.
    pub fn insertion_begins(&self, id: &Name) {
        if self.is_on {
            self.doubts.borrow_mut().begin(id.clone(), self.clock.now());
        }
    }

    /// Notes that it is known whether an insertion was stored.
    pub fn insertion_ended(&self, id: &Name) {
        if self.is_on {
            self.doubts.borrow_mut().end(id);
        }
    }

    /// Notes that the store did not take an insertion, or did not answer it.
    pub fn insertion_failed(&self) {
        self.prompt_since.set(None);
    }

    fn is_store_prompt(&self, now: Moment) -> bool {
        self.store.is_direct_path_up()
            && !self.store.is_silent()
            && self.prompt_since.get().is_some_and(|since| now.since(since) >= PROMPT_FOR_MS)
    }

    /// Logs what was refused since the last line, at most once a second.
    fn log(&self, now: Moment) {
        if now.since(self.last_log.get()) < LOG_INTERVAL_MS || self.refused.borrow().is_empty() {
            return;
        }
        self.last_log.set(now);
        let age_ms = self.gate.borrow().age(now);
        for ((pool, reason), posts) in self.refused.borrow_mut().drain() {
            tracing::info!(event = "posts-refused", %pool, reason, posts, age_ms);
        }
    }
}

fn admitted_label(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Admit(Basis::Exempt) => "exempt",
        Verdict::Admit(Basis::Unlimited) => "unlimited",
        Verdict::Admit(Basis::Known) => "within-budget",
        Verdict::Admit(Basis::Unknown) => "no-data",
        Verdict::Refuse(_) => "unsure",
    }
}

fn reason_label(reason: Reason) -> &'static str {
    match reason {
        Reason::Excess => "refused-excess",
        Reason::Full => "refused-full",
        Reason::Unknown => "refused-no-data",
    }
}
