//! One owner of the pool by rendezvous hash: each request makes a hop to it for its slot.

use anyhow::Result;
use fuchsiamill_model::{DataCentre, EntryName, FastMap, HostName, PoolName, Slots};
use fuchsiamill_policy::{membership::owner, shares::Queues, slots::SlotTable};

use super::{
    demand::teams,
    driver::{Driver, ENTRIES, Message, SERVER_SLOTS, SERVERS, Way, host},
};

/// The owner's state, and who it is.
pub struct Owner {
    me: usize,
    queues: Queues,
    slots: SlotTable,
    servers: FastMap<HostName, usize>,
    hosts: Vec<HostName>,
    names: Vec<EntryName>,
    data_centre: DataCentre,
}

impl Owner {
    /// The owner of the pool with this index.
    pub fn new(pool: usize) -> Result<Self> {
        let names = (0..ENTRIES).map(|at| Ok(format!("entry-{at}").try_into()?));
        let names = names.collect::<Result<Vec<EntryName>>>()?;
        let pool = PoolName::try_from(format!("pool-{pool}"))?;
        let owner = owner(&pool, &names).cloned();
        let hosts = (0..SERVERS).map(|at| host(at, SERVER_SLOTS)).collect::<Result<Vec<_>>>()?;
        let mut slots = SlotTable::default();
        slots.set_hosts(hosts.iter());
        let hosts: Vec<HostName> = hosts.into_iter().map(|it| it.name).collect();
        Ok(Self {
            me: names.iter().position(|it| Some(it) == owner.as_ref()).unwrap_or(0),
            queues: Driver::queues(&teams()?),
            slots,
            servers: hosts.iter().cloned().enumerate().map(|(at, it)| (it, at)).collect(),
            hosts,
            names,
            data_centre: "dc-0".try_into()?,
        })
    }

    fn acquire(&mut self, cx: &mut Driver, request: usize) {
        let entry = &self.names[cx.requests[request].entry];
        let waiting = cx.waiting(request, &self.data_centre, entry);
        if self.queues.enqueue(&cx.lane(request), waiting).is_err() {
            cx.refuse(request);
        }
        self.pump(cx);
    }

    fn release(&mut self, cx: &mut Driver, request: usize, server: usize) {
        self.slots.release(&self.hosts[server]);
        self.queues.ended(&cx.lane(request));
        self.pump(cx);
    }

    fn pump(&mut self, cx: &mut Driver) {
        while self.slots.free(cx.now) > 0 {
            let Some((lane, waiting)) = self.queues.pop(|_| true) else { return };
            let Some(host) = self.slots.pick(cx.now, &waiting.data_centre) else { return };
            self.queues.started(&lane);
            let request = waiting.ticket.number as usize;
            let server = self.servers[&host];
            match cx.requests[request].entry {
                entry if entry == self.me => cx.send(request, server),
                entry => cx.tell(entry, Message::Grant { request, server }),
            }
        }
    }
}

impl Way for Owner {
    fn arrive(&mut self, cx: &mut Driver, request: usize) {
        if cx.requests[request].entry == self.me {
            self.acquire(cx, request);
        } else {
            cx.tell(self.me, Message::Acquire { request });
        }
    }

    fn answer(&mut self, cx: &mut Driver, request: usize, server: usize, _in_use: Slots) {
        if cx.requests[request].entry == self.me {
            self.release(cx, request, server);
        } else {
            cx.tell(self.me, Message::Release { request, server });
        }
    }

    fn busy(&mut self, cx: &mut Driver, request: usize, server: usize, in_use: Slots) {
        self.answer(cx, request, server, in_use);
        self.arrive(cx, request);
    }

    fn deliver(&mut self, cx: &mut Driver, _to: usize, message: Message) {
        match message {
            Message::Acquire { request } => self.acquire(cx, request),
            Message::Release { request, server } => self.release(cx, request, server),
            Message::Grant { request, server } => cx.send(request, server),
            Message::Borrow { .. } | Message::Lend { .. } => {}
        }
    }

    fn tick(&mut self, cx: &mut Driver) {
        let now = cx.now;
        for over in self.queues.remove_where(|it| it.until <= now) {
            cx.refuse(over.ticket.number as usize);
        }
    }
}
