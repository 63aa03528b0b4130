//! Checks on other entry hosts that have held the lease or should hold it.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use fuchsiamill_fleet::{coordinator::Takeover, timing::with_drift};
use fuchsiamill_model::units::Moment;
use futures_util::future::{Either, join_all, select};
use monoio::time::sleep;

use super::{
    Candidate,
    entries::Entries,
    event::{Event, EventSender},
    lease::LeaseRow,
    standing::{HolderState, query_holder, strength_if_able},
};
use crate::clock::Clock;

/// The pause between two checks of the stronger entry hosts.
const STRONGER_PAUSE: Duration = Duration::from_secs(1);

/// The most stronger entry hosts that are asked at once. Each check picks them at random.
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
    loop {
        let pause = Duration::from_millis(earliest.since(clock.now()));
        if pause.is_zero() && is_stronger_available(&entries).await {
            return;
        }
        sleep(pause.max(STRONGER_PAUSE)).await;
    }
}

async fn is_stronger_available(entries: &Entries) -> bool {
    let mut rows = entries.borrow().stronger.clone();
    fastrand::shuffle(&mut rows);
    rows.truncate(MAX_ASKED);
    let strengths = join_all(rows.iter().map(strength_if_able)).await;
    let entries = entries.borrow();
    let found =
        rows.iter().zip(strengths).find(|(_, it)| it.is_some_and(|it| entries.is_weaker_than(it)));
    if let Some((row, strength)) = found {
        tracing::info!(event = "stronger-available", address = %row.address, strength);
    }
    found.is_some()
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
