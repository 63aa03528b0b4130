//! Upper limits that an entry changes: their escrow rows change in the same commit.

use fuchsiamill_model::{Change, LogEntry, TeamName, Units};
use fuchsiamill_policy::escrow::EscrowRow;
use fuchsiamill_ports::{Commit, CommitOutcome, Error, Result, Row, Table};

const ESCROW_PREFIX: &str = "escrow/";
const MOST_ATTEMPTS: u32 = 20;

/// Commits an entry together with the escrow rows of the limits that it changes.
///
/// Holders write the same rows, so a commit that loses against one of them is made anew.
pub async fn commit(table: &impl Table, base: &Commit, entry: &LogEntry) -> Result<CommitOutcome> {
    let limits = limits_of(entry);
    let mut attempt = 1;
    loop {
        let commit = with_rows(table, base.clone(), entry, &limits).await?;
        let outcome = table.commit(&commit).await?;
        match &outcome {
            CommitOutcome::Conflict { key, .. }
                if key.starts_with(ESCROW_PREFIX) && attempt < MOST_ATTEMPTS =>
            {
                attempt += 1;
            }
            _ => return Ok(outcome),
        }
    }
}

fn limits_of(entry: &LogEntry) -> Vec<(TeamName, Units)> {
    let mut limits: Vec<(TeamName, Units)> = Vec::new();
    for change in &entry.changes {
        let (team, limit) = match change {
            Change::PutTeam { team } => (&team.name, team.upper_limit),
            Change::SetUpperLimit { team, upper_limit } => (team, *upper_limit),
            _ => continue,
        };
        limits.retain(|(known, _)| known != team);
        limits.push((team.clone(), limit));
    }
    limits
}

async fn with_rows(
    table: &impl Table,
    mut commit: Commit,
    entry: &LogEntry,
    limits: &[(TeamName, Units)],
) -> Result<Commit> {
    if limits.is_empty() {
        return Ok(commit);
    }
    let keys: Vec<String> =
        limits.iter().map(|(team, _)| format!("{ESCROW_PREFIX}{team}")).collect();
    let rows = table.get(&keys).await.map_err(unwritten)?;
    for ((key, row), (_, limit)) in keys.into_iter().zip(rows).zip(limits) {
        let version = row.as_ref().map(|row| row.version);
        let mut escrow = row.and_then(read).unwrap_or_default();
        escrow.set_limit(*limit, entry.version);
        commit = commit.at(key.clone(), version).put(key, &escrow);
    }
    Ok(commit)
}

fn read(row: Row) -> Option<EscrowRow> {
    match serde_json::from_value(row.value) {
        Ok(escrow) => Some(escrow),
        Err(e) => {
            log::error!("row {} cannot be read: {e}; run the version that wrote it", row.key);
            None
        }
    }
}

/// The error of a read: nothing was written, whatever became of the answer.
fn unwritten(e: Error) -> Error {
    match e {
        Error::AnswerLost { service, cause } => Error::Unavailable { service, cause },
        other => other,
    }
}
