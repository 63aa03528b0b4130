//! The store: rows with versions, conditional changes and a feed of them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use fuchsiamill_http::{Handler, Incoming, Response};
use http::StatusCode;
use monoio::time::sleep;
use serde_json::{Value, json};

use super::{lock, world::World};
use crate::reply;

const FEED_STEP: Duration = Duration::from_millis(5);

/// A change holds at most so many entries: conditions, rows to write and rows to drop.
const MOST_ENTRIES: usize = 100;

/// The greatest size of a row's value, before base64, and of a change, in bytes.
const ROW_BYTES: usize = 65_536;
const CHANGE_BYTES: usize = 1_000_000;

/// Changes of a part that wait longer are refused.
const LONGEST_QUEUE: Duration = Duration::from_secs(1);

/// How the store treats its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It serves.
    #[default]
    None,
    /// It refuses everything.
    Down,
    /// It answers nothing.
    Silent,
    /// Its answers take longer by so many milliseconds.
    Slow(u64),
    /// So many of a hundred changes are made and not answered.
    LoseAnswers(u32),
}

type RowKey = (String, String, String);

/// All rows and what changed.
#[derive(Debug, Default)]
pub struct Rows {
    rows: BTreeMap<RowKey, (String, u64)>,
    log: Vec<(u64, RowKey, Option<String>)>,
    version: u64,
    forgotten: u64,
    /// The fault in force.
    pub fault: StoreFault,
    /// The table whose feed answers nothing, if there is one.
    pub mute_feed: Option<&'static str>,
    /// The table whose reads answer nothing, if there is one.
    pub mute_reads: Option<&'static str>,
    /// The table whose reads are answered so much later than they are carried out.
    pub slow_reads: Option<(&'static str, Duration)>,
    /// Changes made.
    pub changes: u64,
    /// Changes that were rejected for their size.
    pub too_large: u64,
    /// How long a change keeps its part busy; changes of one part are made one after another.
    pub change_time: Duration,
    /// Until when parts are busy.
    busy: BTreeMap<String, Instant>,
}

impl Rows {
    /// Writes a row as its owner on the platform would.
    pub fn put(&mut self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row as a writer would that does not keep to the form of values.
    pub fn put_bytes(&mut self, table: &str, key: &str, value: &[u8]) {
        self.put_raw(table, key, &base64_of(value));
    }

    /// Writes a row whose value is told as it is, be it base64 or not.
    pub fn put_raw(&mut self, table: &str, key: &str, value: &str) {
        self.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.write(key, Some(value.to_owned()));
    }

    /// Drops a row.
    pub fn drop_row(&mut self, table: &str, key: &str) {
        self.version += 1;
        self.write((table.to_owned(), String::new(), key.to_owned()), None);
    }

    /// The value of a row.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<Value> {
        let row = self.rows.get(&(table.to_owned(), part.to_owned(), key.to_owned()))?;
        serde_json::from_slice(&bytes_of(&row.0)?).ok()
    }

    /// The keys of a table's rows, of all parts.
    pub fn keys(&self, table: &str) -> Vec<String> {
        self.rows.keys().filter(|it| it.0 == table).map(|it| it.2.clone()).collect()
    }

    /// Forgets what changed so far.
    pub fn forget_history(&mut self) {
        self.log.clear();
        self.forgotten = self.version;
    }

    fn write(&mut self, key: RowKey, value: Option<String>) {
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), self.version)),
            None => self.rows.remove(&key),
        };
        self.log.push((self.version, key, value));
    }

    fn change(&mut self, tx: &Value, now_ms: u64) -> Response {
        let of = |name: &str| tx[name].as_array().cloned().unwrap_or_default();
        let expected = of("expected_rev");
        let is_met = |it: &Value| {
            let found = self.rows.get(&key_of(it)).map_or(0, |row| row.1);
            Some(found) == it["ver"].as_u64()
        };
        if !expected.iter().all(is_met) {
            let rows: Vec<Value> = expected.iter().filter_map(|it| self.row(&key_of(it))).collect();
            let body = json!({ "rows": rows, "ver": self.version, "now_ms": now_ms });
            return with_status(StatusCode::PRECONDITION_FAILED, &body);
        }
        let bytes_of = |it: &Value| it["value"].as_str().map_or(0, |it| it.len() / 4 * 3);
        let is_too_large = tx.to_string().len() > CHANGE_BYTES
            || of("set_keys").iter().any(|it| bytes_of(it) > ROW_BYTES);
        if is_too_large {
            self.too_large += 1;
            return Response::empty(StatusCode::BAD_REQUEST);
        }
        self.version += 1;
        self.changes += 1;
        for it in of("set_keys") {
            let value = it["value"].as_str().unwrap_or_default().to_owned();
            self.write(key_of(&it), Some(value));
        }
        for it in of("remove") {
            self.write(key_of(&it), None);
        }
        reply::value(&json!({ "ver": self.version, "now_ms": now_ms }))
    }

    /// How long a change waits for its turn and is under way; `None` where too many wait.
    fn queue(&mut self, part: &str) -> Option<Duration> {
        let now = Instant::now();
        let busy = self.busy.entry(part.to_owned()).or_insert(now);
        let begin = now.max(*busy);
        if begin - now > LONGEST_QUEUE {
            return None;
        }
        *busy = begin + self.change_time;
        Some(*busy - now)
    }

    fn row(&self, key: &RowKey) -> Option<Value> {
        let (value, version) = self.rows.get(key)?;
        let (table, part, name) = key;
        Some(json!({ "table": table, "part": part, "key": name, "value": value, "ver": version }))
    }

    fn read(&self, query: &BTreeMap<String, String>, now_ms: u64) -> Response {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let to = query.get("to");
        let rows: Vec<Value> = self
            .rows
            .range((table.clone(), part.clone(), from)..)
            .map(|(key, _)| key)
            .take_while(|key| key.0 == table && key.1 == part && to.is_none_or(|to| key.2 < *to))
            .filter_map(|key| self.row(key))
            .collect();
        let body =
            json!({ "rows": rows, "has_more": false, "ver": self.version, "now_ms": now_ms });
        reply::value(&body)
    }

    fn feed(&self, table: &str, after: u64, now_ms: u64) -> Option<Response> {
        if after < self.forgotten {
            return Some(Response::empty(StatusCode::GONE));
        }
        let changed = self.log.iter().filter(|it| it.0 > after && it.1.0 == table);
        let rows: Vec<Value> = changed
            .map(|(version, (table, part, key), value)| match value {
                Some(value) => json!({
                    "table": table, "part": part, "key": key, "value": value, "ver": version
                }),
                None => json!({
                    "table": table, "part": part, "key": key, "ver": version, "removed": true
                }),
            })
            .collect();
        let body = json!({ "rows": rows, "ver": self.version, "now_ms": now_ms });
        (!rows.is_empty()).then(|| reply::value(&body))
    }
}

