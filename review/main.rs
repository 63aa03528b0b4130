//! Plays one case of the review against entry hosts as processes, with stand-ins of the platform, executors and callers.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod json;
mod net;
mod record;
mod site;
mod store;
mod worker;

use std::{thread, time::Duration};

/// The longest time of a case.
const MAX_TIME: Duration = Duration::from_secs(117);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: drill CASE RECORD");
        std::process::exit(2);
    };
    let record = record::Record::create(path);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(&format!("case {case}, trouble: {has_trouble}"));
    let play: fn(&record::Record, bool) = match case.as_str() {
        "wide-job" => cases::wide_job,
        "gang" => cases::gang,
        "new-life" => cases::new_life,
        "many-ends" => cases::many_ends,
        "same-id" => cases::same_id,
        "slow-clock" => cases::slow_clock,
        _ => {
            eprintln!("there is no case {case}");
            std::process::exit(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        println!("could not run: the time is over");
        site::kill_all();
        std::process::exit(2);
    });
    // A case ends the process itself unless it panics.
    let _ = thread::spawn(move || play(&record, has_trouble)).join();
    site::kill_all();
    std::process::exit(2);
}
