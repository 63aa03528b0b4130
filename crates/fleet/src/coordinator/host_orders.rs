//! Orders to hosts that were given lately, by this coordinator and by those before it.

use fuchsiamill_model::units::{Millisecond, Moment};

use super::{Coordinator, Order};
use crate::{Name, timing::with_drift};

/// An order without an answer is given again after this time; it does nothing twice.
const DUTY_RETRY_MS: Millisecond = 1_500;

/// An order is sent within this time, or not at all: a coordinator that was paused while its record was being stored would
/// else send it beside its successor's orders. A change beside a slow store takes a second.
const SEND_BY_MS: Millisecond = 1_500;

impl Coordinator {
    /// Gives orders again that were not answered.
    pub(super) fn repeat_duties(&mut self, now: Moment) {
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
            self.held_back.push(Order::Host { host, duty });
        }
    }

    /// Remembers an order, so that another coordinator does not take turns with it.
    pub(super) fn note_order(&mut self, host: &Name, now: Moment) {
        let kept = self.turn_ms().max(with_drift(self.timing.late_order_ms));
        for orders in [&mut self.recent_orders, &mut self.former_orders] {
            orders.retain(|_, at| now.since(*at) < kept);
        }
        self.recent_orders.insert(host.clone(), now);
        self.orders_noted = true;
    }

    /// Takes back an order whose record took too long; tells whether it may be sent.
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

    /// Hosts that had orders lately and when, if there are new ones to store. Orders of former coordinators that still
    /// matter are among them: yet another one may take over soon.
    pub fn take_recent_orders(&mut self) -> Option<Vec<(Name, Moment)>> {
        if !std::mem::take(&mut self.orders_noted) {
            return None;
        }
        let former = self.former_orders.iter().filter(|it| !self.recent_orders.contains_key(it.0));
        let all = former.chain(&self.recent_orders);
        Some(all.map(|(host, at)| (host.clone(), *at)).collect())
    }

    /// A former coordinator gave a host an order at this moment.
    pub fn note_former_order(&mut self, host: Name, at: Moment) {
        self.former_orders.insert(host, at);
    }

    /// Whether an order would take turns with one that a former coordinator has just given.
    pub(super) fn may_order(&self, host: &Name, now: Moment) -> bool {
        self.former_orders.get(host).is_none_or(|at| now >= *at + self.turn_ms())
    }

    /// How long after a coordinator decided on an order another one must not give one to the same host.
    fn turn_ms(&self) -> Millisecond {
        with_drift(self.timing.holder_change_ms + SEND_BY_MS)
    }

    /// Whether an order of a former coordinator to a host may still be carried out.
    pub(super) fn may_be_under_order(&self, host: &Name, now: Moment) -> bool {
        let late = self.turn_ms().max(with_drift(self.timing.late_order_ms));
        self.former_orders.get(host).is_some_and(|at| now < *at + late)
    }
}
