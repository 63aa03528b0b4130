//! When bytes of an answer last arrived.

use std::{cell::Cell, rc::Rc, time::Duration};

use monoio::time::{Instant, sleep};

/// An answer of which nothing arrived for this long is stalled: quick calls are late after the same time.
const STALL_TIME: Duration = Duration::from_millis(300);

/// Tells those who wait for an answer whether it is arriving.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    last_read: Rc<Cell<Option<Instant>>>,
}

impl Progress {
    /// Waits until nothing has arrived for a while; returns at once if nothing is arriving.
    pub async fn until_stalled(&self) {
        while let Some(left) = self.time_left() {
            sleep(left).await;
        }
    }

    fn time_left(&self) -> Option<Duration> {
        let left = STALL_TIME.checked_sub(self.last_read.get()?.elapsed())?;
        (!left.is_zero()).then_some(left)
    }

    pub(crate) fn note(&self) {
        self.last_read.set(Some(Instant::now()));
    }
}
