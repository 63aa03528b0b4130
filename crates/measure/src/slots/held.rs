//! Slots held by entry hosts, each with queues of its own; lent between them or not.

use anyhow::Result;
use fuchsiamill_model::{
    DataCentre, EntryName, FastMap, Host, HostName, Millisecond, Moment, Slots,
};
use fuchsiamill_policy::{shares::Queues, slots::SlotTable};

use super::{
    demand::teams,
    driver::{Driver, ENTRIES, Message, SERVERS, Way, host},
};

/// How long an entry host waits after every other one had nothing to lend.
const ASK_AGAIN: Millisecond = 20;

/// Whether held slots move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lending {
    /// Idle slots go to who asks; the lender takes them off before it answers.
    BetweenEntryHosts,
    /// They stay where they are.
    Never,
}

struct Holder {
    queues: Queues,
    slots: SlotTable,
    hosts: Vec<Host>,
    in_use: Vec<Slots>,
    next_peer: usize,
    denials: usize,
    is_asking: bool,
    ask_at: Moment,
}

/// Every entry host with what it holds.
pub struct Held {
    lending: Lending,
    holders: Vec<Holder>,
    servers: FastMap<HostName, usize>,
    names: Vec<EntryName>,
    data_centre: DataCentre,
}

impl Held {
    /// One slot of each server at each entry host.
    pub fn new(lending: Lending) -> Result<Self> {
        let servers = (0..SERVERS).map(|at| Ok((host(at, 1)?.name, at)));
        let names = (0..ENTRIES).map(|at| Ok(format!("entry-{at}").try_into()?));
        Ok(Self {
            lending,
            holders: (0..ENTRIES).map(|_| Holder::new()).collect::<Result<_>>()?,
            servers: servers.collect::<Result<_>>()?,
            names: names.collect::<Result<_>>()?,
            data_centre: "dc-0".try_into()?,
        })
    }

    fn pump(&mut self, cx: &mut Driver, at: usize) {
        let holder = &mut self.holders[at];
        while holder.slots.free(cx.now) > 0 {
            let Some((lane, waiting)) = holder.queues.pop(|_| true) else { return };
            let Some(host) = holder.slots.pick(cx.now, &waiting.data_centre) else { return };
            holder.queues.started(&lane);
            let server = self.servers[&host];
            holder.in_use[server] += 1;
            cx.send(waiting.ticket.number as usize, server);
        }
        self.ask(cx, at);
    }

    fn ask(&mut self, cx: &mut Driver, at: usize) {
        let holder = &mut self.holders[at];
        let has_reason = !holder.queues.is_empty() && !holder.is_asking;
        if self.lending == Lending::Never || !has_reason || cx.now < holder.ask_at {
            return;
        }
        holder.is_asking = true;
        let to = (at + 1 + holder.next_peer) % ENTRIES;
        let wanted = holder.queues.len() as Slots;
        cx.tell(to, Message::Borrow { by: at, wanted });
    }
}

impl Way for Held {
    fn arrive(&mut self, cx: &mut Driver, request: usize) {
        let at = cx.requests[request].entry;
        let waiting = cx.waiting(request, &self.data_centre, &self.names[at]);
        if self.holders[at].queues.enqueue(&cx.lane(request), waiting).is_err() {
            cx.refuse(request);
        }
        self.pump(cx, at);
    }

    fn answer(&mut self, cx: &mut Driver, request: usize, server: usize, _in_use: Slots) {
        let at = cx.requests[request].entry;
        let holder = &mut self.holders[at];
        holder.slots.release(&holder.hosts[server].name);
        holder.in_use[server] -= 1;
        holder.queues.ended(&cx.lane(request));
        self.pump(cx, at);
    }

    fn busy(&mut self, cx: &mut Driver, request: usize, server: usize, in_use: Slots) {
        self.answer(cx, request, server, in_use);
        self.arrive(cx, request);
    }

    fn deliver(&mut self, cx: &mut Driver, to: usize, message: Message) {
        match message {
            Message::Borrow { by, wanted } => {
                let servers = self.holders[to].lend(wanted);
                cx.tell(by, Message::Lend { servers });
            }
            Message::Lend { servers } => {
                self.holders[to].borrowed(cx.now, &servers);
                self.pump(cx, to);
            }
            Message::Acquire { .. } | Message::Grant { .. } | Message::Release { .. } => {}
        }
    }

    fn tick(&mut self, cx: &mut Driver) {
        let now = cx.now;
        for at in 0..ENTRIES {
            for over in self.holders[at].queues.remove_where(|it| it.until <= now) {
                cx.refuse(over.ticket.number as usize);
            }
            self.ask(cx, at);
        }
    }
}

impl Holder {
    fn new() -> Result<Self> {
        let hosts = (0..SERVERS).map(|at| host(at, 1)).collect::<Result<Vec<_>>>()?;
        let mut slots = SlotTable::default();
        slots.set_hosts(hosts.iter());
        Ok(Self {
            queues: Driver::queues(&teams()?),
            slots,
            hosts,
            in_use: vec![0; SERVERS],
            next_peer: 0,
            denials: 0,
            is_asking: false,
            ask_at: Moment(0),
        })
    }

    /// Gives up half of what is idle, rounded up, and no more than is wanted.
    fn lend(&mut self, wanted: Slots) -> Vec<usize> {
        if !self.queues.is_empty() {
            return Vec::new();
        }
        let idle = |at: usize| self.hosts[at].slots.saturating_sub(self.in_use[at]);
        let all: Slots = (0..SERVERS).map(idle).sum();
        let count = all.div_ceil(2).min(wanted) as usize;
        let each = (0..SERVERS).flat_map(|at| std::iter::repeat_n(at, idle(at) as usize));
        let servers: Vec<usize> = each.take(count).collect();
        for at in &servers {
            self.hosts[*at].slots -= 1;
        }
        self.slots.set_hosts(self.hosts.iter());
        servers
    }

    fn borrowed(&mut self, now: Moment, servers: &[usize]) {
        self.is_asking = false;
        if servers.is_empty() {
            self.next_peer = (self.next_peer + 1) % (ENTRIES - 1);
            self.denials += 1;
            if self.denials == ENTRIES - 1 {
                self.denials = 0;
                self.ask_at = now + ASK_AGAIN;
            }
            return;
        }
        self.denials = 0;
        for at in servers {
            self.hosts[*at].slots += 1;
        }
        self.slots.set_hosts(self.hosts.iter());
    }
}
