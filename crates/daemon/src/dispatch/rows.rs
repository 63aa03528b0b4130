//! Escrow rows: read in one call and written in one commit for each period.

use fuchsiamill_model::{Configuration, TeamName, Version};
use fuchsiamill_policy::escrow::{EscrowRow, Revision, WriteOutcome};
use fuchsiamill_ports::{Commit, CommitOutcome, Row, RowVersion, Table};

use crate::cx::Cx;

const MOST_COMMITS: usize = 16;

/// A row to be written.
#[derive(Clone, Debug)]
pub struct RowWrite {
    /// The team.
    pub team: TeamName,
    /// The revision that the row must have; zero when it must be absent.
    pub expected: Revision,
    /// The new row.
    pub row: EscrowRow,
}

/// A row that was read, or `None` when the table did not answer.
pub type RowRead = (TeamName, Option<(EscrowRow, Revision)>);

fn key(team: &TeamName) -> String {
    format!("escrow/{team}")
}

/// Reads the rows of `teams`. A team without a row has none of its limit in use.
pub async fn read(cx: &Cx, teams: Vec<TeamName>) -> Vec<RowRead> {
    let config = cx.config.current();
    let keys: Vec<String> = teams.iter().map(key).collect();
    cx.metrics.event("escrow_read");
    let Ok(rows) = cx.table.get(&keys).await else {
        return teams.into_iter().map(|team| (team, None)).collect();
    };
    let with_row = |(team, row): (TeamName, Option<Row>)| {
        let row = known(&config, &team, row);
        (team, row)
    };
    teams.into_iter().zip(rows).map(with_row).collect()
}

/// Writes rows in one commit, again without those that another holder changed meanwhile.
///
/// Returns what became of each.
pub async fn write(cx: &Cx, writes: Vec<RowWrite>) -> Vec<(RowWrite, WriteOutcome)> {
    let mut left = writes;
    let mut done = Vec::new();
    for _ in 0..MOST_COMMITS {
        cx.metrics.event("escrow_write");
        let outcome = cx.table.commit(&commit(&left)).await;
        if let Ok(CommitOutcome::Conflict { key: conflict, .. }) = &outcome
            && let Some(at) = left.iter().position(|it| &key(&it.team) == conflict)
        {
            cx.metrics.event("escrow_conflict");
            done.push((left.swap_remove(at), WriteOutcome::Conflict));
            if left.is_empty() {
                return done;
            }
            continue;
        }
        let outcome = match outcome {
            Ok(CommitOutcome::Done { version }) => WriteOutcome::Applied(Revision(version.0)),
            Ok(CommitOutcome::Conflict { .. }) => WriteOutcome::Conflict,
            Err(_) => WriteOutcome::Unknown,
        };
        done.extend(left.drain(..).map(|it| (it, outcome)));
        return done;
    }
    done.extend(left.into_iter().map(|it| (it, WriteOutcome::Conflict)));
    done
}

fn commit(writes: &[RowWrite]) -> Commit {
    writes.iter().fold(Commit::default(), |commit, RowWrite { team, expected, row }| {
        let expected = (*expected != Revision(0)).then_some(RowVersion(expected.0));
        commit.at(key(team), expected).put(key(team), row)
    })
}

fn known(
    config: &Configuration,
    team: &TeamName,
    row: Option<Row>,
) -> Option<(EscrowRow, Revision)> {
    let Some(row) = row else {
        // Every change of a limit writes the row, so without one the limit is the first one.
        let limit = config.teams.get(team)?.upper_limit;
        return Some((EscrowRow::new(limit, Version::default()), Revision(0)));
    };
    let version = row.version;
    match serde_json::from_value(row.value) {
        Ok(escrow) => Some((escrow, Revision(version.0))),
        Err(e) => {
            log::error!("row {} cannot be read: {e}; run the version that wrote it", row.key);
            None
        }
    }
}
