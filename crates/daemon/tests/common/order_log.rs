//! The order of what happened on a site, by one clock: kept when a test fails.

use std::{
    fs,
    path::PathBuf,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use super::fleet::Fleet;

/// The setting by which entry hosts log the ends that workers list and that are acknowledged.
pub const LOGS: &str = "log-level = debug";

/// Writes what the test did, what workers were ordered and ran, and what the entry hosts logged into one file, which has
/// the name of the failure. Returns the file.
pub fn keep(fleet: &Fleet, failure: &str, acts: &[(Instant, String)]) -> PathBuf {
    let now = (Instant::now(), SystemTime::now());
    let at = |it: Instant| time_of_day(now.1 - now.0.saturating_duration_since(it));
    let mut lines: Vec<(String, String)> =
        acts.iter().map(|(time, it)| (at(*time), format!("test: {it}"))).collect();
    {
        let world = fleet.site.world();
        lines.extend(world.orders.iter().map(|(time, it)| (at(*time), format!("worker: {it}"))));
        for it in &world.runs {
            let run = format!("worker: {} run {} on {}", it.task, it.run, it.worker);
            if let Some((time, how)) = &it.ended {
                lines.push((at(*time), format!("{run} ended: {how}")));
            }
            lines.push((at(it.began), format!("{run} began")));
        }
    }
    for entry in &fleet.entries {
        let logged = |line: &str| Some((logged_at(line)?, format!("{}: {line}", entry.name)));
        lines.extend(entry.log().lines().filter_map(logged));
    }
    lines.sort_by(|a, b| a.0.cmp(&b.0));
    let text: String = lines.iter().map(|(time, it)| format!("{time} {it}\n")).collect();
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{failure}.order.log"));
    fs::write(&file, text).expect("the log of a failed test");
    file
}

/// The time of day in UTC, to the microsecond.
fn time_of_day(time: SystemTime) -> String {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let s = since.as_secs() % 86_400;
    format!("{:02}:{:02}:{:02}.{:06}", s / 3_600, s / 60 % 60, s % 60, since.subsec_micros())
}

/// The time of day of a line `{"timestamp":"2026-12-06T23:11:14.316760Z",...`.
fn logged_at(line: &str) -> Option<String> {
    let time = line.strip_prefix("{\"timestamp\":\"")?.split('"').next()?;
    Some(time.split('T').nth(1)?.trim_end_matches('Z').to_owned())
}
