//! The owner of a pool answers every ask once, and keeps within slots and upper limits.

use std::rc::Rc;

use fuchsiamill_model::{
    Configuration, EntryName, FastMap, Host, HostState, Incarnation, Moment, Pool, PoolName,
    ProblemKind, Resources, Team, Version, config::PoolRole, team::Urgency,
};
use fuchsiamill_policy::{
    dispatch::{
        Acquire, Action, Answer, Bounds, Dispatcher, Ending, GrantState, Granted, InFlight, Release,
    },
    escrow::{EscrowRow, EscrowTiming, Revision, WriteOutcome},
    shares::{Lane, LaneSettings, Ticket},
};
use quickcheck::{Gen, QuickCheck};

const SLOTS: u32 = 3;
const HOSTS: usize = 2;

fn entry(at: usize) -> EntryName {
    format!("e{at}").parse().expect("a valid name")
}

fn pool() -> PoolName {
    "p".parse().expect("a valid name")
}

fn lane(team: &str) -> Lane {
    Lane::Team(team.parse().expect("a valid name"))
}

fn incarnation() -> Incarnation {
    "i0".parse().expect("a valid name")
}

fn configuration(version: u64, limit: u32) -> Rc<Configuration> {
    let addr = "127.0.0.1:1".parse().expect("an address");
    let mut config = Configuration { version: Version(version), ..Configuration::default() };
    let budget =
        Pool { name: pool(), role: PoolRole::Serving, least_serving: 0, most_out_per_domain: 9 };
    config.pools.insert(pool(), budget);
    for at in 0..HOSTS {
        let host = Host {
            name: format!("h{at}").parse().expect("a valid name"),
            pool: pool(),
            rack: "r".parse().expect("a valid name"),
            data_centre: "d".parse().expect("a valid name"),
            region: "north".parse().expect("a valid name"),
            backend: addr,
            worker: addr,
            slots: SLOTS,
            connections: 64,
            resources: Resources::default(),
            state: HostState::Serving,
        };
        config.hosts.put(host);
    }
    for (name, upper_limit) in [("a", limit), ("b", 64)] {
        let name: fuchsiamill_model::TeamName = name.parse().expect("a valid name");
        let urgent = Urgency::Normal;
        config.teams.insert(name.clone(), Team { name, share: 1, upper_limit, queue: 4, urgent });
    }
    Rc::new(config)
}

fn bounds() -> Bounds {
    Bounds {
        timing: EscrowTiming::default(),
        ask_timeout: 400,
        take_over_timeout: 1_000,
        reserve_percent: 50,
        open: LaneSettings { share: 1, max_queued: 2, urgency: Urgency::Normal },
    }
}

/// An owner with a stand-in for the table that answers at once.
struct Site {
    dispatch: Dispatcher,
    rows: FastMap<String, (EscrowRow, u64)>,
    limit: u32,
    answers: Vec<(Ticket, Answer)>,
}

impl Site {
    fn new(limit: u32) -> Self {
        Self::at(0, limit)
    }

    fn at(me: usize, limit: u32) -> Self {
        let dispatch = Dispatcher::new(entry(me), incarnation(), bounds());
        let mut site = Self { dispatch, rows: FastMap::default(), limit, answers: Vec::new() };
        let actions = site.dispatch.configure(Moment(0), configuration(1, limit));
        site.carry_out(Moment(0), actions);
        site
    }

    fn own(&mut self, now: Moment, members: usize) {
        let members = (0..members).map(|at| (entry(at), incarnation())).collect();
        self.dispatch.set_members(members);
        let actions = self.dispatch.begin_tenure(now, &pool());
        self.carry_out(now, actions);
    }

    fn report(&mut self, now: Moment, at: usize, in_flight: Vec<InFlight>) {
        let actions = self.dispatch.report(now, &pool(), &entry(at), in_flight);
        self.carry_out(now, actions);
    }

    fn owning(limit: u32) -> Self {
        let mut site = Self::new(limit);
        site.own(Moment(0), 1);
        site.report(Moment(0), 0, Vec::new());
        site
    }

    fn acquire(&mut self, now: Moment, number: u64, lane: Lane, left: u64) -> Option<Answer> {
        let ticket = Ticket { entry: entry(1), number };
        self.ask(now, ticket, now.0, lane, left)
    }

