//! The cases.

use std::{
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use crate::{
    record::Record,
    site::{Queue, Site},
    worker::{Spec, Work},
};

const QUEUE: &str = "/scan/";
const KEY: &str = "key-north";

fn spec(id: &str, service: &str) -> Spec {
    Spec {
        id: id.into(),
        service: service.into(),
        labels: ["a".into(), "r1-1".into()],
        cpu: 16_000,
        mem_mb: 65_536,
        hold_max_ms: 10_000,
        clock_speed: 1.0,
    }
}

/// How long an executor is silent before its entry is removed: three heartbeats.
const ENTRY_KEPT: Duration = Duration::from_millis(4_500);

/// Returns 13 executors, four to a rack, so that one of them is a share of 0.077.
fn executors() -> Vec<Spec> {
    let new = |it| {
        let rack = format!("r1-{}", it / 4 + 1);
        let labels = ["a".into(), rack];
        Spec { labels, ..spec(&format!("i-000000a{it:x}"), "postroom") }
    };
    (0..13).map(new).collect()
}

fn job(ms: u64, count: u32, cpu: u32, mem_mb: u32, more: &str) -> String {
    format!(
        r#"{{"spec":"ms={ms}","steps":[{{"count":{count},"cpu":{cpu},"mem_mb":{mem_mb},"estimate_ms":{ms}{more}}}]}}"#
    )
}

fn post(site: &Site, prefix: &str, key: &str, id: &str, body: &str, size: (u64, u64)) {
    let work = Work { cpu: size.0, mem_mb: size.1, gang: None };
    post_work(site, prefix, key, id, body, work);
}

fn post_work(site: &Site, prefix: &str, key: &str, id: &str, body: &str, work: Work) {
    site.book.work.lock().unwrap().insert(id.to_owned(), work);
    if !site.post(prefix, id, key, body) {
        site.give_up(&format!("job {id} was not accepted"));
    }
}

fn finish(site: &Site) -> ! {
    let twice = site.book.twice.lock().unwrap().clone();
    for (task, text) in twice.iter().take(5) {
        site.record.say(&format!("TWICE {task}: {text}"));
    }
    site.record.say(&format!("{} times TWICE", twice.len()));
    site.end(i32::from(!twice.is_empty()))
}

fn one_queue() -> [Queue; 1] {
    [Queue { prefix: QUEUE, service: "postroom", tenant: "north" }]
}

/// More than 500 work items end on one executor while it is cut off.
pub fn many_ends(record: &Record, has_trouble: bool) {
    // Jobs no wider than the widest of the site file.
    const JOBS: u64 = 29;
    const WIDTH: u64 = 32;
    const COUNT: u64 = JOBS * WIDTH;
    const WORK: Duration = Duration::from_millis(8_000);
    let site = Site::start(record, &one_queue(), executors(), 6);
    site.wait_coordinator();
    let ids: Vec<String> = (0..JOBS).map(|it| format!("5c0e7a21d94b36{it:02x}")).collect();
    let body = job(WORK.as_millis() as u64, WIDTH as u32, 15, 16, "");
    let posted = Instant::now();
    ids.iter().for_each(|it| post(&site, QUEUE, KEY, it, &body, (15, 16)));
    if !site.wait(Duration::from_secs(10), || site.book.starts.load(Ordering::Relaxed) > 0) {
        site.give_up("nothing starts");
    }
    let first = posted;
    if !site.wait(WORK / 2, || site.book.starts.load(Ordering::Relaxed) == COUNT) {
        site.give_up("the work items do not all start in time");
    }
    site.record
        .say(&format!("{COUNT} work items started within {} ms", first.elapsed().as_millis()));
    let busiest =
        site.executors.iter().min_by_key(|it| it.free_cpu()).expect("there are executors");
    thread::sleep((WORK - Duration::from_millis(200)).saturating_sub(first.elapsed()));
    if has_trouble {
        busiest.set_cut(true);
        thread::sleep(Duration::from_millis(2_500));
        busiest.set_cut(false);
    }
    let is_completed = |it: &String| site.state(QUEUE, it, KEY) == "completed";
    site.wait(Duration::from_secs(30), || {
        thread::sleep(Duration::from_millis(300));
        ids.iter().all(is_completed)
    });
    let completed = ids.iter().filter(|it| is_completed(it)).count();
    site.record.say(&format!("{completed} of {JOBS} jobs are completed"));
    thread::sleep(Duration::from_millis(1_000));
    let starts = site.book.starts.load(Ordering::Relaxed);
    site.record.say(&format!("{starts} starts of {COUNT} work items"));
    finish(&site)
}

/// An executor crashes and starts again under its id; its entry is written again with its next heartbeat.
pub fn new_life(record: &Record, has_trouble: bool) {
    const HEARTBEAT: Duration = Duration::from_millis(1_500);
    // When the new life writes its entry, counted from its start.
    const FIRST_ENTRY: Duration = Duration::from_millis(1_000);
    const FIRST_JOBS: u64 = 8;
    const LATER_JOBS: u64 = 40;
    // The jobs need the kind of the first executor.
    const KIND: &str = r#","requires":"b""#;
    let mut specs = executors();
    specs[0].labels[0] = "b".into();
    let site = Site::start(record, &one_queue(), specs, 6);
    site.wait_coordinator();
    let worker = &site.executors[0];
    for number in 0..FIRST_JOBS {
        let id = format!("5c0e7a21d94b36{number:02x}");
        post(&site, QUEUE, KEY, &id, &job(100, 30, 400, 64, KIND), (400, 64));
    }
    let dones = || site.book.dones.load(Ordering::Relaxed);
    if !site.wait(Duration::from_secs(20), || dones() == FIRST_JOBS * 30) {
        site.give_up("the first jobs are not done");
    }
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        worker.crash();
        thread::sleep(Duration::from_millis(200));
        worker.begin();
    }
    let begun = Instant::now();
    let mut entry_due = if has_trouble { FIRST_ENTRY } else { HEARTBEAT };
    for number in 0..LATER_JOBS {
        let id = format!("5c0e7a21d94b37{number:02x}");
        post(&site, QUEUE, KEY, &id, &job(100, 12, 400, 64, KIND), (400, 64));
        thread::sleep(Duration::from_millis(30));
        if begun.elapsed() > entry_due {
            worker.register();
            entry_due += HEARTBEAT;
        }
    }
    let is_done = |it| site.state(QUEUE, &format!("5c0e7a21d94b37{it:02x}"), KEY) == "completed";
    site.wait(Duration::from_secs(20), || {
        thread::sleep(Duration::from_millis(300));
        (0..LATER_JOBS).all(is_done)
    });
    thread::sleep(Duration::from_millis(1_000));
    finish(&site)
}

