//! Changes of the configuration through real entry hosts: in force everywhere, once, and truthfully.

mod common;

use common::{Site, operator, wait_until};
use fuchsiamill_api::{AuditFilter, AuditOutcome, AuditRecord, Catalogue, ChangeReport};
use fuchsiamill_model::{Change, Version};
use fuchsiamill_ports::{Range, Row};
use fuchsiamill_standin::admin::PlatformFault;

fn share(team: &str, share: u32) -> Change {
    Change::SetShare { team: team.try_into().unwrap(), share }
}

fn share_at(site: &Site, entry: usize, team: &str) -> u32 {
    let listed: Catalogue = operator::call(site.entries[entry].operator, "catalogue.list", ());
    let found = listed.teams.iter().find(|it| it.name.as_str() == team);
    found.expect("the team is there").share
}

fn audit(site: &Site, entry: usize, filter: AuditFilter) -> Vec<AuditRecord> {
    operator::call(site.entries[entry].operator, "audit.list", filter)
}

fn version_of(report: &ChangeReport) -> Version {
    match report {
        ChangeReport::Accepted { version } => *version,
        other => panic!("not accepted: {other:?}"),
    }
}

#[test]
fn accepted_change_is_in_force_at_every_host() {
    let site = Site::of(3).pool("rota", 1).team("north", 8).start();
    let addr = site.entries[1].operator;
    let report = operator::change(addr, "ada-key", "c1", None, vec![share("north", 7)]);
    let version = version_of(&report);
    for entry in 0..3 {
        assert_eq!(share_at(&site, entry, "north"), 7, "entry host {entry}");
    }
    let status = operator::status(addr);
    assert_eq!(status.config.accepted, version);
    assert_eq!(status.config.hosts.len(), 3);
    assert!(status.config.hosts.values().all(|it| *it == Some(version)), "{status:?}");
    let records = audit(&site, 2, AuditFilter::default());
    assert_eq!(records.len(), 1, "{records:?}");
    assert_eq!(records[0].who.as_str(), "ada");
    assert_eq!((records[0].before.next(), records[0].after), (version, version));
    assert_eq!(records[0].outcome, AuditOutcome::Written);
}

