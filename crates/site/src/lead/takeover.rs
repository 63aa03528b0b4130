//! Checks on other entry hosts that have held the lease or should hold it.

use std::{cell::Cell, rc::Rc, time::Duration};

use fuchsiamill_fleet::{coordinator::Takeover, timing::with_drift};
use fuchsiamill_model::units::Moment;
use monoio::time::sleep;

use super::{
    Candidate,
    entries::Entries,
    event::{Event, EventSender},
    lease::LeaseRow,
    standing::{HolderState, can_coordinate, query_holder},
};

/// The pause between two checks of the stronger entry hosts. It is long since each change of the coordinator costs
/// some starts of tasks.
const STRONGER_PAUSE: Duration = Duration::from_secs(4);

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

/// Periodically sends [`Event::StrongerAvailable`] while a much stronger entry host is able to coordinate.
pub async fn watch_stronger(
    entries: Entries,
    event_sender: EventSender,
    is_leading: Rc<Cell<bool>>,
) {
    loop {
        sleep(STRONGER_PAUSE).await;
        if !is_leading.get() {
            return;
        }
        let rows = entries.borrow().stronger.clone();
        for row in rows {
            if can_coordinate(&row).await {
                event_sender.send(Event::StrongerAvailable);
                break;
            }
        }
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
