//! A request is served from end to end, through any entry host.

mod common;

use common::Site;
use fuchsiamill_standin::record::RunEnd;

#[test]
fn request_is_answered_through_every_entry_host() {
    let site = Site::of(3).pool("rota", 4).team("north", 8).start();
    for entry in 0..3 {
        let body = format!("swap-{entry}");
        let response = site.post(entry, "rota", "north-key", &body);
        assert_eq!(response.status, 200, "{:?}", response.body);
        assert!(String::from_utf8_lossy(&response.body).ends_with(&format!("ran {body}")));
    }
    let record = site.backend_record();
    assert_eq!(record.runs.len(), 3);
    assert!(record.runs.iter().all(|run| run.end == RunEnd::Finished && run.team == "north"));
}

#[test]
fn request_without_a_known_key_never_runs() {
    let site = Site::of(1).pool("rota", 1).team("north", 8).start();
    let response = site.post(0, "rota", "wrong-key", "swap");
    assert_eq!(response.status, 401);
    assert!(String::from_utf8_lossy(&response.body).contains("\"run\":\"not-run\""));
    assert!(site.backend_record().runs.is_empty());
}

#[test]
fn graceful_stop_finishes_what_runs() {
    let site = Site::of(1)
        .pool("rota", 1)
        .team("north", 8)
        .work_ms(500)
        .setting("timing.shutdown-notice-ms", 50)
        .start();
    std::thread::scope(|scope| {
        let answer = scope.spawn(|| site.post(0, "rota", "north-key", "swap"));
        common::wait_until("the request runs", || site.backend_record().runs.len() == 1);
        site.entries[0].signal("TERM");
        assert_eq!(answer.join().unwrap().status, 200);
    });
    assert!(site.entries[0].wait_end().success());
}

#[test]
fn daemon_holds_no_io_uring_descriptor() {
    let site = Site::of(1).pool("rota", 1).team("north", 8).start();
    let folder = format!("/proc/{}/fd", site.entries[0].pid());
    let targets: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .filter_map(|it| std::fs::read_link(it.ok()?.path()).ok())
        .map(|it| it.display().to_string())
        .collect();
    assert!(targets.iter().any(|it| it.contains("eventpoll")), "{targets:?}");
    assert!(!targets.iter().any(|it| it.contains("io_uring")), "{targets:?}");
}
