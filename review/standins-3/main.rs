//! Cases of the third review that are shown with processes. Usage: `review-3 CASE FOLDER`; `TROUBLE=0` leaves the
//! disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod entry;
mod asked_at_once;
mod fleet;
mod json;
mod net;
mod record;
mod site;
mod stale_order;
mod store;

use std::{
    panic::AssertUnwindSafe,
    path::PathBuf,
    process::exit,
    time::{Duration, Instant},
};

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

/// How a case went.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// What a case needs.
pub struct Case {
    /// Whether the disruption happens.
    pub has_trouble: bool,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    pub record: std::sync::Arc<record::Record>,
}

/// Waits until something holds; returns whether it does in time.
pub fn wait_for(time: Duration, holds: impl FnMut() -> bool) -> bool {
    let (until, mut holds) = (Instant::now() + time, holds);
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-3 CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let temp = std::env::temp_dir().join(format!("review-3-{}-{case}", std::process::id()));
    std::fs::create_dir_all(&temp).expect("a temporary folder");
    let record = record::Record::create(&PathBuf::from(folder).join("record.txt"));
    let it = Case { has_trouble, folder: temp.clone(), record: record.into() };
    it.record.line(&format!("case {case}, trouble {has_trouble}"));
    // Each case ends long before this.
    let limit = it.record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        limit.line("the case takes too long");
        entry::kill_all();
        exit(2);
    });
    let verdict = std::panic::catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "asked-at-once" => asked_at_once::run(&it),
        "stale-order" => stale_order::run(&it),
        other => Verdict::CouldNotRun(format!("there is no case {other}")),
    }));
    entry::kill_all();
    let verdict = verdict.unwrap_or(Verdict::CouldNotRun("the case panicked".into()));
    let (text, code) = match &verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CouldNotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    it.record.line(&text);
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temp);
    } else {
        println!("logs: {}", temp.display());
    }
    exit(code);
}