    fn ask(
        &mut self,
        now: Moment,
        ticket: Ticket,
        ask: u64,
        lane: Lane,
        left: u64,
    ) -> Option<Answer> {
        let data_centre = "d".parse().expect("a valid name");
        let req = Acquire { ticket: ticket.clone(), ask, pool: pool(), lane, data_centre, left };
        let actions = self.dispatch.acquire(now, req);
        self.carry_out(now, actions);
        let at = self.answers.iter().position(|(it, _)| *it == ticket)?;
        Some(self.answers.swap_remove(at).1)
    }

    fn tick(&mut self, now: Moment) {
        let actions = self.dispatch.tick(now);
        self.carry_out(now, actions);
    }

    fn release(&mut self, now: Moment, granted: &Granted, ending: Ending) {
        let release = Release { grant: granted.grant.clone(), pool: pool(), ending };
        let actions = self.dispatch.release(now, &release);
        self.carry_out(now, actions);
    }

    fn carry_out(&mut self, now: Moment, actions: Vec<Action>) {
        for action in actions {
            let more = match action {
                Action::Answer { ticket, answer } => {
                    self.answers.push((ticket, answer));
                    Vec::new()
                }
                Action::ReadRow { team } => {
                    let limit = if team.as_str() == "a" { self.limit } else { 64 };
                    let fresh = || (EscrowRow::new(limit, Version(1)), 1);
                    let (row, at) = self.rows.entry(team.to_string()).or_insert_with(fresh).clone();
                    self.dispatch.row_read(now, &team, Some((row, Revision(at))))
                }
                Action::WriteRow { team, expected, row } => {
                    let known = self.rows.get_mut(team.as_str()).expect("a row that was read");
                    assert_eq!(known.1, expected.0);
                    *known = (row.clone(), expected.0 + 1);
                    let outcome = WriteOutcome::Applied(Revision(expected.0 + 1));
                    self.dispatch.row_written(now, &team, row, outcome)
                }
                Action::AskLoan { .. } | Action::ReturnLoan { .. } | Action::RecallLoan { .. } => {
                    Vec::new()
                }
            };
            self.carry_out(now, more);
        }
    }
}

fn granted(answer: Option<Answer>) -> Granted {
    match answer {
        Some(Answer::Granted { grant }) => grant,
        other => panic!("not granted: {other:?}"),
    }
}

