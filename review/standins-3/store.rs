//! The platform's store: rows in tables, transactions under conditions and a feed.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    json::{Json, from_base64, quote, to_base64},
    net::{Answer, Message, serve},
};

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<Key, (String, u64)>,
    log: Vec<(u64, Key, Option<String>)>,
}

/// The store.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    begun: Instant,
    /// Whether calls are left unanswered.
    is_silent: AtomicBool,
}

/// The time that a transaction takes, and a read.
const TX: Duration = Duration::from_millis(8);
const READ: Duration = Duration::from_millis(4);

/// The most rows of one answer.
const PAGE: usize = 500;

impl Store {
    pub fn start(ip: &str) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            begun: Instant::now(),
            is_silent: AtomicBool::new(false),
        });
        let serving = store.clone();
        let addr = serve(ip, move |it| serving.answer(it));
        (store, addr)
    }

    /// Writes a row as the operator or an executor does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = to_base64(value.as_bytes());
        rows.rows.insert(key.clone(), (value.clone(), ver));
        rows.log.push((ver, key, Some(value)));
        self.changed.notify_all();
    }

    /// Removes a row as an executor does that leaves.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        let key = (table.to_owned(), String::new(), key.to_owned());
        if rows.rows.remove(&key).is_some() {
            rows.ver += 1;
            let ver = rows.ver;
            rows.log.push((ver, key, None));
            self.changed.notify_all();
        }
    }

    /// Returns the text of a row with an empty part.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = rows.rows.get(&key)?;
        String::from_utf8(from_base64(&value.0)).ok()
    }

    /// Sets whether calls are left unanswered: the store does nothing, and hears of calls only once it is back.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    fn pass_time(&self, usual: Duration) {
        while self.is_silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(usual);
    }

    fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn page(&self, rows: &[String], more: bool, ver: u64) -> Answer {
        let (rows, now) = (rows.join(","), self.now_ms());
        Some((200, format!(r#"{{"rows":[{rows}],"has_more":{more},"ver":{ver},"now_ms":{now}}}"#)))
    }

    fn answer(&self, it: Message) -> Answer {
        let value = |name: &str| it.query(name).unwrap_or_default();
        match it.path() {
            "/rows-tx" => self.transact(&it.body),
            "/rows-get" => {
                self.pass_time(READ);
                let limit = value("limit").parse().unwrap_or(PAGE).min(PAGE);
                let rows = self.rows.lock().unwrap();
                let first = (value("table"), value("part"), value("from"));
                let to = it.query("to");
                let of_part = rows.rows.range(first.clone()..);
                let mut of_part = of_part.take_while(|row| {
                    row.0.0 == first.0
                        && row.0.1 == first.1
                        && to.as_ref().is_none_or(|to| row.0.2 < *to)
                });
                let page: Vec<String> = of_part
                    .by_ref()
                    .take(limit)
                    .map(|row| row_text(row.0, Some(&row.1.0), row.1.1))
                    .collect();
                let more = of_part.next().is_some();
                let ver = rows.ver;
                drop(rows);
                self.page(&page, more, ver)
            }
            "/rows-parts" => {
                let rows = self.rows.lock().unwrap();
                let table = value("table");
                let mut parts: Vec<String> =
                    rows.rows.keys().filter(|it| it.0 == table).map(|it| quote(&it.1)).collect();
                parts.dedup();
                Some((200, format!(r#"{{"parts":[{}],"has_more":false}}"#, parts.join(","))))
            }
            "/rows-feed" => {
                self.pass_time(Duration::ZERO);
                let after: u64 = value("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(value("wait_ms").parse().unwrap_or(0));
                let table = value("table");
                let until = Instant::now() + wait;
                let mut rows = self.rows.lock().unwrap();
                loop {
                    let new = rows.log.iter().filter(|it| it.0 > after && it.1.0 == table);
                    let page: Vec<String> =
                        new.map(|it| row_text(&it.1, it.2.as_deref(), it.0)).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !page.is_empty() || left.is_zero() {
                        let ver = rows.ver;
                        drop(rows);
                        return self.page(&page, false, ver);
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            _ => Some((404, String::new())),
        }
    }

    fn transact(&self, body: &str) -> Answer {
        self.pass_time(TX);
        let tx = Json::parse(body)?;
        let key = |it: &Json| {
            let text = |name: &str| it.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let expected = tx.get("expected_rev").list();
        let count =
            expected.len() + tx.get("set_keys").list().len() + tx.get("remove").list().len();
        if count > 100 || body.len() > 1_000_000 {
            return Some((400, String::new()));
        }
        let holds =
            |it: &Json| rows.rows.get(&key(it)).map_or(0, |row| row.1) == it.get("ver").int();
        if !expected.iter().all(holds) {
            let found = expected.iter().filter_map(|it| {
                let key = key(it);
                rows.rows.get(&key).map(|row| row_text(&key, Some(&row.0), row.1))
            });
            let found: Vec<String> = found.collect();
            let ver = rows.ver;
            drop(rows);
            return self.page(&found, false, ver).map(|it| (412, it.1));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for it in tx.get("set_keys").list() {
            let (key, value) = (key(it), it.get("value").text().to_owned());
            rows.rows.insert(key.clone(), (value.clone(), ver));
            rows.log.push((ver, key, Some(value)));
        }
        for it in tx.get("remove").list() {
            let key = key(it);
            if rows.rows.remove(&key).is_some() {
                rows.log.push((ver, key, None));
            }
        }
        self.changed.notify_all();
        drop(rows);
        self.page(&[], false, ver)
    }
}

fn row_text(key: &Key, value: Option<&str>, ver: u64) -> String {
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    match value {
        Some(value) => {
            format!(
                r#"{{"table":{table},"part":{part},"key":{name},"value":"{value}","ver":{ver}}}"#
            )
        }
        None => {
            format!(r#"{{"table":{table},"part":{part},"key":{name},"ver":{ver},"removed":true}}"#)
        }
    }
}
