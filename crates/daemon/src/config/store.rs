//! The configuration's rows in the table: reading the log, and the commits that write it.

use std::rc::Rc;

use fuchsiamill_model::{Configuration, LogEntry, Version};
use fuchsiamill_policy::config_log::{
    AppendEvent, Compaction, HEAD_KEY, Head, LOG_PREFIX, SNAPSHOT_KEY, Write, log_key,
};
use fuchsiamill_ports::{Commit, CommitOutcome, Range, Result, Row, RowVersion, Table};
use serde::de::DeserializeOwned;

use crate::audit::{key_of, record_of};

const MOST_ENTRIES: usize = 1_000;
const ENTRIES_PER_DELETE: usize = 500;

/// The row of the head, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadRow {
    /// Not known for the version that is applied.
    Unknown,
    /// There is none: the log is empty.
    Absent,
    /// It stands at this row version.
    At(RowVersion),
}

/// What a read of the log, or a peer, gave.
#[derive(Debug)]
pub struct LogRead {
    /// A snapshot, read when the log alone does not reach.
    pub snapshot: Option<Rc<Configuration>>,
    /// Entries in order.
    pub entries: Vec<Rc<LogEntry>>,
    /// The head's row when it stands at `newest`.
    pub head: HeadRow,
    /// The newest version that was read.
    pub newest: Version,
    /// Whether more entries follow.
    pub rest: Rest,
}

impl LogRead {
    /// Entries that a peer pushed or told, or that this host has written.
    pub fn entries(entries: Vec<Rc<LogEntry>>, row: Option<RowVersion>) -> Self {
        Self {
            snapshot: None,
            head: row.map_or(HeadRow::Unknown, HeadRow::At),
            newest: entries.last().map_or(Version::default(), |entry| entry.version),
            entries,
            rest: Rest::Nothing,
        }
    }
}

/// Whether a read reached the end of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    /// It did.
    Nothing,
    /// More entries follow.
    More,
}

/// Reads what follows `applied`. The head's row is the row version of the newest entry, as both are
/// written by one commit.
pub async fn read_log(table: &impl Table, applied: Version) -> Result<LogRead> {
    let mut read = read_entries(table, applied).await?;
    let reaches = match read.entries.first() {
        Some(first) => first.version == applied.next(),
        None => applied > Version::default(),
    };
    if reaches {
        return Ok(read);
    }
    let rows = table.get(&[SNAPSHOT_KEY.into(), HEAD_KEY.into()]).await?;
    let mut rows = rows.into_iter();
    let snapshot: Option<Configuration> = rows.next().flatten().and_then(value);
    let head = rows.next().flatten();
    if let Some(snapshot) = snapshot {
        read = read_entries(table, snapshot.version).await?;
        read.snapshot = Some(Rc::new(snapshot));
    }
    if read.entries.is_empty() && read.newest >= applied {
        read.head = head.map_or(HeadRow::Absent, |row| HeadRow::At(row.version));
    }
    Ok(read)
}

/// Reads the log and, where that does not tell it, the head's row.
pub async fn read_log_and_head(table: &impl Table, applied: Version) -> Result<LogRead> {
    let mut read = read_log(table, applied).await?;
    if read.head == HeadRow::Unknown {
        read.head = read_head(table, read.newest).await?;
    }
    Ok(read)
}

async fn read_head(table: &impl Table, applied: Version) -> Result<HeadRow> {
    let rows = table.get(&[HEAD_KEY.into()]).await?;
    let Some(row) = rows.into_iter().flatten().next() else { return Ok(HeadRow::Absent) };
    let version = row.version;
    let head: Option<Head> = value(row);
    let stands = head.is_some_and(|head| head.version == applied);
    Ok(if stands { HeadRow::At(version) } else { HeadRow::Unknown })
}

/// Writes the first configuration into an empty table. Whether it was this host's does not matter.
pub async fn write_genesis(table: &impl Table, first: &Configuration) -> Result<()> {
    let commit = Commit::default().absent(SNAPSHOT_KEY).absent(HEAD_KEY).put(SNAPSHOT_KEY, first);
    table.commit(&commit).await.map(|_| ())
}

/// The commit of an entry with its audit record.
pub fn commit_of(write: &Write, head: HeadRow) -> Commit {
    let row = match head {
        HeadRow::At(version) => Some(version),
        HeadRow::Absent | HeadRow::Unknown => None,
    };
    let record = record_of(&write.entry);
    Commit::default()
        .at(HEAD_KEY, row)
        .absent(log_key(write.entry.version))
        .put(HEAD_KEY, &write.head)
        .put(log_key(write.entry.version), &*write.entry)
        .put(key_of(&record), &record)
}

/// What the outcome of a commit means for an append, with the head's new row.
pub fn event_of(outcome: &Result<CommitOutcome>) -> (AppendEvent, HeadRow) {
    match outcome {
        Ok(CommitOutcome::Done { version }) => (AppendEvent::Written, HeadRow::At(*version)),
        Ok(CommitOutcome::Conflict { .. }) => (AppendEvent::HeadMoved, HeadRow::Unknown),
        Err(_) => (AppendEvent::AnswerLost, HeadRow::Unknown),
    }
}

/// Folds the log into a snapshot, unless another host did so meanwhile; answers the snapshot's
/// version then.
pub async fn compact(
    table: &impl Table,
    configuration: &Configuration,
    compaction: Compaction,
) -> Result<Version> {
    let rows = table.get(&[SNAPSHOT_KEY.into()]).await?;
    let row = rows.into_iter().flatten().next();
    let known = row.as_ref().map(|row| row.version);
    let stored: Option<Configuration> = row.and_then(value);
    if let Some(stored) = stored
        && stored.version > compaction.replaces
    {
        return Ok(stored.version);
    }
    let commit = Commit::default().at(SNAPSHOT_KEY, known).put(SNAPSHOT_KEY, configuration);
    if let CommitOutcome::Conflict { .. } = table.commit(&commit).await? {
        return Ok(compaction.replaces);
    }
    remove_entries(table, compaction.remove_to).await?;
    Ok(compaction.snapshot)
}

async fn remove_entries(table: &impl Table, last: Version) -> Result<()> {
    let end = log_key(last.next());
    loop {
        let range = Range { start: LOG_PREFIX.into(), end: end.clone(), limit: ENTRIES_PER_DELETE };
        let rows = table.range(&range).await?;
        if rows.is_empty() {
            return Ok(());
        }
        let commit = rows.into_iter().fold(Commit::default(), |it, row| it.delete(row.key));
        table.commit(&commit).await?;
    }
}

async fn read_entries(table: &impl Table, after: Version) -> Result<LogRead> {
    let start = log_key(after.next());
    let end = format!("{LOG_PREFIX}:");
    let rows = table.range(&Range { start, end, limit: MOST_ENTRIES }).await?;
    let head = rows.last().map_or(HeadRow::Unknown, |row| HeadRow::At(row.version));
    let rest = if rows.len() == MOST_ENTRIES { Rest::More } else { Rest::Nothing };
    let entries: Vec<Rc<LogEntry>> = rows.into_iter().map_while(value).map(Rc::new).collect();
    let newest = entries.last().map_or(after, |entry| entry.version);
    Ok(LogRead { snapshot: None, entries, head, newest, rest })
}

fn value<T: DeserializeOwned>(row: Row) -> Option<T> {
    match serde_json::from_value(row.value) {
        Ok(value) => Some(value),
        Err(e) => {
            log::error!("row {} cannot be read: {e}; run the version that wrote it", row.key);
            None
        }
    }
}
