//! Machines, their executors and the platform's calls about machines.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    json::{Json, quote},
    net::{Answer, Message, serve},
    record::Record,
    store::Store,
};

/// A work item that runs.
struct Run {
    run: u64,
    began: Instant,
    takes: Option<Duration>,
}

/// One life of a machine's executor.
struct Life {
    id: String,
    born: u64,
    begun: Instant,
    fence: u64,
    deadline: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    highest: BTreeMap<String, u64>,
    ends: u64,
}

/// A machine.
struct Machine {
    name: String,
    pool: String,
    rack: String,
    addr: Option<SocketAddr>,
    life: Option<Life>,
    /// What it does until when, and where it goes.
    away: Option<(&'static str, Instant)>,
    /// Waves that it had its upkeep for.
    waves: Vec<u64>,
}

/// An order for a machine as the platform received it.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Duration,
    pub machine: String,
    pub what: String,
    pub holder: String,
    pub fence: u64,
}

#[derive(Default)]
struct State {
    machines: Vec<Machine>,
    orders: Vec<Order>,
    lives: u64,
}

/// All machines.
pub struct Fleet {
    state: Mutex<State>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    spare: String,
}

const MOVE: Duration = Duration::from_millis(1_500);
const UPKEEP: Duration = Duration::from_secs(2);
const STOP: Duration = Duration::from_millis(50);

