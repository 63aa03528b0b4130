//! Requests that were sent whole and whose connection ended without a complete answer, judged by the users' rule LOST.

use std::time::{Duration, Instant};

/// `loss_slack_ms` of the platform: a connection that ends sooner after the last byte was sent has not read the request.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// `contact_ms` of the platform: how long before a request nothing unplanned may have been wrong.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// How long a SIGTERM counts as planned work: `grace-s` of the entry hosts and a second.
pub const TERM_TIME: Duration = Duration::from_millis(5_000);

/// `config_apply_ms` of the platform.
pub const HUP_TIME: Duration = Duration::from_millis(2_000);

/// `config_apply_ms` of the platform and a second.
pub const CONFIG_TIME: Duration = Duration::from_millis(3_000);

/// A request that got no complete answer. A caller that stops waiting has none of them.
#[derive(Debug)]
pub struct Unanswered {
    /// The index of the entry host.
    pub entry: usize,
    /// What was sent, and how.
    pub what: &'static str,
    /// When its last byte was sent.
    pub sent: Instant,
    /// When the connection ended.
    pub ended: Instant,
    /// How it ended.
    pub how: String,
}

impl Unanswered {
    fn describe(&self, cause: &str) -> String {
        let after = self.ended - self.sent;
        format!("{} to entry-{}: {} after {after:.3?}, {cause}", self.what, self.entry, self.how)
    }
}

#[derive(Debug)]
struct Span {
    what: &'static str,
    /// The entry host that it concerns; none for the store.
    entry: Option<usize>,
    is_planned: bool,
    from: Instant,
    until: Option<Instant>,
}

impl Span {
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|it| from <= it)
    }
}

/// What a test did to entry hosts and the store, and when.
#[derive(Debug, Default)]
pub struct Disturbances(Vec<Span>);

impl Disturbances {
    /// Notes planned work on an entry host, or a changed configuration, that begins now.
    pub fn plan(&mut self, what: &'static str, entry: Option<usize>, time: Duration) {
        let from = Instant::now();
        self.0.push(Span { what, entry, is_planned: true, from, until: Some(from + time) });
    }

    /// Notes an unplanned disturbance of an entry host, or of the store, that begins now.
    pub fn begin(&mut self, what: &'static str, entry: Option<usize>) {
        let from = Instant::now();
        self.0.push(Span { what, entry, is_planned: false, from, until: None });
    }

    /// Notes the end of these disturbances.
    pub fn end(&mut self, what: &'static str, entry: Option<usize>) {
        let is_open = |it: &&mut Span| {
            it.what == what && it.entry == entry && !it.is_planned && it.until.is_none()
        };
        self.0.iter_mut().filter(is_open).for_each(|it| it.until = Some(Instant::now()));
    }

    /// Notes an unplanned disturbance that is over at once.
    pub fn strike(&mut self, what: &'static str, entry: Option<usize>) {
        self.begin(what, entry);
        self.end(what, entry);
    }

    /// Prints the requests without an answer by their causes; returns those that break the rule. Beside a changed
    /// configuration this is stricter than the rule, which compares with other times.
    pub fn broken(&self, all: &[Unanswered]) -> Vec<String> {
        let mut broken = Vec::new();
        let mut by_cause = std::collections::BTreeMap::<String, (usize, Duration)>::new();
        for it in all {
            let concerns = |span: &&Span| span.entry.is_none_or(|entry| entry == it.entry);
            let find = |is_planned, from| {
                // The latest is the nearest to the cause.
                let mut spans = self.0.iter().rev().filter(concerns);
                spans.find(|span| span.is_planned == is_planned && span.overlaps(from, it.ended))
            };
            let unplanned = find(false, it.sent - CONTACT_TIME);
            let planned = find(true, it.sent);
            let after = it.ended - it.sent;
            let cause = match (unplanned, planned) {
                _ if after <= LOSS_SLACK => "at once".to_owned(),
                (Some(span), _) => format!("beside {}", span.what),
                (None, Some(span)) => {
                    broken.push(it.describe(span.what));
                    format!("around {} alone", span.what)
                }
                (None, None) => format!("for no cause: {}", it.describe("")),
            };
            let (count, longest) = by_cause.entry(cause).or_default();
            *count += 1;
            *longest = (*longest).max(after);
        }
        println!("{} requests without an answer: {by_cause:.3?}", all.len());
        broken
    }
}
