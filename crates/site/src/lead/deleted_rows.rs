//! Rows of the table of jobs that this coordinator has deleted.

use fuchsiamill_model::{FastMap, units::Moment};
use fuchsiamill_platform::{Key, Row};

/// Rows that one transaction has deleted.
#[derive(Clone, Debug, PartialEq)]
pub struct Deletion {
    /// The keys of the rows.
    pub keys: Vec<Key>,
    /// The version of the transaction. Rows of these keys with a lower version are gone.
    pub version: u64,
}

/// Deleted rows that a read of their table may still return.
///
/// A read of the whole table and a call to its feed may have begun before a deletion and be answered after it. Taken for
/// news, a row of such an answer would bring back a job that was forgotten with its rows, and all its tasks would run
/// again.
#[derive(Debug, Default)]
pub struct DeletedRows(FastMap<Key, Deleted>);

#[derive(Debug)]
struct Deleted {
    version: u64,
    confirmed: Moment,
}

impl DeletedRows {
    /// Notes a deletion that the store has confirmed by the moment `confirmed`.
    pub fn note(&mut self, deletion: Deletion, confirmed: Moment) {
        let Deletion { keys, version } = deletion;
        self.0.extend(keys.into_iter().map(|it| (it, Deleted { version, confirmed })));
    }

    /// Returns whether a row, as it was read, is known to have been deleted since. A row that was written under its key
    /// after the deletion is not.
    pub fn is_deleted(&self, row: &Row) -> bool {
        self.0.get(&row.key).is_some_and(|it| row.version < it.version)
    }

    /// Forgets the rows whose deletion was confirmed before `known`: later news of the table are those of reads that
    /// began after that moment.
    pub fn table_known(&mut self, known: Moment) {
        self.0.retain(|_, it| it.confirmed >= known);
    }

    /// Returns the number of rows that are kept.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no row is kept.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
