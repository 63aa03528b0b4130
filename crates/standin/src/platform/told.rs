//! What a story tells of commits.

use std::net::SocketAddr;

use fuchsiamill_ports::{Commit, CommitOutcome, Condition};

/// The longest value that is told whole, in characters.
const LONGEST_VALUE: usize = 400;

/// A commit with its conditions, and what became of it.
pub fn commit(peer: SocketAddr, commit: &Commit, outcome: &CommitOutcome) -> String {
    let conditions: Vec<_> = commit.conditions.iter().map(condition).collect();
    let puts: Vec<_> = commit
        .puts
        .iter()
        .map(|put| {
            let value: String = put.value.to_string().chars().take(LONGEST_VALUE).collect();
            format!("{} = {value}", put.key)
        })
        .collect();
    let deletes = &commit.deletes;
    format!("{outcome:?} for {peer}: if {conditions:?} put {puts:?} delete {deletes:?}")
}

fn condition(condition: &Condition) -> String {
    match condition {
        Condition::Absent { key } => format!("{key} is absent"),
        Condition::At { key, version } => format!("{key} is at {}", version.0),
    }
}