fn refusal(answer: Option<Answer>) -> ProblemKind {
    match answer {
        Some(Answer::Refused { problem }) => problem.kind,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn limit_and_slots_hold() {
    let mut site = Site::owning(2);
    let first = granted(site.acquire(Moment(1), 1, lane("a"), 5_000));
    granted(site.acquire(Moment(2), 2, lane("a"), 5_000));
    assert_eq!(site.acquire(Moment(3), 3, lane("a"), 5_000), None, "the limit is two");
    for number in 4..8 {
        granted(site.acquire(Moment(4), number, lane("b"), 5_000));
    }
    assert_eq!(site.acquire(Moment(5), 8, lane("b"), 5_000), None, "all six slots are in use");
    site.release(Moment(6), &first, Ending::Answered);
    let third = site.answers.pop().expect("the freed unit and slot go to the third request");
    assert_eq!(third.0.number, 3);
}

#[test]
fn lost_answer_keeps_unit_and_slot() {
    let mut site = Site::owning(1);
    let first = granted(site.acquire(Moment(0), 1, lane("a"), 1_000));
    site.release(Moment(1), &first, Ending::Lost);
    assert_eq!(site.dispatch.pools().next().map(|it| it.2), Some(1), "its slot is still in use");
    assert_eq!(site.acquire(Moment(900), 2, lane("a"), 5_000), None, "the first may still run");
    site.tick(Moment(1_019));
    assert!(site.answers.is_empty(), "the drift margin is not over");
    site.tick(Moment(1_021));
    assert_eq!(site.answers.len(), 1);
}

#[test]
fn queue_is_bounded_and_enforces_deadlines() {
    let mut site = Site::owning(0);
    for number in 0..4 {
        assert_eq!(site.acquire(Moment(0), number, lane("a"), 300), None);
    }
    assert_eq!(refusal(site.acquire(Moment(0), 9, lane("a"), 300)), ProblemKind::QueueFull);
    granted(site.acquire(Moment(0), 10, lane("b"), 300));
    site.tick(Moment(310));
    assert_eq!(site.answers.len(), 4);
    for (_, answer) in std::mem::take(&mut site.answers) {
        assert_eq!(refusal(Some(answer)), ProblemKind::DeadlinePassed);
    }
}

#[test]
fn open_ask_is_answered_and_keeps_its_place() {
    let mut site = Site::owning(0);
    assert_eq!(site.acquire(Moment(0), 1, lane("a"), 9_000), None);
    site.tick(Moment(400));
    assert_eq!(site.answers.pop().map(|it| it.1), Some(Answer::Queued));
    assert_eq!(site.acquire(Moment(450), 1, lane("a"), 8_500), None);
    site.tick(Moment(900));
    assert_eq!(site.answers.pop().map(|it| it.1), Some(Answer::Queued));
    site.tick(Moment(1_500));
    assert_eq!(site.dispatch.pools().next().map(|it| it.3), Some(0), "not asked for again");
}

#[test]
fn late_ask_does_not_end_a_grant() {
    let mut site = Site::owning(1);
    let ticket = Ticket { entry: entry(1), number: 1 };
    granted(site.ask(Moment(5), ticket.clone(), 2, lane("a"), 5_000));
    assert_eq!(site.ask(Moment(6), ticket.clone(), 1, lane("a"), 5_000), None);
    assert_eq!(site.acquire(Moment(7), 2, lane("a"), 5_000), None, "the first still runs");
    assert_eq!(site.ask(Moment(8), ticket, 3, lane("a"), 5_000), None);
    let next = site.answers.pop().expect("the unused grant's unit goes to the next in the queue");
    assert_eq!(next.0.number, 2);
}

#[test]
fn new_owner_counts_requests_in_flight() {
    let mut old = Site::owning(10);
    let kept = granted(old.acquire(Moment(0), 1, lane("b"), 5_000));
    let mut site = Site::new(10);
    site.own(Moment(0), 2);
    assert_eq!(site.acquire(Moment(1), 1, lane("b"), 5_000), None, "the takeover is not over");
    let in_flight = |number: u64| InFlight {
        grant: fuchsiamill_policy::dispatch::GrantRef {
            owner: entry(7),
            incarnation: incarnation(),
            number: fuchsiamill_policy::escrow::GrantId(number),
        },
        lane: lane("a"),
        host: kept.host.clone(),
        left: 2_000,
    };
    let early = in_flight(5);
    let release = Release { grant: early.grant.clone(), pool: pool(), ending: Ending::Answered };
    site.dispatch.release(Moment(2), &release);
    site.report(Moment(3), 1, vec![in_flight(1), in_flight(2), in_flight(3), early]);
    assert!(site.answers.is_empty(), "one report is missing");
    site.report(Moment(4), 0, Vec::new());
    let first = granted(site.answers.pop().map(|it| it.1));
    assert_ne!(first.host, kept.host, "its three slots are in use");
    assert_eq!(site.dispatch.pools().next().map(|it| it.2), Some(4));
    site.tick(Moment(2_100));
    assert_eq!(site.dispatch.pools().next().map(|it| it.2), Some(1));
}

#[test]
fn ended_tenure_answers_its_queue() {
    let mut site = Site::owning(0);
    assert_eq!(site.acquire(Moment(0), 1, lane("a"), 9_000), None);
    let actions = site.dispatch.end_tenure(&pool());
    site.carry_out(Moment(1), actions);
    assert_eq!(site.answers.pop().map(|it| it.1), Some(Answer::NotOwner));
    assert_eq!(site.acquire(Moment(2), 1, lane("a"), 9_000), Some(Answer::NotOwner));
}

#[test]
fn suspended_owner_grants_nothing() {
    let mut site = Site::owning(2);
    site.dispatch.set_grant_state(Moment(0), &pool(), GrantState::Suspended);
    assert_eq!(site.acquire(Moment(1), 1, lane("a"), 5_000), None);
    let actions = site.dispatch.set_grant_state(Moment(2), &pool(), GrantState::Enabled);
    site.carry_out(Moment(2), actions);
    let first = granted(site.answers.pop().map(|it| it.1));
    assert_eq!((first.version, first.upper_limit), (Version(1), Some(2)));
}

#[test]
fn cancelled_request_frees_its_grant_and_place() {
    let mut site = Site::owning(1);
    granted(site.acquire(Moment(0), 1, lane("a"), 5_000));
    assert_eq!(site.acquire(Moment(0), 2, lane("a"), 5_000), None);
    assert_eq!(site.acquire(Moment(0), 3, lane("a"), 5_000), None);
    let ticket = |number| Ticket { entry: entry(1), number };
    site.dispatch.cancel(Moment(1), &pool(), &ticket(2));
    let actions = site.dispatch.cancel(Moment(1), &pool(), &ticket(1));
    site.carry_out(Moment(1), actions);
    assert_eq!(site.answers.pop().map(|it| it.0.number), Some(3));
}

/// Checks slots and limits, and that every grant answers one open ask, under random asks, endings and times.
fn keeps_bounds(seed: u64) -> bool {
    let mut rng = fastrand::Rng::with_seed(seed);
    let limit = rng.u32(0..5);
    let mut site = Site::owning(limit);
    let mut now = Moment(0);
    let mut open: Vec<u64> = Vec::new();
    let mut asked: Vec<Moment> = Vec::new();
    let mut running: Vec<(u64, Granted)> = Vec::new();
    for number in 0..300 {
        now = now + rng.u64(0..60);
        let team = if rng.bool() { "a" } else { "b" };
        open.push(number);
        asked.push(now);
        if let Some(answer) = site.acquire(now, number, lane(team), 2_000) {
            site.answers.push((Ticket { entry: entry(1), number }, answer));
        }
        while !running.is_empty() && rng.u8(0..3) == 0 {
            let (_, granted) = running.swap_remove(rng.usize(0..running.len()));
            site.release(now, &granted, Ending::Answered);
        }
        site.tick(now);
        for (ticket, answer) in std::mem::take(&mut site.answers) {
            let Some(at) = open.iter().position(|it| *it == ticket.number) else { return false };
            open.swap_remove(at);
            if let Answer::Granted { grant } = answer {
                running.push((ticket.number, grant));
            }
        }
        running.retain(|it| now.since(asked[it.0 as usize]) < 2_000);
        let on = |host: &str| running.iter().filter(|it| it.1.host.as_str() == host).count();
        let held = site.rows.get("a").map_or(0, |(row, _)| row.sum());
        if on("h0") > SLOTS as usize || on("h1") > SLOTS as usize || held > limit {
            return false;
        }
    }
    true
}

#[test]
fn every_ask_has_one_answer() {
    let rng = Gen::from_size_and_seed(8, 20_261_204);
    QuickCheck::new().rng(rng).tests(200).quickcheck(keeps_bounds as fn(u64) -> bool);
}

#[test]
fn owner_reports_use_of_lanes() {
    let mut site = Site::owning(64);
    assert!(site.dispatch.lanes().is_empty(), "nothing was asked for");
    let slots = SLOTS as usize * HOSTS;
    for number in 0..slots as u64 + 2 {
        site.acquire(Moment(1), number, lane("b"), 5_000);
    }
    let lanes = site.dispatch.lanes();
    let [used] = &lanes[..] else { panic!("one lane: {lanes:?}") };
    assert_eq!((used.lane.clone(), used.running, used.queued), (lane("b"), slots as u32, 2));
    assert_eq!(used.nearness, None, "no time has passed");
    site.tick(Moment(100));
    assert_eq!(site.dispatch.lanes()[0].nearness, Some(1.0), "the lane has the whole pool");
    let _ = site.dispatch.end_tenure(&pool());
    assert!(site.dispatch.lanes().is_empty(), "another host reports them now");
}

#[test]
fn small_reserve_is_kept_by_one_entry_host() {
    let kept = |at| {
        let mut site = Site::at(at, 3);
        site.own(Moment(0), 4);
        (1..5).for_each(|at| site.tick(Moment(at * 1_000)));
        site.rows.get("a").map_or(0, |(row, _)| row.sum())
    };
    assert_eq!((0..4).map(kept).sum::<u32>(), 1, "half of a limit of 3, rounded down");
}
