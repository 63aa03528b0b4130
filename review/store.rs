//! The platform's store: rows with versions, conditional transactions and a feed.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    json::{Json, base64, from_base64, parse, quoted},
    net::{Reply, Request, own_ip, serve},
    record::Record,
};

/// The largest value of a row, in bytes before base64.
const ROW_BYTES: usize = 65_536;

/// The largest transaction, in bytes.
const TX_BYTES: usize = 1_000_000;

/// The most entries of a transaction.
const MAX_ENTRIES: usize = 100;

/// The most rows of one answer to a read.
const MAX_ROWS: usize = 500;

/// How long a transaction takes.
const TX_TIME: Duration = Duration::from_millis(8);

/// How long a read takes.
const READ_TIME: Duration = Duration::from_millis(4);

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowKey, (String, u64)>,
    log: Vec<(u64, RowKey, Option<String>)>,
    version: u64,
}

/// The store.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    parts: Mutex<HashMap<String, Arc<Mutex<()>>>>,
    begun: Instant,
    record: Record,
    /// Transactions that were rejected as too large.
    pub rejected: Mutex<u64>,
}

impl Store {
    /// Starts the store; returns it and its address.
    pub fn start(record: &Record) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            parts: Mutex::default(),
            begun: Instant::now(),
            record: record.clone(),
            rejected: Mutex::default(),
        });
        let listener = TcpListener::bind((own_ip(), 0)).expect("a port is free");
        let addr = listener.local_addr().expect("it is bound");
        let handler = store.clone();
        serve(listener, Arc::new(|| true), Arc::new(move |it: &Request| handler.handle(it)));
        (store, addr)
    }

    /// Writes a row with an empty part, as the operator or an executor does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.write((table.into(), String::new(), key.into()), Some(base64(value.as_bytes())));
        self.changed.notify_all();
    }

    /// Removes a row with an empty part.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.write((table.into(), String::new(), key.into()), None);
        self.changed.notify_all();
    }

    /// Returns the value of a row.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let (value, _) = rows.rows.get(&(table.into(), part.into(), key.into()))?;
        Some(String::from_utf8_lossy(&from_base64(value)).into_owned())
    }

    fn now_ms(&self) -> u64 {
        1_000_000 + self.begun.elapsed().as_millis() as u64
    }

    fn handle(&self, request: &Request) -> Reply {
        match request.path() {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => {
                thread::sleep(READ_TIME);
                self.read(request)
            }
            "/rows-feed" => self.feed(request),
            _ => Reply::Answer(404, String::new()),
        }
    }

    fn transact(&self, body: &str) -> Reply {
        let Some(tx) = parse(body) else { return Reply::Answer(400, String::new()) };
        let (expected, sets, drops) =
            (tx.get("expected_rev").items(), tx.get("set_keys").items(), tx.get("remove").items());
        let largest = sets.iter().map(|it| it.get("value").text().len() / 4 * 3).max().unwrap_or(0);
        let entries = expected.len() + sets.len() + drops.len();
        if largest > ROW_BYTES || body.len() > TX_BYTES || entries > MAX_ENTRIES {
            let mut rejected = self.rejected.lock().unwrap();
            *rejected += 1;
            if *rejected <= 3 || *rejected % 100 == 0 {
                self.record.line(&format!(
                    "store: transaction {rejected} rejected with 400: largest value {largest} bytes of \
                     {ROW_BYTES}, call {} bytes of {TX_BYTES}, {entries} entries of {MAX_ENTRIES}",
                    body.len()
                ));
            }
            return Reply::Answer(400, String::new());
        }
        let part = sets.iter().chain(expected).chain(drops).next();
        let part = part.map(|it| it.get("part").text().to_owned()).unwrap_or_default();
        let turn = self.parts.lock().unwrap().entry(part).or_default().clone();
        let _turn = turn.lock().unwrap();
        thread::sleep(TX_TIME);
        let mut rows = self.rows.lock().unwrap();
        let is_met = expected.iter().all(|it| {
            let found = rows.rows.get(&key_of(it)).map_or(0, |row| row.1);
            Some(found) == it.get("ver").number()
        });
        if !is_met {
            let found: Vec<String> =
                expected.iter().filter_map(|it| rows.row(&key_of(it))).collect();
            let (ver, now_ms) = (rows.version, self.now_ms());
            let body = format!(r#"{{"rows":[{}],"ver":{ver},"now_ms":{now_ms}}}"#, found.join(","));
            return Reply::Answer(412, body);
        }
        rows.version += 1;
        for it in sets {
            let value = it.get("value").text().to_owned();
            rows.write(key_of(it), Some(value));
        }
        for it in drops {
            rows.write(key_of(it), None);
        }
        self.changed.notify_all();
        Reply::Answer(200, format!(r#"{{"ver":{},"now_ms":{}}}"#, rows.version, self.now_ms()))
    }

    fn read(&self, request: &Request) -> Reply {
        let text = |name: &str| request.query(name).unwrap_or_default();
        let (table, part, from, to) =
            (text("table"), text("part"), text("from"), request.query("to"));
        let limit = request.query("limit").and_then(|it| it.parse().ok()).unwrap_or(MAX_ROWS);
        let rows = self.rows.lock().unwrap();
        let mut keys = rows
            .rows
            .range((table.clone(), part.clone(), from)..)
            .map(|it| it.0)
            .take_while(|it| it.0 == table && it.1 == part)
            .take_while(|it| to.as_ref().is_none_or(|to| it.2 < *to));
        let (mut found, mut bytes) = (Vec::new(), 0);
        let mut has_more = false;
        for key in keys.by_ref() {
            let row = rows.row(key).unwrap_or_default();
            bytes += row.len();
            if found.len() == limit.min(MAX_ROWS) || (bytes > TX_BYTES && !found.is_empty()) {
                has_more = true;
                break;
            }
            found.push(row);
        }
        let (ver, now_ms) = (rows.version, self.now_ms());
        let found = found.join(",");
        Reply::Answer(
            200,
            format!(r#"{{"rows":[{found}],"has_more":{has_more},"ver":{ver},"now_ms":{now_ms}}}"#),
        )
    }

    fn feed(&self, request: &Request) -> Reply {
        let number =
            |name: &str| request.query(name).and_then(|it| it.parse().ok()).unwrap_or(0u64);
        let table = request.query("table").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let first = rows.log.partition_point(|it| it.0 <= number("after"));
            let news: Vec<String> = rows.log[first..]
                .iter()
                .filter(|it| it.1.0 == table)
                .map(|(ver, key, value)| feed_row(*ver, key, value.as_deref()))
                .collect();
            let now = Instant::now();
            if !news.is_empty() || now >= until {
                let (news, ver, now_ms) = (news.join(","), rows.version, self.now_ms());
                let body = format!(r#"{{"rows":[{news}],"ver":{ver},"now_ms":{now_ms}}}"#);
                return Reply::Answer(200, body);
            }
            rows = self.changed.wait_timeout(rows, until - now).unwrap().0;
        }
    }
}

impl Rows {
    fn write(&mut self, key: RowKey, value: Option<String>) {
        match &value {
            Some(it) => self.rows.insert(key.clone(), (it.clone(), self.version)),
            None => self.rows.remove(&key),
        };
        self.log.push((self.version, key, value));
    }

    fn row(&self, key: &RowKey) -> Option<String> {
        let (value, ver) = self.rows.get(key)?;
        Some(feed_row(*ver, key, Some(value)))
    }
}

fn feed_row(ver: u64, (table, part, key): &RowKey, value: Option<&str>) -> String {
    let end = value.map_or(r#""removed":true"#.into(), |it| format!(r#""value":{}"#, quoted(it)));
    let (table, part, key) = (quoted(table), quoted(part), quoted(key));
    format!(r#"{{"table":{table},"part":{part},"key":{key},"ver":{ver},{end}}}"#)
}

fn key_of(it: &Json) -> RowKey {
    let text = |name: &str| it.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}
