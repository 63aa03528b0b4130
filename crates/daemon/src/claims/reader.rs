//! Reads of claim rows for repeats whose holder does not answer: many rows in one read, seldom.

use std::{rc::Rc, time::Duration};

use fuchsiamill_policy::claims::ClaimKey;
use fuchsiamill_ports::{Row, Table};
use monoio::time::sleep;
use tokio::sync::{mpsc, oneshot};

use super::Seen;

/// The time between two reads.
const PERIOD: Duration = Duration::from_millis(500);
const ROWS_PER_READ: usize = 256;

/// A row that is asked for.
pub struct Question {
    /// Its key.
    pub key: ClaimKey,
    /// Where it is told.
    pub tx: oneshot::Sender<Seen>,
}

/// Answers questions until no handle is left.
pub async fn run<T: Table>(table: Rc<T>, mut rx: mpsc::UnboundedReceiver<Question>) {
    let mut asked = Vec::new();
    while rx.recv_many(&mut asked, ROWS_PER_READ).await > 0 {
        asked.retain(|it| !it.tx.is_closed());
        answer(&*table, std::mem::take(&mut asked)).await;
        sleep(PERIOD).await;
    }
}

async fn answer<T: Table>(table: &T, asked: Vec<Question>) {
    if asked.is_empty() {
        return;
    }
    let keys: Vec<String> = asked.iter().map(|it| it.key.as_str().into()).collect();
    let Ok(rows) = table.get(&keys).await else { return };
    for (question, row) in asked.into_iter().zip(rows) {
        let _ = question.tx.send(seen(row));
    }
}

fn seen(row: Option<Row>) -> Seen {
    let Some(row) = row else { return Seen::Gone };
    match serde_json::from_value(row.value) {
        Ok(row) => Seen::Row { row },
        Err(_) => Seen::Running,
    }
}