/// The store's port.
pub struct Port(pub Arc<Mutex<World>>);

impl Handler for Port {
    async fn handle(&self, incoming: Incoming) -> Response {
        let fault = lock(&self.0).rows.fault;
        match fault {
            StoreFault::Down => return Response::empty(StatusCode::SERVICE_UNAVAILABLE),
            StoreFault::Silent => return reply::never(incoming).await,
            StoreFault::Slow(ms) => sleep(Duration::from_millis(ms)).await,
            StoreFault::None | StoreFault::LoseAnswers(_) => {}
        }
        let target = incoming.request.target.clone();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = read_query(query);
        match path {
            "/rows-tx" => {
                let answer = self.change(&incoming.request.body).await;
                match fault {
                    StoreFault::LoseAnswers(percent) if fastrand::u32(0..100) < percent => {
                        reply::never(incoming).await
                    }
                    _ => answer,
                }
            }
            "/rows-get" if self.is_mute(&query) => reply::never(incoming).await,
            "/rows-get" => {
                let (answer, delay) = self.read(&query);
                sleep(delay).await;
                answer
            }
            "/rows-feed" => self.feed(&query).await,
            _ => Response::empty(StatusCode::NOT_FOUND),
        }
    }
}

impl Port {
    /// Returns whether a read of the table of a query answers nothing.
    fn is_mute(&self, query: &BTreeMap<String, String>) -> bool {
        let mute = lock(&self.0).rows.mute_reads;
        mute.is_some_and(|mute| query.get("table").is_some_and(|it| it == mute))
    }

    /// Returns the answer to a read, and how much later it is sent.
    fn read(&self, query: &BTreeMap<String, String>) -> (Response, Duration) {
        let world = lock(&self.0);
        let is_read = |table: &str| query.get("table").is_some_and(|it| it == table);
        let delay = world.rows.slow_reads.filter(|it| is_read(it.0)).map(|it| it.1);
        (world.rows.read(query, world.now_ms()), delay.unwrap_or_default())
    }

    async fn change(&self, body: &[u8]) -> Response {
        let Ok(tx) = serde_json::from_slice::<Value>(body) else {
            return Response::empty(StatusCode::BAD_REQUEST);
        };
        let count = |name: &str| tx[name].as_array().map_or(0, Vec::len);
        if count("expected_rev") + count("set_keys") + count("remove") > MOST_ENTRIES {
            return Response::empty(StatusCode::BAD_REQUEST);
        }
        let part = tx["set_keys"][0]["part"].as_str().unwrap_or_default();
        let turn = lock(&self.0).rows.queue(part);
        let Some(turn) = turn else { return Response::empty(StatusCode::TOO_MANY_REQUESTS) };
        if !turn.is_zero() {
            sleep(turn).await;
        }
        let mut world = lock(&self.0);
        let now_ms = world.now_ms();
        world.rows.change(&tx, now_ms)
    }

    async fn feed(&self, query: &BTreeMap<String, String>) -> Response {
        let number = |name: &str| query.get(name).and_then(|it| it.parse().ok()).unwrap_or(0u64);
        let table = query.get("table").cloned().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        loop {
            if lock(&self.0).rows.mute_feed == Some(table.as_str()) {
                sleep(FEED_STEP).await;
                continue;
            }
            {
                let world = lock(&self.0);
                if let Some(answer) = world.rows.feed(&table, number("after"), world.now_ms()) {
                    return answer;
                }
                if Instant::now() >= until || world.rows.fault != StoreFault::None {
                    let (ver, now_ms) = (world.rows.version, world.now_ms());
                    return reply::value(&json!({ "rows": [], "ver": ver, "now_ms": now_ms }));
                }
            }
            sleep(FEED_STEP).await;
        }
    }
}

fn key_of(it: &Value) -> RowKey {
    let text = |name: &str| it[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn with_status(status: StatusCode, body: &Value) -> Response {
    Response::json(status, body.to_string())
}

pub(super) fn read_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn base64_of(value: &[u8]) -> String {
    use base64::{Engine, prelude::BASE64_STANDARD};
    BASE64_STANDARD.encode(value)
}

fn bytes_of(text: &str) -> Option<Vec<u8>> {
    use base64::{Engine, prelude::BASE64_STANDARD};
    BASE64_STANDARD.decode(text).ok()
}
