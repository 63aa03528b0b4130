//! Checks on other entry hosts that have held the lease or should hold it.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use fuchsiamill_fleet::{coordinator::Takeover, timing::with_drift};
use fuchsiamill_model::units::Moment;
use futures_util::{
    StreamExt,
    future::{self, Either, select},
    stream::FuturesUnordered,
};
use monoio::time::sleep;

use super::{
    Candidate,
    entries::{Entries, EntryRow},
    event::{Event, EventSender},
    lease::LeaseRow,
    standing::{HolderState, query_holder, strength_if_able},
};
use crate::clock::Clock;

/// The pause between two checks of the stronger entry hosts.
const STRONGER_PAUSE: Duration = Duration::from_secs(1);

/// The most stronger entry hosts that are asked in one check, which picks them at random.
const MAX_ASKED: usize = 4;

/// The pause between two calls to the former holder of the lease.
const FORMER_PAUSE: Duration = Duration::from_millis(300);

/// Returns until when a former coordinator may have renewed leases of workers.
pub fn takeover(cx: &Candidate, holder_state: HolderState, at: Moment) -> Takeover {
    let renewals_end = match holder_state {
        HolderState::Stopped => at,
        _ => at + with_drift(cx.timing.renewal_ms),
    };
    Takeover { renewals_end, at }
}

/// Returns once a much stronger entry host is able to coordinate, and not before `earliest`.
pub async fn stronger_available(entries: Entries, clock: Clock, earliest: Moment) {
    sleep(Duration::from_millis(earliest.since(clock.now()))).await;
    // Hosts that do not answer must not delay the next round.
    let mut replies = FuturesUnordered::new();
    loop {
        replies.extend(pick_stronger(&entries).into_iter().map(ask_strength));
        let pause = pin!(sleep(STRONGER_PAUSE));
        if let Either::Left((row, _)) =
            select(pin!(first_able(&mut replies, &entries)), pause).await
        {
            tracing::info!(event = "stronger-available", address = %row.address);
            return;
        }
    }
}

fn pick_stronger(entries: &Entries) -> Vec<EntryRow> {
    let mut rows = entries.borrow().stronger.clone();
    fastrand::shuffle(&mut rows);
    rows.truncate(MAX_ASKED);
    rows
}

async fn ask_strength(row: EntryRow) -> (EntryRow, Option<u32>) {
    let strength = strength_if_able(&row).await;
    (row, strength)
}

/// Returns the first entry host that is able to coordinate and much stronger than this one.
async fn first_able(
    replies: &mut FuturesUnordered<impl Future<Output = (EntryRow, Option<u32>)>>,
    entries: &Entries,
) -> EntryRow {
    while let Some((row, strength)) = replies.next().await {
        if strength.is_some_and(|it| entries.borrow().is_weaker_than(it)) {
            return row;
        }
    }
    future::pending().await
}

/// Sends [`Event::StrongerAvailable`] once a much stronger entry host is able to coordinate. Ends once this process no
/// longer coordinates.
pub async fn watch_stronger(
    entries: Entries,
    clock: Clock,
    earliest: Moment,
    event_sender: EventSender,
    is_leading: Rc<Cell<bool>>,
) {
    let ended = async {
        while is_leading.get() {
            sleep(STRONGER_PAUSE).await;
        }
    };
    let available = stronger_available(entries, clock, earliest);
    if let Either::Left(_) = select(pin!(available), pin!(ended)).await {
        event_sender.send(Event::StrongerAvailable);
    }
}

/// Asks the former holder until it certainly gives no more orders, then sends [`Event::FormerEnded`].
pub async fn watch_former(former: LeaseRow, event_sender: EventSender, is_leading: Rc<Cell<bool>>) {
    while is_leading.get() {
        if query_holder(&former).await == HolderState::Stopped {
            event_sender.send(Event::FormerEnded);
            return;
        }
        sleep(FORMER_PAUSE).await;
    }
}
