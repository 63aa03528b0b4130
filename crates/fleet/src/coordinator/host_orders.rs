//! Recent orders to hosts, by this coordinator and by former ones.

use fuchsiamill_model::units::{Millisecond, Moment};

use super::{Coordinator, Order};
use crate::{Name, timing::with_drift};

/// An order without a reply is given again after this time; a repeated order has no further effect.
const DUTY_RETRY_MS: Millisecond = 1_500;

/// An order is sent within this time or not at all. Otherwise a coordinator that was paused while its record was being
/// stored would send it at the same time as its successor's orders. A commit to a slow store takes a second.
const SEND_BY_MS: Millisecond = 1_500;

impl Coordinator {
    /// Repeats orders that were not answered.
    pub(super) fn retry_duties(&mut self, now: Moment) {
        let mut repeated = Vec::new();
        for (name, host) in &mut self.hosts {
            let Some(pending) = &mut host.duty else { continue };
            if pending.confirmed.is_none() && now.since(pending.since) >= DUTY_RETRY_MS {
                pending.since = now;
                pending.calls += 1;
                repeated.push((name.clone(), pending.duty.clone()));
            }
        }
        for (host, duty) in repeated {
            self.note_order(&host, now);
            self.give_after_records(Order::Host { host, duty });
        }
    }

    /// Remembers an order, so that another coordinator does not give a conflicting one soon after.
    pub(super) fn note_order(&mut self, host: &Name, now: Moment) {
        let kept = self.former_order_window_ms().max(with_drift(self.timing.late_order_ms));
        for orders in [&mut self.recent_host_orders, &mut self.former_host_orders] {
            orders.retain(|_, at| now.since(*at) < kept);
        }
        self.recent_host_orders.insert(host.clone(), now);
        self.has_new_host_orders = true;
    }

    /// Returns whether an order may be sent. An order to a host whose record took too long to store is withdrawn.
    pub(super) fn may_send(&mut self, order: &Order, now: Moment) -> bool {
        let Order::Host { host: name, .. } = order else { return true };
        let Some(host) = self.hosts.get_mut(name) else { return false };
        let Some(pending) = &mut host.duty else { return false };
        if now.since(pending.since) <= SEND_BY_MS {
            pending.is_sent = true;
            return true;
        }
        pending.calls = pending.calls.saturating_sub(1);
        if !pending.is_sent {
            host.duty = None;
            self.update_reserved(name);
        }
        false
    }

    /// Returns hosts with recent orders and the times of these, or `None` if there are no new ones to store. Orders of
    /// former coordinators that still matter are included, because yet another coordinator may take over soon.
    pub fn take_recent_orders(&mut self) -> Option<Vec<(Name, Moment)>> {
        if !std::mem::take(&mut self.has_new_host_orders) {
            return None;
        }
        let former =
            self.former_host_orders.iter().filter(|it| !self.recent_host_orders.contains_key(it.0));
        let all = former.chain(&self.recent_host_orders);
        Some(all.map(|(host, at)| (host.clone(), *at)).collect())
    }

    /// Notes that a former coordinator gave a host an order at this moment.
    pub fn note_former_order(&mut self, host: Name, at: Moment) {
        self.former_host_orders.insert(host, at);
    }

    /// Returns whether a host may be given an order without conflicting with a recent one from a former coordinator.
    pub(super) fn may_order(&self, host: &Name, now: Moment) -> bool {
        self.former_host_orders
            .get(host)
            .is_none_or(|at| now >= *at + self.former_order_window_ms())
    }

    /// Returns how long after a coordinator decided on an order another one must not give one to the same host.
    fn former_order_window_ms(&self) -> Millisecond {
        with_drift(self.timing.holder_change_ms + SEND_BY_MS)
    }

    /// Returns whether an order of a former coordinator to a host may still be carried out.
    pub(super) fn may_be_under_former_order(&self, host: &Name, now: Moment) -> bool {
        let late = self.former_order_window_ms().max(with_drift(self.timing.late_order_ms));
        self.former_host_orders.get(host).is_some_and(|at| now < *at + late)
    }
}