/// One job is so wide that its progress does not fit into a row.
pub fn wide_job(record: &Record, has_trouble: bool) {
    const FINISH: Duration = Duration::from_secs(14);
    let queues = [
        Queue { prefix: QUEUE, service: "postroom", tenant: "north" },
        Queue { prefix: "/file/", service: "postroom", tenant: "south" },
    ];
    let specs = (0..12).map(|it| spec(&format!("i-000000a{it:x}"), "postroom")).collect();
    let site = Site::start(record, &queues, specs, 6);
    site.wait_coordinator();
    post(&site, "/file/", "key-south", "5c0e7a21d94b3600", &two_steps(), (900, 64));
    let is_done = |id: &str| site.state("/file/", id, "key-south") == "completed";
    if !site.wait(Duration::from_secs(15), || is_done("5c0e7a21d94b3600")) {
        site.give_up("the first job is not completed");
    }
    let count = if has_trouble { 4_500 } else { 200 };
    let wide = "5c0e7a21d94b3601";
    post(&site, QUEUE, KEY, wide, &job(90_000, count, 20, 32, ""), (20, 32));
    thread::sleep(Duration::from_secs(5));
    let small: Vec<String> = (0..5).map(|it| format!("5c0e7a21d94b37{it:02x}")).collect();
    for id in &small {
        post(&site, "/file/", "key-south", id, &two_steps(), (900, 64));
    }
    // The jobs are asked for once `finish_s` is over. A job is lost which has nothing running for 3 s although the turn of
    // a work item has come and there is room for it.
    site.wait(FINISH, || small.iter().all(|it| is_done(it)));
    let total: u64 = site.executors.iter().map(|it| it.spec.cpu).sum();
    let free = || -> u64 { site.executors.iter().map(|it| it.free_cpu()).sum() };
    let until = Instant::now() + Duration::from_millis(3_000);
    let mut lost: Vec<&String> = small.iter().filter(|it| !is_done(it)).collect();
    while Instant::now() < until && !lost.is_empty() {
        lost.retain(|it| stands_still(&site, it) && free() * 2 > total);
        thread::sleep(Duration::from_millis(20));
    }
    for id in &small {
        let state = site.state("/file/", id, "key-south");
        site.record.say(&format!("job {id}: {state}, stands still: {}", stands_still(&site, id)));
    }
    site.record.say(&format!("the wide job: {}", site.state(QUEUE, wide, KEY)));
    let rejected = *site.store.rejected.lock().unwrap();
    site.record.say(&format!("transactions rejected by the store: {rejected}"));
    site.record.say(&format!(
        "LOST: {} of {} accepted jobs have had nothing running for 3 s, {} s after the last post, with {} of {total} \
         thousandths of a core free",
        lost.len(),
        small.len(),
        FINISH.as_secs() + 3,
        free()
    ));
    site.end(i32::from(!lost.is_empty()))
}

