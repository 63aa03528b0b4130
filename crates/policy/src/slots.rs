//! The pool owner's record of the slots of its backend servers, and the choice of a server.

use fuchsiamill_model::{DataCentre, FastMap, Host, HostName, HostState, Moment, Slots};

/// Whether a backend server may get new work, according to its state reports and its failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Intake {
    /// The server may get new work.
    #[default]
    Open,
    /// The server gets one request at a time, as a trial whether it works again.
    Trial,
    /// The server gets no new work; work that runs there finishes.
    Closed,
}

#[derive(Clone, Debug)]
struct Server {
    data_centre: DataCentre,
    slots: Slots,
    state: HostState,
    intake: Intake,
    in_use: Slots,
    busy_until: Moment,
    last_pick: u64,
}

/// The backend servers of one pool, with their slots in use.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    servers: FastMap<HostName, Server>,
    picks: u64,
}

impl SlotTable {
    /// Sets the pool's hosts from the configuration. Slots in use of hosts that stay remain counted.
    pub fn set_hosts<'a>(&mut self, hosts: impl Iterator<Item = &'a Host>) {
        let mut known = std::mem::take(&mut self.servers);
        for host in hosts {
            let old = known.remove(&host.name);
            let server = Server {
                data_centre: host.data_centre.clone(),
                slots: host.slots.min(host.connections),
                state: host.state,
                intake: old.as_ref().map_or(Intake::Open, |it| it.intake),
                in_use: old.as_ref().map_or(0, |it| it.in_use),
                busy_until: old.as_ref().map_or(Moment::default(), |it| it.busy_until),
                last_pick: old.as_ref().map_or(0, |it| it.last_pick),
            };
            self.servers.insert(host.name.clone(), server);
        }
    }

    /// Sets whether a backend server may get new work.
    pub fn set_intake(&mut self, host: &HostName, intake: Intake) {
        if let Some(server) = self.servers.get_mut(host) {
            server.intake = intake;
        }
    }

    /// Gives a backend server no new work until `until`, after it answered that all its slots are in use.
    pub fn set_busy(&mut self, host: &HostName, until: Moment) {
        if let Some(server) = self.servers.get_mut(host) {
            server.busy_until = until;
        }
    }

    /// Returns the total slots of the servers that may get new work.
    pub fn open_slots(&self) -> Slots {
        self.servers.values().map(Server::capacity).sum()
    }

    /// Returns the number of slots that are free now.
    pub fn free(&self, now: Moment) -> Slots {
        self.servers.values().map(|server| server.free(now)).sum()
    }

    /// Returns the number of slots in use.
    pub fn in_use(&self) -> Slots {
        self.servers.values().map(|server| server.in_use).sum()
    }

    /// Returns whether at least one backend server may get new work.
    pub fn is_serving(&self) -> bool {
        self.servers.values().any(|server| server.capacity() > 0)
    }

    /// Takes a free slot on the least loaded backend server; returns `None` if no slot is free.
    ///
    /// Among equally loaded servers, one in the least loaded data centre is preferred, then one in
    /// `near`, then the one that was picked least recently.
    pub fn pick(&mut self, now: Moment, near: &DataCentre) -> Option<HostName> {
        let domain_loads = self.load_by_data_centre();
        let rank = |server: &Server| {
            let domain = domain_loads.get(&server.data_centre).copied().unwrap_or(0);
            (server.load(), domain, &server.data_centre != near, server.last_pick)
        };
        let open = self.servers.iter().filter(|(_, server)| server.free(now) > 0);
        let name = open.min_by_key(|(_, server)| rank(server)).map(|(name, _)| name.clone())?;
        self.picks += 1;
        let server = self.servers.get_mut(&name)?;
        server.last_pick = self.picks;
        server.in_use += 1;
        Some(name)
    }

    /// Counts a slot in use that a previous owner granted.
    pub fn adopt(&mut self, host: &HostName) {
        if let Some(server) = self.servers.get_mut(host) {
            server.in_use += 1;
        }
    }

    /// Frees a slot of a backend server.
    pub fn release(&mut self, host: &HostName) {
        if let Some(server) = self.servers.get_mut(host) {
            server.in_use = server.in_use.saturating_sub(1);
        }
    }

    fn load_by_data_centre(&self) -> FastMap<DataCentre, u32> {
        let mut sums: FastMap<&DataCentre, (Slots, Slots)> = FastMap::default();
        for server in self.servers.values() {
            let sum = sums.entry(&server.data_centre).or_default();
            sum.0 += server.in_use;
            sum.1 += server.capacity();
        }
        sums.into_iter()
            .map(|(name, (used, total))| (name.clone(), permille(used, total)))
            .collect()
    }
}

impl Server {
    fn capacity(&self) -> Slots {
        match (self.state, self.intake) {
            (HostState::Serving, Intake::Open) => self.slots,
            (HostState::Serving, Intake::Trial) => self.slots.min(1),
            _ => 0,
        }
    }

    fn free(&self, now: Moment) -> Slots {
        if self.busy_until > now {
            return 0;
        }
        self.capacity().saturating_sub(self.in_use)
    }

    fn load(&self) -> u32 {
        permille(self.in_use, self.slots)
    }
}

fn permille(used: Slots, total: Slots) -> u32 {
    (u64::from(used) * 1_000 / u64::from(total.max(1))) as u32
}
