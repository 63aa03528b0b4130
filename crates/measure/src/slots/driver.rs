//! Backend servers, the network between entry hosts, and time.

use std::{cmp::Reverse, collections::BinaryHeap};

use fuchsiamill_model::{
    DataCentre, EntryName, Host, HostState, Millisecond, Moment, Resources, Slots,
};
use fuchsiamill_policy::shares::{Lane, LaneSettings, QueuedRequest, Queues, Ticket};

use crate::share_meter::{Promise, ShareMeter, TeamLoad};

/// Entry hosts of the site.
pub const ENTRIES: usize = 8;
/// Backend servers of a pool.
pub const SERVERS: usize = 10;
/// Slots of a backend server.
pub const SERVER_SLOTS: Slots = 8;
const HOP: Millisecond = 1;
const DEADLINE: Millisecond = 10_000;
const SAMPLE: Millisecond = 10;
const QUEUE: u32 = 2_000;
/// Loans, timers and the like go on for so long after the last arrival.
const TAIL: Millisecond = 15_000;

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It has not arrived yet.
    Coming,
    /// It waits for a slot.
    Waiting,
    /// It runs at a backend server.
    Running,
    /// It was answered.
    Answered,
    /// Its deadline passed before it ran, or its queue was full.
    Refused,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it arrives at its entry host.
    pub at: Moment,
    /// The team that sent it.
    pub team: usize,
    /// Its entry host.
    pub entry: usize,
    work: Millisecond,
    stage: Stage,
    began: Moment,
}

impl Request {
    /// A request that is still to come.
    pub fn new(at: Millisecond, team: usize, entry: usize, work: Millisecond) -> Self {
        Self { at: Moment(at), team, entry, work, stage: Stage::Coming, began: Moment(0) }
    }

    /// When it is refused if it does not run.
    pub fn until(&self) -> Moment {
        self.at + DEADLINE
    }
}

/// What entry hosts tell each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Message {
    /// A request asks the owner for a slot.
    Acquire { request: usize },
    /// The owner gives a slot of a server.
    Grant { request: usize, server: usize },
    /// A slot of a server is free again.
    Release { request: usize, server: usize },
    /// An entry host asks another for idle slots.
    Borrow { by: usize, wanted: Slots },
    /// The answer, with a server for each slot.
    Lend { servers: Vec<usize> },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sample,
    Arrive { request: usize },
    AtServer { request: usize, server: usize },
    Finish { request: usize, server: usize },
    Answer { request: usize, server: usize, in_use: Slots },
    Busy { request: usize, server: usize, in_use: Slots },
    Deliver { to: usize, message: Message },
    Timer { request: usize },
}

/// A way to give out slots: what the entry hosts do.
pub trait Way {
    /// A request arrives at its entry host.
    fn arrive(&mut self, cx: &mut Driver, request: usize);
    /// The whole answer reaches the entry host, with the slots then in use at the server.
    fn answer(&mut self, cx: &mut Driver, request: usize, server: usize, in_use: Slots);
    /// The server's answer that all its slots are in use reaches the entry host.
    fn busy(&mut self, cx: &mut Driver, request: usize, server: usize, in_use: Slots);
    /// A message reaches an entry host.
    fn deliver(&mut self, _cx: &mut Driver, _to: usize, _message: Message) {}
    /// A request's pause is over.
    fn timer(&mut self, _cx: &mut Driver, _request: usize) {}
    /// Some time has passed.
    fn tick(&mut self, _cx: &mut Driver) {}
}

/// The backend servers of one pool, the requests and the clock.
pub struct Driver {
    /// The time now.
    pub now: Moment,
    /// Every request of the pool.
    pub requests: Vec<Request>,
    /// Answers that all slots of a server are in use.
    pub busy: u64,
    /// Messages between entry hosts.
    pub messages: u64,
    /// The most requests that ran at one server at once.
    pub most_at_server: Slots,
    /// The teams.
    pub teams: Vec<Promise>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    next_event: u64,
    servers: Vec<Slots>,
    loads: Vec<TeamLoad>,
}

impl Driver {
    /// Idle servers, with these requests to come.
    pub fn new(requests: Vec<Request>, teams: Vec<Promise>) -> Self {
        let mut driver = Self {
            now: Moment(0),
            busy: 0,
            messages: 0,
            most_at_server: 0,
            loads: vec![TeamLoad::default(); teams.len()],
            teams,
            events: BinaryHeap::new(),
            next_event: 0,
            servers: vec![0; SERVERS],
            requests,
        };
        for request in 0..driver.requests.len() {
            driver.schedule(driver.requests[request].at, Event::Arrive { request });
        }
        driver
    }