fn two_steps() -> String {
    let step =
        |more: &str| format!(r#"{{"count":6,"cpu":900,"mem_mb":64,"estimate_ms":300{more}}}"#);
    format!(r#"{{"spec":"ms=300","steps":[{},{}]}}"#, step(""), step(r#","after":[0]"#))
}

/// Returns whether a job of [`two_steps`] has nothing running although the turn of a work item has come.
fn stands_still(site: &Site, id: &str) -> bool {
    let stories = site.book.stories.lock().unwrap();
    let of_job = || stories.iter().filter(|it| it.0.starts_with(id));
    let is_running = of_job().any(|it| !it.1.running.is_empty());
    let done = of_job().filter(|it| !it.1.done.is_empty()).count();
    !is_running && done < 12
}

/// The clock of an executor is 2 % slow; it has been idle for a minute and a half when it gets a work item and is cut off.
pub fn slow_clock(record: &Record, has_trouble: bool) {
    const IDLE: Duration = Duration::from_secs(92);
    let specs = ["i-000000aa", "i-000000bb"]
        .map(|it| Spec { clock_speed: 0.98, ..spec(it, "postroom") })
        .to_vec();
    let site = Site::start(record, &one_queue(), specs, 6);
    site.wait_coordinator();
    post(&site, QUEUE, KEY, "5c0e7a21d94b3600", &job(200, 2, 9_000, 64, ""), (9_000, 64));
    let dones = || site.book.dones.load(Ordering::Relaxed);
    if !site.wait(Duration::from_secs(15), || dones() == 2) {
        site.give_up("the first job is not done");
    }
    thread::sleep(IDLE);
    let id = "5c0e7a21d94b3601";
    post(&site, QUEUE, KEY, id, &job(11_000, 1, 9_000, 64, ""), (9_000, 64));
    if !site.wait(Duration::from_secs(5), || site.book.starts.load(Ordering::Relaxed) == 3) {
        site.give_up("the work item does not start");
    }
    let task = format!("{id}.0.0.0");
    let place = site.book.stories.lock().unwrap()[&task].running.first().map(|it| it.0.clone());
    let worker = site.executors.iter().find(|it| Some(&it.spec.id) == place.as_ref());
    let Some(worker) = worker else { site.give_up("the work item is nowhere") };
    thread::sleep(Duration::from_millis(100));
    worker.set_cut(has_trouble);
    thread::sleep(Duration::from_millis(9_000));
    worker.set_cut(false);
    thread::sleep(Duration::from_millis(1_000));
    finish(&site)
}

/// An executor crashes that has members of a gang, just after the gang has saved a new checkpoint.
pub fn gang(record: &Record, has_trouble: bool) {
    const MEMBERS: usize = 8;
    let site = Site::start(record, &one_queue(), executors(), 6);
    site.wait_coordinator();
    // Some other work, as on most executors. The gang begins half a second later.
    post(&site, QUEUE, KEY, "5c0e7a21d94b3600", &job(40_000, 1, 1_000, 64, ""), (1_000, 64));
    if !site.wait(Duration::from_secs(5), || site.book.starts.load(Ordering::Relaxed) == 1) {
        site.give_up("the first work item does not start");
    }
    thread::sleep(Duration::from_millis(500));
    let id = "5c0e7a21d94b3601";
    let body = job(10_000, MEMBERS as u32, 3_000, 64, r#","gang":true,"checkpointing":true"#);
    let work = Work { cpu: 3_000, mem_mb: 64, gang: Some(MEMBERS) };
    post_work(&site, QUEUE, KEY, id, &body, work);
    if !site
        .wait(Duration::from_secs(5), || site.book.starts.load(Ordering::Relaxed) > MEMBERS as u64)
    {
        site.give_up("the gang does not start");
    }
    // The second checkpoint is saved after 4 s of work.
    thread::sleep(Duration::from_millis(4_040));
    let busiest =
        site.executors.iter().min_by_key(|it| it.free_cpu()).expect("there are executors");
    if has_trouble {
        busiest.crash();
    }
    let crashed = Instant::now();
    let is_listed = std::cell::Cell::new(has_trouble);
    site.wait(Duration::from_secs(30), || {
        thread::sleep(Duration::from_millis(480));
        if is_listed.get() && crashed.elapsed() > ENTRY_KEPT {
            site.store.remove("servers", &busiest.spec.id);
            is_listed.set(false);
        }
        site.state(QUEUE, id, KEY) == "completed"
    });
    site.record.say(&format!("the job is {}", site.state(QUEUE, id, KEY)));
    // Ends that come over `contact_ms` after the crash have no disturbance near.
    let calm = crashed + Duration::from_millis(3_000 + 3_000);
    let alone = site.book.alone.lock().unwrap();
    let alone = alone.iter().filter(|it| it.0 > calm).count();
    let starts = site.book.starts.load(Ordering::Relaxed);
    site.record.say(&format!("GANG: {alone} runs ended alone with no disturbance near; {starts} starts, of {MEMBERS} members and one other work item"));
    site.end(i32::from(alone > 0))
}

/// Two clients of different tenants and queues choose the same id.
pub fn same_id(record: &Record, has_trouble: bool) {
    let queues = [
        Queue { prefix: QUEUE, service: "postroom", tenant: "north" },
        Queue { prefix: "/file/", service: "registry", tenant: "south" },
    ];
    let specs = vec![spec("i-000000aa", "postroom"), spec("i-000000bb", "registry")];
    let site = Site::start(record, &queues, specs, 6);
    site.wait_coordinator();
    let (one, two) =
        ("5c0e7a21d94b3601", if has_trouble { "5c0e7a21d94b3601" } else { "5c0e7a21d94b3602" });
    post(&site, QUEUE, KEY, one, &job(300, 2, 400, 64, ""), (400, 64));
    post(&site, "/file/", "key-south", two, &job(300, 4, 400, 64, ""), (400, 64));
    thread::sleep(Duration::from_millis(3_000));
    let state = site.state("/file/", two, "key-south");
    let starts = site.book.starts.load(Ordering::Relaxed);
    site.record.say(&format!("the second job is {state}; {starts} starts of 6 work items"));
    site.end(i32::from(starts < 6))
}
