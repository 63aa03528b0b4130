//! What is known of other holders of the lease.

use std::{cell::Cell, rc::Rc, time::Duration};

use fuchsiamill_fleet::{coordinator::Takeover, terms::with_drift};
use fuchsiamill_model::units::Moment;
use monoio::time::sleep;

use super::{
    Candidate,
    entries::Entries,
    event::{Event, Teller},
    lease::LeaseRow,
    standing::{Holder, ask, is_able},
};

/// The pause between two questions to stronger entry hosts: a change of the coordinator costs some starts.
const STRONGER_PAUSE: Duration = Duration::from_secs(4);

/// The pause between two questions to a former holder of the lease.
const FORMER_PAUSE: Duration = Duration::from_millis(300);

/// Until when others may have given orders.
pub fn takeover(cx: &Candidate, holder: Holder, at: Moment) -> Takeover {
    let renewals_end = match holder {
        Holder::Over => at,
        _ => at + with_drift(cx.terms.renewal_ms),
    };
    Takeover { renewals_end, at }
}

/// Tells once a stronger entry host could coordinate.
pub async fn watch_stronger(entries: Entries, teller: Teller, is_leading: Rc<Cell<bool>>) {
    loop {
        sleep(STRONGER_PAUSE).await;
        if !is_leading.get() {
            return;
        }
        let rows = entries.borrow().stronger.clone();
        for row in rows {
            if is_able(&row).await {
                teller.tell(Event::StrongerAble);
                break;
            }
        }
    }
}

/// Asks the former holder until it surely gives no more orders.
pub async fn watch_former(former: LeaseRow, teller: Teller, is_leading: Rc<Cell<bool>>) {
    while is_leading.get() {
        if ask(&former).await == Holder::Over {
            teller.tell(Event::FormerOver);
            return;
        }
        sleep(FORMER_PAUSE).await;
    }
}