impl Fleet {
    /// Starts machines in pools, each with its number of machines.
    pub fn start(
        ip: &str,
        store: Arc<Store>,
        record: Arc<Record>,
        spare: &str,
        pools: &[(&str, usize)],
    ) -> (Arc<Self>, SocketAddr) {
        let fleet = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            store,
            record,
            spare: spare.into(),
        });
        let mut number = 0;
        for (pool, count) in pools {
            for _ in 0..*count {
                let serving = fleet.clone();
                let addr = serve(ip, move |it| serving.serve_executor(number, it));
                let mut state = fleet.state.lock().unwrap();
                state.machines.push(Machine {
                    name: format!("m-{number}"),
                    pool: (*pool).into(),
                    rack: format!("r1-{}", number / 4),
                    addr: Some(addr),
                    life: None,
                    away: None,
                    waves: Vec::new(),
                });
                fleet.begin_life(&mut state, number);
                number += 1;
            }
        }
        let serving = fleet.clone();
        let addr = serve(ip, move |it| serving.serve_cloud(it));
        let ticking = fleet.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                ticking.tick();
            }
        });
        (fleet, addr)
    }

    fn begin_life(&self, state: &mut State, number: usize) {
        state.lives += 1;
        let lives = state.lives;
        let machine = &mut state.machines[number];
        if let Some(life) = machine.life.take() {
            self.store.remove("servers", &life.id);
        }
        if machine.pool == self.spare {
            return;
        }
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let id = format!("i-{lives:08x}");
        machine.life = Some(Life {
            id: id.clone(),
            born,
            begun: Instant::now(),
            fence: 0,
            deadline: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            highest: BTreeMap::new(),
            ends: 0,
        });
        let entry = format!(
            r#"{{"service":{},"address":"{}","zone":"z-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":16000,"mem_mb":65536,"gpu":0}},"labels":["a",{}],"born":{born},"seq":1}}"#,
            quote(&machine.pool),
            machine.addr.unwrap(),
            quote(&machine.rack)
        );
        self.store.put("servers", &id, &entry);
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        for number in 0..state.machines.len() {
            if state.machines[number].away.is_some_and(|it| it.1 <= Instant::now()) {
                state.machines[number].away = None;
                self.begin_life(&mut state, number);
            }
            if let Some(life) = &mut state.machines[number].life {
                life.end_due();
            }
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Returns the orders for machines in the order of their arrival.
    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    fn serve_cloud(&self, it: Message) -> Answer {
        let mut state = self.state.lock().unwrap();
        if it.path() == "/machines" {
            let machines: Vec<String> = state.machines.iter().map(Machine::text).collect();
            return Some((
                200,
                format!(r#"{{"machines":[{}],"next_token":null}}"#, machines.join(",")),
            ));
        }
        let body = Json::parse(&it.body)?;
        let name = body.get("machine").text();
        let fence = it.header("x-fuchsiamill-fencing-token").parse().unwrap_or(0);
        let holder = it.header("x-fuchsiamill-lease-holder").to_owned();
        let what = match it.path() {
            "/machine-move" => format!("move to {}", body.get("pool").text()),
            _ => format!("upkeep for wave {}", body.get("wave").int()),
        };
        let at = self.record.now();
        self.record.line(&format!("cloud: {name} {what}, holder {holder}, fence {fence}"));
        state.orders.push(Order { at, machine: name.into(), what, holder, fence });
        let number = state.machines.iter().position(|it| it.name == name);
        let Some(number) = number else { return Some((400, String::new())) };
        let machine = &mut state.machines[number];
        let busy = || Some((409, r#"{"reason":"busy"}"#.to_owned()));
        let takes = match it.path() {
            "/machine-move" => {
                let pool = body.get("pool").text();
                if machine.pool == pool {
                    return Some((200, "{}".into()));
                }
                if machine.away.is_some() {
                    return busy();
                }
                machine.pool = pool.into();
                machine.away = Some(("moving", Instant::now() + MOVE));
                MOVE
            }
            _ => {
                let wave = body.get("wave").int();
                if machine.waves.contains(&wave) {
                    return Some((200, "{}".into()));
                }
                if machine.away.is_some() {
                    return busy();
                }
                machine.waves.push(wave);
                machine.away = Some(("upkeep", Instant::now() + UPKEEP));
                UPKEEP
            }
        };
        let _ = takes;
        if let Some(life) = machine.life.take() {
            self.store.remove("servers", &life.id);
        }
        Some((200, "{}".into()))
    }

    fn serve_executor(&self, number: usize, it: Message) -> Answer {
        let mut state = self.state.lock().unwrap();
        let expected = it.header("x-fuchsiamill-expect-instance").to_owned();
        let is_it = |state: &State| {
            state.machines[number].life.as_ref().is_some_and(|it| it.id == expected)
        };
        if it.path() == "/health" {
            let is_up = state.machines[number].life.is_some();
            return is_up.then(|| (200, String::new()));
        }
        state.machines[number].life.as_ref()?;
        if !is_it(&state) {
            return Some((421, String::new()));
        }
        let body = Json::parse(&it.body)?;
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").int());
        let fence = body.get("fence_token").int();
        let life = state.machines[number].life.as_mut()?;
        life.end_due();
        let refused = |life: &Life, reason: &str| {
            Some((409, format!(r#"{{"clock_ms":{},"reason":"{reason}"}}"#, life.clock())))
        };
        if fence < life.fence {
            return refused(life, "fence");
        }
        life.fence = fence;
        match it.path() {
            "/hold" => {
                life.extend(body.get("deadline_ms").int());
                let seen = body.get("seen_upto").int();
                life.ended.retain(|it| it.0 > seen);
                let until =
                    Instant::now() + Duration::from_millis(body.get("wait_ms").int().min(2_000));
                loop {
                    let life = state.machines[number].life.as_mut()?;
                    if life.id != expected {
                        return None;
                    }
                    life.end_due();
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.ended.is_empty() || left.is_zero() {
                        return Some((200, life.text()));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/run-start" => {
                life.extend(body.get("deadline_ms").int());
                if life.running.get(&task).is_some_and(|it| it.run == run) {
                    return Some((200, life.clock_text()));
                }
                if life.highest.get(&task).is_some_and(|it| run <= *it) {
                    return refused(life, "old");
                }
                if body.get("deadline_ms").int() <= life.clock() {
                    return refused(life, "late");
                }
                let takes =
                    body.get("spec").text().strip_prefix("ms ").and_then(|it| it.parse().ok());
                let takes = takes.map(Duration::from_millis);
                life.running.insert(task.clone(), Run { run, began: Instant::now(), takes });
                let answer = life.clock_text();
                let id = life.id.clone();
                self.record.line(&format!("executor {id}: {task} run {run} begins"));
                Some((200, answer))
            }
            "/run-stop" => {
                let highest = life.highest.entry(task.clone()).or_insert(0);
                *highest = run.max(*highest);
                if life.running.get(&task).is_some_and(|it| it.run <= run) {
                    std::thread::sleep(STOP);
                    life.end(&task, "stopped");
                }
                Some((200, life.clock_text()))
            }
            _ => Some((200, life.clock_text())),
        }
    }
}

impl Machine {
    fn text(&self) -> String {
        let state = self.away.map_or("up", |it| it.0);
        let id =
            self.life.as_ref().map_or(String::new(), |it| format!(r#","id":{}"#, quote(&it.id)));
        format!(
            r#"{{"machine":{},"pool":{},"state":"{state}","zone":"z-a","labels":["a",{}],"capacity":{{"cpu":16000,"mem_mb":65536,"gpu":0}}{id}}}"#,
            quote(&self.name),
            quote(&self.pool),
            quote(&self.rack)
        )
    }
}

impl Life {
    fn clock(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn clock_text(&self) -> String {
        format!(r#"{{"clock_ms":{}}}"#, self.clock())
    }

    fn extend(&mut self, deadline: u64) {
        self.deadline = self.deadline.max(deadline.min(self.clock() + 10_000));
    }

    fn end(&mut self, task: &str, how: &'static str) {
        if let Some(run) = self.running.remove(task) {
            self.ends += 1;
            let highest = self.highest.entry(task.to_owned()).or_insert(0);
            *highest = run.run.max(*highest);
            self.ended.push((self.ends, task.to_owned(), run.run, how));
        }
    }

    fn end_due(&mut self) {
        let due = |it: &Run| it.takes.is_some_and(|takes| it.began.elapsed() >= takes);
        let done: Vec<String> =
            self.running.iter().filter(|it| due(it.1)).map(|it| it.0.clone()).collect();
        done.iter().for_each(|it| self.end(it, "done"));
        if self.clock() > self.deadline {
            let lapsed: Vec<String> = self.running.keys().cloned().collect();
            lapsed.iter().for_each(|it| self.end(it, "lapsed"));
        }
    }

    fn text(&self) -> String {
        let percent = |it: &Run| match it.takes {
            Some(takes) => {
                (it.began.elapsed().as_millis() * 100 / takes.as_millis().max(1)).min(99)
            }
            None => 100,
        };
        let running = self
            .running
            .iter()
            .map(|(task, it)| format!(r#"[{},{},"",{},0]"#, quote(task), it.run, percent(it)));
        let running: Vec<String> = running.collect();
        let ended = self
            .ended
            .iter()
            .take(500)
            .map(|it| format!(r#"[{},{},{},"{}",""]"#, it.0, quote(&it.1), it.2, it.3));
        let ended: Vec<String> = ended.collect();
        format!(
            r#"{{"clock_ms":{},"born":{},"running":[{}],"ended":[{}]}}"#,
            self.clock(),
            self.born,
            running.join(","),
            ended.join(",")
        )
    }
}
