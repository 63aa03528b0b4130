//! One batch of claims as one conditional commit of the table.

use fuchsiamill_model::{Incarnation, WallTime};
use fuchsiamill_policy::claims::{
    Batch, Bucket, ClaimId, ClaimKey, ClaimRow, Found, IndexKey, IndexRow, Op, Outcome, Progress,
    RequestDigest, Write,
};
use fuchsiamill_ports::{Commit, CommitOutcome, Error, Result, Row, RowVersion, Table};

/// Makes a batch's writes and tells what became of them.
pub async fn write(table: &impl Table, batch: &Batch, index: &IndexKey) -> Outcome {
    match table.commit(&commit(batch, index)).await {
        Ok(CommitOutcome::Done { version }) => Outcome::Written(vec![version.0; batch.ops.len()]),
        Ok(CommitOutcome::Conflict { .. }) => conflict(table, batch).await,
        Err(Error::Unavailable { .. }) => Outcome::NotSent,
        Err(Error::AnswerLost { .. }) => Outcome::Lost,
    }
}

/// The index row of a batch written now.
pub fn index_key(entry: &Incarnation, batch: &Batch, now: WallTime) -> IndexKey {
    IndexKey::new(Bucket::at(now), entry, batch.number)
}

fn commit(batch: &Batch, index: &IndexKey) -> Commit {
    let commit = batch.ops.iter().fold(Commit::default(), add);
    let claims: Vec<_> = batch.ops.iter().filter_map(inserted).collect();
    if claims.is_empty() {
        return commit;
    }
    commit.put(index.as_str(), &IndexRow { claims })
}

fn add(commit: Commit, op: &Op) -> Commit {
    let key = op.key.as_str();
    match &op.write {
        Write::Insert(row) => commit.absent(key).put(key, row),
        Write::Replace(row, version) => commit.at(key, Some(RowVersion(*version))).put(key, row),
        Write::Delete(version) => commit.at(key, Some(RowVersion(*version))).delete(key),
    }
}

fn inserted(op: &Op) -> Option<(ClaimKey, ClaimId)> {
    match &op.write {
        Write::Insert(row) => Some((op.key.clone(), row.id.clone())),
        Write::Replace(..) | Write::Delete(_) => None,
    }
}

/// Nothing was written; the rows tell which conditions failed.
async fn conflict(table: &impl Table, batch: &Batch) -> Outcome {
    match rows(table, batch).await {
        Ok(rows) => Outcome::Conflict(
            batch.ops.iter().zip(rows).filter_map(|(op, row)| failed(op, row)).collect(),
        ),
        Err(_) => Outcome::NotSent,
    }
}

async fn rows(table: &impl Table, batch: &Batch) -> Result<Vec<Option<Row>>> {
    let keys: Vec<String> = batch.ops.iter().map(|op| op.key.as_str().into()).collect();
    table.get(&keys).await
}

fn failed(op: &Op, row: Option<Row>) -> Option<Found> {
    let version = row.as_ref().map(|row| row.version.0);
    let holds = match &op.write {
        Write::Insert(_) => version.is_none(),
        Write::Replace(_, needed) | Write::Delete(needed) => version == Some(*needed),
    };
    if holds {
        return None;
    }
    let row = row.map(|row| (read(op, &row), row.version.0));
    Some(Found { op: op.id, row })
}

/// A row that cannot be read counts as a claim of another whose outcome is not known.
fn read(op: &Op, row: &Row) -> ClaimRow {
    serde_json::from_value(row.value.clone()).unwrap_or_else(|e| {
        log::error!(
            "The claim row of operation {} cannot be read: {e}; it counts as taken.",
            op.id.0
        );
        unreadable(&op.write)
    })
}

fn unreadable(write: &Write) -> ClaimRow {
    let request = match write {
        Write::Insert(own) | Write::Replace(own, _) => own.request,
        Write::Delete(_) => RequestDigest::default(),
    };
    let entry = Incarnation::try_from("unknown").expect("a plain word is a name");
    let progress = Progress::Unknown;
    ClaimRow { id: ClaimId(String::new()), entry, request, deadline: WallTime::default(), progress }
}
