//! The table of all runs: a row for each figure, a column for each run.

use super::running::{Cost, Figures};

type Row = (&'static str, fn(&Figures) -> String);

const ROWS: [Row; 18] = [
    ("Requests sent", |it| it.tally.sent.to_string()),
    ("Answered", |it| it.tally.answered.to_string()),
    ("Refused \"not run\"", |it| it.tally.refused.to_string()),
    ("Refused \"not run\", yet run", |it| it.tally.untrue.to_string()),
    ("Told \"unknown\" or nothing", |it| it.tally.unknown.to_string()),
    ("Why not answered", reasons),
    ("Answered, yet not run", |it| it.tally.lost.to_string()),
    ("Second runs of non-idempotent requests", |it| it.tally.repeated.to_string()),
    ("Most above a team's upper limit", |it| it.tally.over_limit.to_string()),
    ("Busy answers of backend servers", |it| it.tally.busy.to_string()),
    ("Utilisation", |it| format!("{:.3}", it.tally.utilisation)),
    ("Nearness to share, by team", nearness),
    ("Added latency p50 / p99, ms", |it| pair(it.tally.added)),
    ("The same while the pool has free slots", |it| pair(it.tally.added_free)),
    ("Table reads / writes a second", |it| {
        cost(it, |it| format!("{:.1} / {:.1}", it.reads, it.writes))
    }),
    ("Peer bytes a second, an entry host", |it| cost(it, |it| format!("{:.0}", it.peer_bytes))),
    ("Processor, an entry host", |it| cost(it, |it| format!("{:.1} %", it.processor))),
    ("Memory, an entry host, before requests", |it| cost(it, |it| format!("{:.1} MiB", it.memory))),
];

/// Prints it.
pub fn print(runs: &[(String, Figures)]) {
    let titles: Vec<&str> = runs.iter().map(|(title, _)| title.as_str()).collect();
    println!("| | {} |", titles.join(" | "));
    println!("|---{}|", "|---".repeat(runs.len()));
    for (title, cell) in ROWS {
        let cells: Vec<String> = runs.iter().map(|(_, figures)| cell(figures)).collect();
        println!("| {title} | {} |", cells.join(" | "));
    }
}

fn reasons(figures: &Figures) -> String {
    let reasons = figures.tally.reasons.iter();
    let reasons: Vec<String> = reasons.map(|(reason, count)| format!("{reason} {count}")).collect();
    reasons.join(", ")
}

fn nearness(figures: &Figures) -> String {
    let teams = figures.tally.nearness.iter();
    let teams: Vec<String> = teams.map(|(team, it)| format!("{team} {it:.2}")).collect();
    teams.join(", ")
}

fn pair((median, high): (u64, u64)) -> String {
    format!("{median} / {high}")
}

fn cost(figures: &Figures, show: impl Fn(&Cost) -> String) -> String {
    figures.cost.as_ref().map_or("–".into(), show)
}
