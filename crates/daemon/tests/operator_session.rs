//! Whole sessions of the command line against real entry hosts, compared with golden files.
//!
//! `SNAPSHOTS=overwrite` writes the golden files anew.

mod common;

use common::{Site, operator, session::Session, wait_until};
use fuchsiamill_model::Change;
use snapbox::{assert_data_eq, file};

fn session_of(site: &Site, key: &str) -> Session {
    let entries: Vec<_> = site.entries.iter().map(|it| it.operator).collect();
    let mut session = Session::new(entries.clone(), key);
    for entry in entries {
        session.redact(entry.to_string(), "ENTRY");
    }
    session
}

#[test]
fn looking_around() {
    let site = Site::of(3).pool("rota", 4).spare("reserve", 2).team("north", 8).start();
    let addr = site.entries[1].operator;
    let change = Change::SetShare { team: "north".try_into().unwrap(), share: 3 };
    operator::change(addr, "ben-key", "c1", None, vec![change]);
    let mut session = session_of(&site, "ada-key");
    for line in [
        "status",
        "pool list",
        "report",
        "host list --rack rack-1",
        "host list --pool rota --state serving --json",
        "team list",
        "key list",
        "audit",
        "audit --who ada",
        "audit --outcome written --json --limit 1",
    ] {
        session.run(line);
    }
    let records: Vec<fuchsiamill_api::AuditRecord> =
        operator::call(addr, "audit.list", fuchsiamill_api::AuditFilter::default());
    session.redact(records[0].at.0.to_string(), "\"TIME\"");
    for host in site.config.hosts.values() {
        session.redact(host.backend.to_string(), "BACKEND");
        session.redact(host.worker.to_string(), "WORKER");
    }
    assert_data_eq!(session.text(), file!["sessions/looking_around.txt"]);
}

#[test]
fn mistakes_name_their_remedy() {
    let site = Site::of(2).pool("rota", 1).team("north", 8).start();
    let mut session = session_of(&site, "north-key");
    session.run("status");
    let mut session_of_ada = session_of(&site, "ada-key");
    for line in [
        "fly",
        "plan move --to rota",
        "plan limit north many",
        "host list --state asleep",
        "audit --since yesterday",
    ] {
        session_of_ada.run(line);
    }
    let free = common::net::LoopbackNet::new().free();
    let mut alone = Session::new(vec![free], "ada-key");
    alone.redact(free.to_string(), "ENTRY");
    alone.run("status");
    let text = session.text() + &session_of_ada.text() + &alone.text();
    assert_data_eq!(text, file!["sessions/mistakes.txt"]);
}

#[test]
fn next_entry_host_is_tried_when_one_is_down() {
    let site = Site::of(3).pool("rota", 1).team("north", 8).start();
    site.entries[0].kill();
    let mut session = session_of(&site, "ada-key");
    wait_until("a status without the lost host", || {
        session.run("status").contains("entry-0     does not answer")
    });
    assert!(session.run("team list").contains("north"));
}

fn plan_of(printed: &str) -> String {
    let id = printed.strip_prefix("plan ").and_then(|it| it.split(':').next());
    id.expect("a plan").to_owned()
}

#[test]
fn rack_is_drained_by_plan_and_confirm() {
    let site = Site::of(3).pool("rota", 8).spare("reserve", 2).team("north", 8).start();
    let mut ada = session_of(&site, "ada-key");
    let planned = plan_of(&ada.run("plan --explain drain-rack rack-1"));
    ada.redact(planned.clone(), "PLAN");
    ada.run(&format!("confirm {planned} --wait"));
    ada.run(&format!("confirm {planned}"));
    ada.run("host list --rack rack-1");
    ada.run("plans");
    ada.run("plan drain-rack rack-9");
    ada.run("confirm nothing");
    assert_data_eq!(ada.text(), file!["sessions/drain_rack.txt"]);
}

#[test]
fn teams_and_keys_change_by_plans() {
    let site = Site::of(3).pool("rota", 2).team("north", 8).start();
    let mut ada = session_of(&site, "ada-key");
    let mut ben = session_of(&site, "ben-key");
    let limit = plan_of(&ada.run("plan limit north 5"));
    let other = plan_of(&ben.run("plan limit north 6"));
    ada.redact(limit.clone(), "PLAN-1");
    ben.redact(other.clone(), "PLAN-2");
    ada.run(&format!("confirm {limit}"));
    let refused = ben.run(&format!("confirm {other}"));
    let fresh = refused.split("plan '").nth(1).and_then(|it| it.split('\'').next());
    ben.redact(fresh.expect("a new plan is offered").to_owned(), "PLAN-3");
    let withdrawn = plan_of(&ada.run("plan withdraw-key north-1"));
    ada.redact(withdrawn.clone(), "PLAN-4");
    ada.run(&format!("confirm {withdrawn}"));
    ada.run("key list");
    ada.run("team list");
    let peer = common::net::LoopbackNet::new().free();
    ada.redact(peer.to_string(), "PEER");
    for peer in site.config.entry_hosts.values() {
        ada.redact(peer.to_string(), "PEER");
    }
    ada.run(&format!("entry-host put entry-3 {peer}"));
    ada.run("entry-host list");
    ada.run("entry-host put entry-4 127.0.0.1:1");
    assert_data_eq!(ada.text() + &ben.text(), file!["sessions/teams_and_keys.txt"]);
    assert_eq!(site.post(0, "rota", "north-key", "swap").status, 401);
}