    /// Runs to the end of the last request.
    pub fn run(&mut self, way: &mut dyn Way, meter: &mut ShareMeter) {
        let end = self.requests.last().map_or(Moment(0), |it| it.at) + TAIL;
        self.schedule(Moment(0), Event::Sample);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.step(way, meter, event);
        }
    }

    /// Sends a request to a backend server.
    pub fn send(&mut self, request: usize, server: usize) {
        self.schedule(self.now + HOP, Event::AtServer { request, server });
    }

    /// Sends a message to another entry host.
    pub fn tell(&mut self, to: usize, message: Message) {
        self.messages += 1;
        self.schedule(self.now + HOP, Event::Deliver { to, message });
    }

    /// Calls [`Way::timer`] after a pause.
    pub fn pause(&mut self, request: usize, pause: Millisecond) {
        self.schedule(self.now + pause, Event::Timer { request });
    }

    /// Refuses a request that did not run.
    pub fn refuse(&mut self, request: usize) {
        if self.requests[request].stage == Stage::Waiting {
            self.set_stage(request, Stage::Refused);
        }
    }

    /// Whether a request's deadline has passed.
    pub fn is_overdue(&self, request: usize) -> bool {
        self.requests[request].until() <= self.now
    }

    /// The time from each request's arrival to its run, in milliseconds.
    pub fn waits(&self) -> impl Iterator<Item = Millisecond> {
        let ran = self.requests.iter().filter(|it| it.stage == Stage::Answered);
        ran.map(|it| it.began.since(it.at))
    }

    /// Requests that did not run.
    pub fn refused(&self) -> u64 {
        self.requests.iter().filter(|it| it.stage != Stage::Answered).count() as u64
    }

    /// Queues with a lane for each team.
    pub fn queues(teams: &[Promise]) -> Queues {
        let mut queues = Queues::default();
        for team in teams {
            let urgency = fuchsiamill_model::team::Urgency::Normal;
            let settings = LaneSettings { share: team.share, max_queued: QUEUE, urgency };
            queues.set_lane(Lane::Team(team.team.clone()), settings);
        }
        queues
    }

    /// A request's lane.
    pub fn lane(&self, request: usize) -> Lane {
        Lane::Team(self.teams[self.requests[request].team].team.clone())
    }

    /// A request as queues know it.
    pub fn waiting(
        &self,
        request: usize,
        data_centre: &DataCentre,
        entry: &EntryName,
    ) -> QueuedRequest {
        QueuedRequest {
            ticket: Ticket { entry: entry.clone(), number: request as u64 },
            data_centre: data_centre.clone(),
            until: self.requests[request].until(),
            ask: 0,
            asked_at: self.now,
            is_asking: true,
        }
    }

    fn step(&mut self, way: &mut dyn Way, meter: &mut ShareMeter, event: Event) {
        match event {
            Event::Sample => {
                meter.add(SERVERS as Slots * SERVER_SLOTS, &self.teams, &self.loads, SAMPLE);
                way.tick(self);
                self.schedule(self.now + SAMPLE, Event::Sample);
            }
            Event::Arrive { request } => {
                self.set_stage(request, Stage::Waiting);
                way.arrive(self, request);
            }
            Event::AtServer { request, server } => self.at_server(request, server),
            Event::Finish { request, server } => {
                self.servers[server] -= 1;
                self.set_stage(request, Stage::Answered);
                let in_use = self.servers[server];
                self.schedule(self.now + HOP, Event::Answer { request, server, in_use });
            }
            Event::Answer { request, server, in_use } => way.answer(self, request, server, in_use),
            Event::Busy { request, server, in_use } => way.busy(self, request, server, in_use),
            Event::Deliver { to, message } => way.deliver(self, to, message),
            Event::Timer { request } => way.timer(self, request),
        }
    }

    fn at_server(&mut self, request: usize, server: usize) {
        let in_use = self.servers[server];
        if in_use >= SERVER_SLOTS {
            self.busy += 1;
            self.schedule(self.now + HOP, Event::Busy { request, server, in_use });
            return;
        }
        self.servers[server] += 1;
        self.most_at_server = self.most_at_server.max(self.servers[server]);
        self.set_stage(request, Stage::Running);
        self.requests[request].began = self.now;
        let work = self.requests[request].work;
        self.schedule(self.now + work, Event::Finish { request, server });
    }

    fn set_stage(&mut self, request: usize, stage: Stage) {
        let it = &mut self.requests[request];
        let load = &mut self.loads[it.team];
        match it.stage {
            Stage::Waiting => load.waiting -= 1,
            Stage::Running => load.running -= 1,
            _ => {}
        }
        match stage {
            Stage::Waiting => load.waiting += 1,
            Stage::Running => load.running += 1,
            _ => {}
        }
        it.stage = stage;
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }
}

/// The host of a backend server, of which `slots` may be used.
pub fn host(server: usize, slots: Slots) -> anyhow::Result<Host> {
    Ok(Host {
        name: format!("host-{server}").try_into()?,
        pool: "pool".try_into()?,
        rack: format!("rack-{}", server / 4).try_into()?,
        data_centre: format!("dc-{}", server / 4 % 3).try_into()?,
        region: "north".try_into()?,
        backend: "127.0.0.1:1".parse()?,
        worker: "127.0.0.1:2".parse()?,
        slots,
        connections: 64,
        resources: Resources::default(),
        state: HostState::Serving,
    })
}
