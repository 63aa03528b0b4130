//! What is known of the coordinator before this one.

use fuchsiamill_model::units::Moment;

use super::Coordinator;

/// The limits of what a former coordinator may have done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Takeover {
    /// The last moment at which the former coordinator may have renewed a lease.
    pub renewals_end: Moment,
    /// When this coordinator took over.
    pub at: Moment,
}

impl Coordinator {
    /// Notes that the former coordinator is known to give no more orders.
    pub fn former_coordinator_ended(&mut self, now: Moment) {
        self.takeover.renewals_end = self.takeover.renewals_end.min(now);
        for worker in self.workers.values_mut().filter(|it| !it.answered) {
            worker.silent_since = worker.silent_since.map(|it| it.min(now));
        }
    }
}