#[test]
fn of_two_racing_operators_exactly_one_wins() {
    let site = Site::of(3).pool("rota", 1).team("north", 8).start();
    let basis = Some(operator::status(site.entries[0].operator).config.version);
    let reports: Vec<ChangeReport> = std::thread::scope(|scope| {
        let ask = |entry: usize, key: &'static str, value| {
            let addr = site.entries[entry].operator;
            scope
                .spawn(move || operator::change(addr, key, key, basis, vec![share("north", value)]))
        };
        let asked = [ask(0, "ada-key", 5), ask(2, "ben-key", 9)];
        asked.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let won = |it: &&ChangeReport| matches!(it, ChangeReport::Accepted { .. });
    assert_eq!(reports.iter().filter(won).count(), 1, "{reports:?}");
    let loser = reports.iter().position(|it| !won(&it)).unwrap();
    let (winner_name, share_now) = if loser == 0 { ("ben", 9) } else { ("ada", 5) };
    let ChangeReport::Conflict { detail } = &reports[loser] else { panic!("{reports:?}") };
    assert!(detail.contains(winner_name) && detail.contains("team 'north'"), "{detail}");
    assert_eq!(share_at(&site, 1, "north"), share_now);
    wait_until("both are in the audit trail", || {
        let records = audit(&site, 1, AuditFilter::default());
        let count = |outcome| records.iter().filter(|it| it.outcome == outcome).count();
        (count(AuditOutcome::Written), count(AuditOutcome::Conflict)) == (1, 1)
    });
}

#[test]
fn change_without_the_table_is_refused_and_not_made_later() {
    let site = Site::of(3).pool("rota", 1).team("north", 8).start();
    site.platform_fault(PlatformFault::Down);
    let addr = site.entries[0].operator;
    let report = operator::change(addr, "ada-key", "c1", None, vec![share("north", 7)]);
    assert!(matches!(report, ChangeReport::Unavailable { .. }), "{report:?}");
    site.platform_fault(PlatformFault::None);
    let later = operator::change(addr, "ada-key", "c2", None, vec![share("north", 3)]);
    version_of(&later);
    assert_eq!(share_at(&site, 0, "north"), 3);
    let records = audit(&site, 0, AuditFilter::default());
    assert_eq!(records.len(), 1, "{records:?}");
}

#[test]
fn host_that_starts_during_an_outage_learns_from_peers() {
    let mut site = Site::of(3).pool("rota", 1).team("north", 8).start();
    let addr = site.entries[0].operator;
    site.entries[2].kill();
    let report = operator::change(addr, "ada-key", "c1", None, vec![share("north", 7)]);
    let version = version_of(&report);
    site.platform_fault(PlatformFault::Down);
    site.restart(2);
    let entry = &site.entries[2];
    wait_until("it is ready", || entry.is_ready());
    assert_eq!(operator::status(entry.operator).config.version, version);
    assert_eq!(share_at(&site, 2, "north"), 7);
    let response = site.post(2, "rota", "north-key", "swap");
    assert_eq!(response.status, 200, "{:?}", response.body);
}

#[test]
fn bad_change_is_refused_whole_and_audited() {
    let site = Site::of(1).pool("rota", 1).team("north", 8).start();
    let addr = site.entries[0].operator;
    let changes = vec![share("north", 7), share("south", 1)];
    let report = operator::change(addr, "ben-key", "c1", None, changes);
    let ChangeReport::Refused { detail } = report else { panic!("{report:?}") };
    assert!(detail.contains("no team 'south'") && detail.contains("team list"), "{detail}");
    assert_eq!(share_at(&site, 0, "north"), 1);
    let by_ben = AuditFilter { who: Some("ben".try_into().unwrap()), ..Default::default() };
    wait_until("the refusal is in the audit trail", || {
        let records = audit(&site, 0, by_ben.clone());
        records.iter().any(|it| it.outcome == AuditOutcome::Refused && it.reason == detail)
    });
    let by_ada = AuditFilter { who: Some("ada".try_into().unwrap()), ..Default::default() };
    assert!(audit(&site, 0, by_ada).is_empty());
}

#[test]
fn limit_and_escrow_row_change_together() {
    let site = Site::of(3).pool("rota", 1).team("north", 8).start();
    let change = Change::SetUpperLimit { team: "north".try_into().unwrap(), upper_limit: 5 };
    let report = operator::change(site.entries[0].operator, "ada-key", "c1", None, vec![change]);
    let version = version_of(&report);
    let range = Range::prefix("escrow/north", 1);
    let rows: Vec<Row> = common::net::post(site.platform(), "/table/range", &range);
    assert_eq!(rows[0].value["limit"], 5);
    assert_eq!(rows[0].value["limit_version"], version.0);
}

#[test]
fn operator_port_needs_a_known_key_and_a_plan_for_hosts() {
    let site = Site::of(1).pool("rota", 1).team("north", 8).start();
    let addr = site.entries[0].operator;
    let refused = operator::try_call(addr, "north-key", "site.status", ()).unwrap_err();
    assert!(refused.to_string().contains("401"), "{refused}");
    let host = site.config.hosts.keys().next().unwrap().clone();
    let change = Change::SetHostState { host, state: fuchsiamill_model::HostState::Draining };
    let request = serde_json::json!({ "id": "c1", "intent": "drain", "changes": [change] });
    let answer = operator::try_call(addr, "ada-key", "config.change", request).unwrap();
    assert!(answer["error"]["message"].as_str().unwrap().contains("fuchsiamill plan"), "{answer}");
}

#[test]
fn folded_log_serves_a_host_that_starts() {
    let mut site = Site::of(3).pool("rota", 1).team("north", 8).start();
    let addr = site.entries[0].operator;
    let changes = 530;
    std::thread::scope(|scope| {
        for writer in 0..10 {
            scope.spawn(move || {
                for turn in 0..changes / 10 {
                    let id = format!("c{writer}-{turn}");
                    let change = vec![share("north", 1 + turn)];
                    operator::change(addr, "ada-key", &id, None, change);
                }
            });
        }
    });
    let snapshot = || -> u64 {
        let range = Range::prefix("config/snapshot", 1);
        let rows: Vec<Row> = common::net::post(site.platform(), "/table/range", &range);
        rows[0].value["version"].as_u64().unwrap()
    };
    wait_until("the log is folded", || snapshot() > 500);
    wait_until("the old entries are gone", || {
        let range = Range::prefix("config/log/", 1_000);
        let rows: Vec<Row> = common::net::post(site.platform(), "/table/range", &range);
        rows.len() < 300
    });
    let version = operator::status(addr).config.version;
    assert_eq!(version.0, 1 + u64::from(changes));
    site.restart(2);
    let entry = &site.entries[2];
    wait_until("it is ready", || entry.is_ready());
    assert_eq!(operator::status(entry.operator).config.version, version);
    let later = operator::change(entry.operator, "ada-key", "later", None, vec![share("north", 2)]);
    assert_eq!(version_of(&later), version.next());
    assert_eq!(share_at(&site, 0, "north"), 2);
}

#[test]
fn lost_answer_of_the_table_acts_once() {
    let site = Site::of(3)
        .pool("rota", 1)
        .team("north", 8)
        .setting("platform.request-timeout-ms", 300)
        .start();
    site.platform_fault(PlatformFault::LoseAnswers { count: 1 });
    let addr = site.entries[0].operator;
    let report = operator::change(addr, "ada-key", "c1", None, vec![share("north", 7)]);
    let version = version_of(&report);
    assert_eq!(site.platform_record().answers_lost, 1);
    for entry in [0, 1] {
        let addr = site.entries[entry].operator;
        let again = operator::change(addr, "ada-key", "c1", None, vec![share("north", 7)]);
        assert_eq!(version_of(&again), version, "asked again through entry host {entry}");
    }
    assert_eq!(operator::status(addr).config.version, version);
    let records = audit(&site, 0, AuditFilter::default());
    assert_eq!(records.len(), 1, "{records:?}");
}
