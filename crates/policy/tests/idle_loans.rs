//! A pool's owner gives borrowed units back that the pool has no slots for, however many requests wait.

use std::rc::Rc;

use fuchsiamill_model::{
    Configuration, EntryName, Host, HostState, Incarnation, Moment, Pool, PoolName, Resources,
    Team, TeamName, Units, Version, config::PoolRole, team::Urgency,
};
use fuchsiamill_policy::{
    dispatch::{Acquire, Action, Answer, Bounds, Dispatcher},
    escrow::{
        EscrowRow, EscrowTiming, HolderId, LoanAnswer, LoanAsk, LoanReturn, Revision, WriteOutcome,
    },
    shares::{Lane, LaneSettings, Ticket},
};

const SLOTS: u32 = 6;
const LIMIT: Units = 8;
/// What the other entry host holds of the limit; the rest is the owner's.
const HELD_BY_LENDER: Units = 5;
const TICK_MS: u64 = 20;

fn entry(at: usize) -> EntryName {
    format!("e{at}").parse().expect("a valid name")
}

fn incarnation() -> Incarnation {
    "i0".parse().expect("a valid name")
}

fn pool() -> PoolName {
    "p".parse().expect("a valid name")
}

fn configuration() -> Rc<Configuration> {
    let addr = "127.0.0.1:1".parse().expect("an address");
    let mut config = Configuration { version: Version(1), ..Configuration::default() };
    let budget =
        Pool { name: pool(), role: PoolRole::Serving, least_serving: 0, most_out_per_domain: 9 };
    config.pools.insert(pool(), budget);
    config.hosts.put(Host {
        name: "h".parse().expect("a valid name"),
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
    });
    for (name, upper_limit) in [("a", LIMIT), ("b", 64)] {
        let name: TeamName = name.parse().expect("a valid name");
        let urgent = Urgency::Normal;
        config.teams.insert(name.clone(), Team { name, share: 1, upper_limit, queue: 4, urgent });
    }
    Rc::new(config)
}

/// The owner of the pool, with a table that answers at once and a lender whose answers the test gives.
struct Owner {
    dispatch: Dispatcher,
    rows: [(EscrowRow, u64); 2],
    granted: Vec<u64>,
    asks: Vec<LoanAsk>,
    returns: Vec<LoanReturn>,
}

impl Owner {
    fn new() -> Self {
        let bounds = Bounds {
            timing: EscrowTiming::default(),
            ask_timeout: 400,
            take_over_timeout: 1_000,
            reserve_percent: 0,
            open: LaneSettings { share: 1, max_queued: 2, urgency: Urgency::Normal },
        };
        let mut lent_out = EscrowRow::new(LIMIT, Version(1));
        let lender = HolderId { entry: entry(1), incarnation: incarnation(), term: 0 };
        lent_out.grow(&lender, HELD_BY_LENDER);
        let mut owner = Self {
            dispatch: Dispatcher::new(entry(0), incarnation(), bounds),
            rows: [(lent_out, 1), (EscrowRow::new(64, Version(1)), 1)],
            granted: Vec::new(),
            asks: Vec::new(),
            returns: Vec::new(),
        };
        let actions = owner.dispatch.configure(Moment(0), configuration());
        owner.carry_out(Moment(0), actions);
        let members = [0, 1].map(|at| (entry(at), incarnation()));
        owner.dispatch.set_members(members.into_iter().collect());
        let actions = owner.dispatch.begin_tenure(Moment(0), &pool());
        owner.carry_out(Moment(0), actions);
        for at in [0, 1] {
            let actions = owner.dispatch.report(Moment(0), &pool(), &entry(at), Vec::new());
            owner.carry_out(Moment(0), actions);
        }
        owner
    }

    fn acquire(&mut self, now: Moment, team: &str, number: u64) {
        let req = Acquire {
            ticket: Ticket { entry: entry(1), number },
            ask: 0,
            pool: pool(),
            lane: Lane::Team(team.parse().expect("a valid name")),
            data_centre: "d".parse().expect("a valid name"),
            left: 5_000,
        };
        let actions = self.dispatch.acquire(now, req);
        self.carry_out(now, actions);
    }

    fn lend(&mut self, now: Moment, units: Units) {
        let ask = self.asks.pop().expect("a loan is asked for");
        assert_eq!(ask.want, units);
        let answer = LoanAnswer { id: ask.id, ask: ask.ask, units, settled_at: Some(Version(1)) };
        let team = "a".parse().expect("a valid name");
        let actions = self.dispatch.loan_answered(now, &team, &answer);
        self.carry_out(now, actions);
    }

    fn tick_until(&mut self, from: Moment, until: Moment) {
        let mut now = from;
        while now < until {
            now = now + TICK_MS;
            let actions = self.dispatch.tick(now);
            self.carry_out(now, actions);
        }
    }

    fn carry_out(&mut self, now: Moment, actions: Vec<Action>) {
        for action in actions {
            let more = match action {
                Action::Answer { ticket, answer: Answer::Granted { .. } } => {
                    self.granted.push(ticket.number);
                    Vec::new()
                }
                Action::Answer { .. } | Action::RecallLoan { .. } => Vec::new(),
                Action::ReadRow { team } => {
                    let (row, at) = self.row(&team).clone();
                    self.dispatch.row_read(now, &team, Some((row, Revision(at))))
                }
                Action::WriteRow { team, expected, row } => {
                    let known = self.row(&team);
                    assert_eq!(known.1, expected.0);
                    *known = (row.clone(), expected.0 + 1);
                    let outcome = WriteOutcome::Applied(Revision(expected.0 + 1));
                    self.dispatch.row_written(now, &team, row, outcome)
                }
                Action::AskLoan { ask, .. } => {
                    self.asks.push(ask);
                    Vec::new()
                }
                Action::ReturnLoan { ret, .. } => {
                    self.returns.push(ret);
                    Vec::new()
                }
            };
            self.carry_out(now, more);
        }
    }

    fn row(&mut self, team: &TeamName) -> &mut (EscrowRow, u64) {
        &mut self.rows[usize::from(team.as_str() != "a")]
    }
}

/// Another owner, whose pool has slots for the team, waits for the unit.
#[test]
fn unit_without_a_slot_goes_back_while_requests_wait() {
    let mut owner = Owner::new();
    (1..=2).for_each(|number| owner.acquire(Moment(1), "b", number));
    (11..=14).for_each(|number| owner.acquire(Moment(1), "a", number));
    owner.tick_until(Moment(1), Moment(301));
    assert_eq!(owner.granted, [1, 2, 11, 12, 13], "three units of the team are the owner's");
    (3..=5).for_each(|number| owner.acquire(Moment(302), "b", number));
    owner.lend(Moment(303), 1);
    assert_eq!(owner.granted, [1, 2, 11, 12, 13, 3], "all slots were in use when the loan came");
    owner.tick_until(Moment(303), Moment(303 + 400));
    let returned: Vec<Units> = owner.returns.iter().map(|it| it.returned).collect();
    assert_eq!(returned, [1], "no slot is left for it, and each team has its part of them");
}
