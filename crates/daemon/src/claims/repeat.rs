//! Claims for callers: a repeat waits for the end of the first request and gets its answer.
//!
//! Nothing is sent on what a peer says: whoever sends holds the claim in the table.

use std::{
    future::Future,
    pin::{Pin, pin},
    time::Duration,
};

use fuchsiamill_model::{EntryName, Incarnation};
use fuchsiamill_policy::claims::{ClaimId, ClaimRow};

use super::{
    Asked, Claimed, Seen, Wanted,
    rpc::{AskEnd, ENDED},
};
use crate::cx::Cx;

/// The longest wait for the holder of a claim.
const ASK_TIME: Duration = Duration::from_secs(1);

/// What follows a wait.
enum Next {
    Tell(ClaimRow),
    ClaimAnew(ClaimId),
}

/// Claims an idempotency key, or waits for the end of the claim that came first until `stop`.
pub async fn claim(cx: &Cx, mut wanted: Wanted, stop: impl Future<Output = ()>) -> Claimed {
    let mut stop = pin!(stop);
    let mut gone = None;
    loop {
        let row = match cx.claims.ask(wanted.clone()).await {
            Asked::Taken(row) => row,
            Asked::Ended(claimed) => return claimed,
        };
        let next = match gone {
            // Its holder knows nothing of it and its row stays: nobody will end it.
            Some(id) if id == row.id => Next::Tell(row),
            _ => wait(cx, &wanted, row, stop.as_mut()).await,
        };
        match next {
            Next::Tell(row) => {
                return cx.claims.taken(&row, wanted.request, cx.clock.wall()).await;
            }
            Next::ClaimAnew(id) => {
                cx.metrics.event("claim_anew");
                gone = Some(id);
                wanted.give_up = cx.clock.now() + cx.settings.claims.wait_ms;
            }
        }
    }
}

async fn wait(
    cx: &Cx,
    wanted: &Wanted,
    mut row: ClaimRow,
    mut stop: Pin<&mut impl Future<Output = ()>>,
) -> Next {
    cx.metrics.event("claim_awaited");
    while row.may_end(wanted.request, cx.clock.wall()) {
        let seen = {
            let seen = pin!(see(cx, wanted, &row));
            monoio::select! {
                seen = seen => Some(seen),
                _ = stop.as_mut() => None,
            }
        };
        match seen {
            Some(Seen::Running) => {}
            Some(Seen::Row { row: newer }) => row = newer,
            Some(Seen::Gone) => return Next::ClaimAnew(row.id),
            None => return Next::Tell(row),
        }
    }
    Next::Tell(row)
}

/// What the holder of a claim says of it, or else the table.
async fn see(cx: &Cx, wanted: &Wanted, row: &ClaimRow) -> Seen {
    let from_holder = match &row.entry {
        me if me == &cx.incarnation => cx.claims.ended(wanted.key.clone(), row.id.clone()).await,
        other => ask_holder(cx, wanted, row, other).await,
    };
    match from_holder {
        Some(seen) => seen,
        None => cx.claims.read(wanted.key.clone()).await,
    }
}

async fn ask_holder(
    cx: &Cx,
    wanted: &Wanted,
    row: &ClaimRow,
    incarnation: &Incarnation,
) -> Option<Seen> {
    let holder = entry_of(cx, incarnation)?;
    let ask = AskEnd { key: wanted.key.clone(), id: row.id.clone() };
    cx.cluster.call_within(&holder, ENDED, &ask, ASK_TIME).await.ok()
}

/// The entry host that runs as `incarnation`, as last heard.
fn entry_of(cx: &Cx, incarnation: &Incarnation) -> Option<EntryName> {
    let runs_as = |it: &EntryName| cx.cluster.incarnation_of(it).as_ref() == Some(incarnation);
    cx.cluster.record().into_iter().find(runs_as)
}
