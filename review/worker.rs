//! Executors: they run work items under orders, a fence and a lease.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    json::{Json, parse, quoted},
    net::{Reply, Request, serve},
    record::Record,
    store::Store,
};

/// The most ends of one answer.
const MAX_ENDS: usize = 500;

/// How often lives look for work that has ended and leases that have lapsed.
const STEP: Duration = Duration::from_micros(200);

/// Which machine an executor is, and how it behaves.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    /// Its kind and its rack.
    pub labels: [String; 2],
    pub cpu: u64,
    pub mem_mb: u64,
    /// The longest lease, in milliseconds of the executor's clock.
    pub hold_max_ms: u64,
    /// The speed of its steady clock: 0.98 is 2 % slow.
    pub clock_speed: f64,
}

/// A run that has ended.
#[derive(Clone, Debug)]
pub struct RunEnd {
    pub number: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    /// The last checkpoint; empty if there is none.
    pub saved: String,
    /// Whether the lease has lapsed since.
    pub is_void: bool,
}

/// What the executors know of the work items of a job.
#[derive(Clone, Copy)]
pub struct Work {
    pub cpu: u64,
    pub mem_mb: u64,
    /// The number of members, where the work items of a step work only together.
    pub gang: Option<usize>,
}

/// The members of one run of a gang that carry the same checkpoint.
#[derive(Default)]
struct Gang {
    members: std::collections::BTreeSet<String>,
    /// Since when all members are present.
    working: Option<Instant>,
    over: Option<&'static str>,
}

/// Step, run and checkpoint.
type GangKey = (String, u64, String);

/// How long a member of a gang waits for the others.
const GANG_TIME: Duration = Duration::from_millis(3_000);

/// The work after which a gang has a new checkpoint.
const CHECKPOINT_MS: u64 = 2_000;

struct Run {
    run: u64,
    until: Instant,
    cpu: u64,
    mem_mb: u64,
    begun: Instant,
    work_ms: u64,
    gang: Option<GangKey>,
}

#[derive(Default)]
struct State {
    fence: u64,
    /// The end of the lease on the executor's clock.
    deadline: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<RunEnd>,
    last_end: u64,
    /// The highest run of each work item that was stopped or has ended here.
    highest: HashMap<String, u64>,
    is_over: bool,
}

/// One life of an executor.
pub struct Life {
    spec: Spec,
    born: u64,
    begun: Instant,
    state: Mutex<State>,
    changed: Condvar,
    cut: Arc<Mutex<bool>>,
    book: Arc<Book>,
}

/// What was seen of a work item.
#[derive(Default, Clone)]
pub struct Story {
    /// Runs that go on: executor, life and number.
    pub running: Vec<(String, u64, u64)>,
    /// Runs that were started, each with its begin.
    pub starts: Vec<(u64, Instant)>,
    /// Runs that ended `done`, each with its end and whether that was taken note of.
    pub done: Vec<(u64, Instant, bool)>,
}

impl Story {
    /// Returns a run that was started after another one had ended `done`, if that end was taken note of: the numbers of
    /// both runs, and the time between in milliseconds.
    fn started_after_done(&self) -> Option<(u64, u64, u128)> {
        let noted = self.done.iter().filter(|it| it.2);
        noted.flat_map(|done| self.starts.iter().map(move |start| (done, start))).find_map(
            |(done, start)| {
                (start.1 > done.1).then(|| (start.0, done.0, (start.1 - done.1).as_millis()))
            },
        )
    }
}

/// What executors saw, and the sizes of work items.
pub struct Book {
    pub record: Record,
    /// By work item.
    pub stories: Mutex<BTreeMap<String, Story>>,
    /// What broke the rule TWICE: a work item and what was seen.
    pub twice: Mutex<Vec<(String, String)>>,
    /// By job.
    pub work: Mutex<HashMap<String, Work>>,
    gangs: Mutex<HashMap<GangKey, Gang>>,
    /// Runs of gangs that ended alone: the time, and the work item.
    pub alone: Mutex<Vec<(Instant, String)>>,
    pub last_start: Mutex<Option<Instant>>,
    pub starts: AtomicU64,
    pub dones: AtomicU64,
}

impl Book {
    /// Creates an empty book.
    pub fn new(record: &Record) -> Arc<Self> {
        Arc::new(Self {
            record: record.clone(),
            stories: Mutex::default(),
            twice: Mutex::default(),
            work: Mutex::default(),
            gangs: Mutex::default(),
            alone: Mutex::default(),
            last_start: Mutex::default(),
            starts: AtomicU64::new(0),
            dones: AtomicU64::new(0),
        })
    }

    fn began(&self, life: &Life, task: &str, run: u64, checkpoint: &str) {
        let (id, born) = (&life.spec.id, life.born);
        let from = match checkpoint {
            "" => String::new(),
            it => format!(" from checkpoint {it}"),
        };
        self.record.line(&format!("{task} run {run} begins on {id} (born {born}){from}"));
        self.starts.fetch_add(1, Ordering::Relaxed);
        *self.last_start.lock().unwrap() = Some(Instant::now());
        let mut stories = self.stories.lock().unwrap();
        let story = stories.entry(task.to_owned()).or_default();
        story.starts.push((run, Instant::now()));
        if let Some((other_id, _, other)) = story.running.first() {
            let text = format!("run {run} begins on {id} while run {other} goes on at {other_id}");
            self.note_twice(task, &text);
        }
        self.check_started_after_done(task, story);
        story.running.push((id.clone(), born, run));
    }

    fn check_started_after_done(&self, task: &str, story: &Story) {
        if let Some((run, done, ms)) = story.started_after_done() {
            let text = format!(
                "run {run} was started {ms} ms after run {done} had ended done, which is taken note of"
            );
            self.note_twice(task, &text);
        }
    }

    fn note_twice(&self, task: &str, text: &str) {
        let mut twice = self.twice.lock().unwrap();
        if !twice.iter().any(|it| it.0 == task && it.1 == text) {
            self.record.line(&format!("TWICE {task}: {text}"));
            twice.push((task.to_owned(), text.to_owned()));
        }
    }

    fn ended(&self, life: &Life, end: &RunEnd) {
        let RunEnd { number, task, run, how, .. } = end;
        self.record.line(&format!(
            "{task} run {run} ends {how} on {} (born {}, end {number})",
            life.spec.id, life.born
        ));
        let mut stories = self.stories.lock().unwrap();
        let story = stories.entry(task.clone()).or_default();
        let gone = (life.spec.id.clone(), life.born, *run);
        story.running.retain(|it| *it != gone);
        if *how == "done" {
            self.dones.fetch_add(1, Ordering::Relaxed);
            story.done.push((*run, Instant::now(), false));
        }
    }

    /// Notes that these ends were taken note of, but for those after which the lease has lapsed.
    fn noted(&self, ends: &[RunEnd]) {
        let mut stories = self.stories.lock().unwrap();
        for end in ends.iter().filter(|it| it.how == "done" && !it.is_void) {
            let story = stories.entry(end.task.clone()).or_default();
            story.done.iter_mut().filter(|it| it.0 == end.run).for_each(|it| it.2 = true);
            self.check_started_after_done(&end.task, story);
        }
    }

    fn work(&self, task: &str) -> Work {
        let job = task.split('.').next().unwrap_or_default();
        let default = Work { cpu: 100, mem_mb: 16, gang: None };
        self.work.lock().unwrap().get(job).copied().unwrap_or(default)
    }

    fn join_gang(&self, key: &GangKey, task: &str, size: usize) {
        let mut gangs = self.gangs.lock().unwrap();
        let gang = gangs.entry(key.clone()).or_default();
        gang.members.insert(task.to_owned());
        if gang.members.len() == size && gang.working.is_none() {
            gang.working = Some(Instant::now());
            self.record
                .line(&format!("gang {} run {} works, from checkpoint {:?}", key.0, key.1, key.2));
        }
    }

    /// A member has ended: a gang that works is broken.
    fn leave_gang(&self, key: &GangKey, task: &str) {
        let mut gangs = self.gangs.lock().unwrap();
        let Some(gang) = gangs.get_mut(key) else { return };
        gang.members.remove(task);
        if gang.working.is_some() {
            gang.over.get_or_insert("broken");
        }
    }

    /// Returns how a member's run ends now, if it does.
    fn gang_end(&self, key: &GangKey, run: &Run) -> Option<&'static str> {
        let mut gangs = self.gangs.lock().unwrap();
        let gang = gangs.get_mut(key)?;
        match gang.working {
            Some(since) if gang.over.is_none() => {
                if progress_ms(&key.2, since) >= run.work_ms {
                    gang.over = Some("done");
                }
                gang.over
            }
            Some(_) => gang.over,
            None => (run.begun.elapsed() >= GANG_TIME).then_some("alone"),
        }
    }

    fn gang_checkpoint(&self, key: &GangKey) -> String {
        let gangs = self.gangs.lock().unwrap();
        let working = gangs.get(key).and_then(|it| it.working);
        let Some(since) = working else { return key.2.clone() };
        match progress_ms(&key.2, since) / CHECKPOINT_MS {
            0 => String::new(),
            count => format!("{count:08x}7a21d94b"),
        }
    }
}

/// Returns the work that a gang has done which works `since` then from a checkpoint on.
fn progress_ms(checkpoint: &str, since: Instant) -> u64 {
    let saved = checkpoint.get(..8).and_then(|it| u64::from_str_radix(it, 16).ok()).unwrap_or(0);
    saved * CHECKPOINT_MS + since.elapsed().as_millis() as u64
}

/// An executor that may have several lives, one after another, at the same address.
pub struct Executor {
    pub spec: Spec,
    pub addr: SocketAddr,
    pub life: Mutex<Option<Arc<Life>>>,
    /// While this is set, nothing passes between the executor and anybody else.
    pub cut: Arc<Mutex<bool>>,
    store: Arc<Store>,
    book: Arc<Book>,
}

impl Executor {
    /// Starts an executor, and registers it.
    pub fn start(spec: Spec, store: &Arc<Store>, book: &Arc<Book>) -> Arc<Self> {
        let addr = crate::net::free_addr();
        let it = Arc::new(Self {
            spec,
            addr,
            life: Mutex::default(),
            cut: Arc::default(),
            store: store.clone(),
            book: book.clone(),
        });
        it.begin();
        it.register();
        it
    }

    /// Begins a new life that listens at the executor's address.
    pub fn begin(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let life = Arc::new(Life {
            spec: self.spec.clone(),
            born,
            begun: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            cut: self.cut.clone(),
            book: self.book.clone(),
        });
        let listener = TcpListener::bind(self.addr).expect("the executor's port is free");
        let (open, handler) = (life.clone(), life.clone());
        let is_open = Arc::new(move || !open.state.lock().unwrap().is_over);
        serve(listener, is_open, Arc::new(move |it: &Request| handler.handle(it)));
        let stepper = life.clone();
        thread::spawn(move || stepper.run());
        *self.life.lock().unwrap() = Some(life);
    }

    /// Ends the present life as a crash does.
    pub fn crash(&self) {
        let Some(life) = self.life.lock().unwrap().take() else { return };
        self.book.record.line(&format!("{} crashes", self.spec.id));
        let mut state = life.state.lock().unwrap();
        state.is_over = true;
        let mut stories = self.book.stories.lock().unwrap();
        for (task, run) in std::mem::take(&mut state.running) {
            let gone = (self.spec.id.clone(), life.born, run.run);
            stories.entry(task.clone()).or_default().running.retain(|it| *it != gone);
            if let Some(key) = &run.gang {
                self.book.leave_gang(key, &task);
            }
        }
        drop(stories);
        drop(state);
        life.changed.notify_all();
        // Wakes the listener, which ends.
        let _ = std::net::TcpStream::connect(self.addr);
    }

    /// Writes the executor's entry into the store.
    pub fn register(&self) {
        let Some(life) = self.life.lock().unwrap().clone() else { return };
        let Spec { id, service, labels: [kind, rack], cpu, mem_mb, .. } = &self.spec;
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"zone-a","version":"v1","slots":8,
            "state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":{cpu},"mem_mb":{mem_mb},"gpu":0}},
            "labels":["{kind}","{rack}"],"clock_ms":{},"seq":1,"born":{}}}"#,
            self.addr,
            life.clock_ms(),
            life.born
        );
        self.store.put("servers", id, &entry);
        self.book.record.line(&format!("{id} (born {}) is registered", life.born));
    }

    /// Sets whether the executor is cut off.
    pub fn set_cut(&self, is_cut: bool) {
        self.book.record.line(&format!("{} is cut off: {is_cut}", self.spec.id));
        *self.cut.lock().unwrap() = is_cut;
    }

    /// Returns the processor time that is free.
    pub fn free_cpu(&self) -> u64 {
        let Some(life) = self.life.lock().unwrap().clone() else { return 0 };
        let used: u64 = life.state.lock().unwrap().running.values().map(|it| it.cpu).sum();
        self.spec.cpu - used.min(self.spec.cpu)
    }
}

impl Life {
    fn clock_ms(&self) -> u64 {
        480_000 + (self.begun.elapsed().as_millis() as f64 * self.spec.clock_speed) as u64
    }

    fn is_cut(&self) -> bool {
        *self.cut.lock().unwrap()
    }

    /// Ends work that is done and leases that have lapsed.
    fn run(&self) {
        loop {
            thread::sleep(STEP);
            let mut state = self.state.lock().unwrap();
            if state.is_over {
                return;
            }
            let now = Instant::now();
            let has_lapsed = self.clock_ms() > state.deadline;
            if has_lapsed {
                state.ended.iter_mut().for_each(|it| it.is_void = true);
            }
            let over: Vec<(String, &'static str)> = state
                .running
                .iter()
                .filter_map(|(task, it)| {
                    let how = match &it.gang {
                        Some(key) => self.book.gang_end(key, it),
                        None => (it.until <= now).then_some("done"),
                    };
                    Some((task.clone(), how.or(has_lapsed.then_some("lapsed"))?))
                })
                .collect();
            for (task, how) in over {
                self.end(&mut state, &task, how);
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run.run);
        state.last_end += 1;
        let saved = run.gang.as_ref().map(|it| self.book.gang_checkpoint(it)).unwrap_or_default();
        if let Some(key) = &run.gang {
            self.book.leave_gang(key, task);
        }
        if how == "alone" {
            self.book.alone.lock().unwrap().push((Instant::now(), task.to_owned()));
        }
        let (number, task) = (state.last_end, task.to_owned());
        let end = RunEnd { number, task, run: run.run, how, saved, is_void: false };
        self.book.ended(self, &end);
        state.ended.push(end);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.is_cut() {
            return self.wait_cut();
        }
        if request.path() == "/health" {
            return Reply::Answer(200, String::new());
        }
        if request.header("x-fuchsiamill-expect-instance") != self.spec.id {
            return Reply::Answer(421, String::new());
        }
        let Some(body) = parse(&request.body) else { return Reply::Answer(400, String::new()) };
        let reply = self.carry_out(request.path(), &body);
        match self.is_cut() {
            true => self.wait_cut(),
            false => reply,
        }
    }

    /// Bytes that a cut holds up are lost here: the connection ends once the cut is over.
    fn wait_cut(&self) -> Reply {
        while self.is_cut() {
            thread::sleep(Duration::from_millis(10));
        }
        Reply::Drop
    }

    fn carry_out(&self, path: &str, body: &Json) -> Reply {
        let mut state = self.state.lock().unwrap();
        let fence = body.get("fence_token").number().unwrap_or(0);
        if fence < state.fence {
            return self.conflict("fence");
        }
        state.fence = fence;
        if let Some(deadline) = body.get("deadline_ms").number() {
            let longest = self.clock_ms() + self.spec.hold_max_ms;
            state.deadline = state.deadline.max(deadline.min(longest));
        }
        match path {
            "/hold" => self.hold(state, body),
            "/run-start" => self.start(state, body),
            "/run-stop" => {
                let (task, run) = (body.get("task").text(), body.get("run").number().unwrap_or(0));
                let highest = state.highest.entry(task.to_owned()).or_default();
                *highest = (*highest).max(run);
                if state.running.get(task).is_some_and(|it| it.run <= run) {
                    self.end(&mut state, task, "stopped");
                }
                self.ok()
            }
            "/pace" => self.ok(),
            _ => Reply::Answer(404, String::new()),
        }
    }

    fn ok(&self) -> Reply {
        Reply::Answer(200, format!(r#"{{"clock_ms":{}}}"#, self.clock_ms()))
    }

    fn conflict(&self, reason: &str) -> Reply {
        Reply::Answer(409, format!(r#"{{"clock_ms":{},"reason":"{reason}"}}"#, self.clock_ms()))
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Json) -> Reply {
        let seen = body.get("seen_upto").number().unwrap_or(0);
        let (gone, kept) =
            std::mem::take(&mut state.ended).into_iter().partition(|it| it.number <= seen);
        state.ended = kept;
        let gone: Vec<RunEnd> = gone;
        if !gone.is_empty() {
            let last = gone.last().map_or(0, |it| it.number);
            self.book.record.line(&format!(
                "{} (born {}) forgets {} ends, up to {last}, for seen_upto {seen}",
                self.spec.id,
                self.born,
                gone.len()
            ));
            self.book.noted(&gone);
        }
        let wait = body.get("wait_ms").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        while state.ended.is_empty() && !state.is_over {
            let now = Instant::now();
            if now >= until {
                break;
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, it)| {
                let whole = (it.until - it.begun).as_millis().max(1);
                let percent = (it.begun.elapsed().as_millis() * 100 / whole).min(99);
                let saved = it.gang.as_ref().map(|it| self.book.gang_checkpoint(it));
                let saved = quoted(&saved.unwrap_or_default());
                format!("[{},{},{saved},{percent},{}]", quoted(task), it.run, it.cpu)
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(MAX_ENDS)
            .map(|it| {
                let (task, saved) = (quoted(&it.task), quoted(&it.saved));
                format!("[{},{task},{},\"{}\",{saved}]", it.number, it.run, it.how)
            })
            .collect();
        Reply::Answer(
            200,
            format!(
                r#"{{"clock_ms":{},"born":{},"running":[{}],"ended":[{}]}}"#,
                self.clock_ms(),
                self.born,
                running.join(","),
                ended.join(",")
            ),
        )
    }

    fn start(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Json) -> Reply {
        let (task, run) = (body.get("task").text(), body.get("run").number().unwrap_or(0));
        if state.running.get(task).is_some_and(|it| it.run == run) {
            return self.ok();
        }
        if state.highest.get(task).is_some_and(|it| run <= *it) {
            return self.conflict("old");
        }
        if self.clock_ms() > body.get("deadline_ms").number().unwrap_or(0) {
            return self.conflict("late");
        }
        let Work { cpu, mem_mb, gang } = self.book.work(task);
        let used_cpu: u64 = state.running.values().map(|it| it.cpu).sum();
        let used_mem: u64 = state.running.values().map(|it| it.mem_mb).sum();
        if used_cpu + cpu > self.spec.cpu || used_mem + mem_mb > self.spec.mem_mb {
            return self.conflict("room");
        }
        // The spec of the jobs here tells how long their work items take.
        let ms = body.get("spec").text().strip_prefix("ms=").and_then(|it| it.parse().ok());
        let begun = Instant::now();
        // Their times vary by up to a quarter.
        let ms: u64 = ms.unwrap_or(100);
        let varied = task.bytes().fold(run, |sum, it| sum.wrapping_mul(31) + u64::from(it)) % 1_000;
        let until = begun + Duration::from_micros(ms * 1_000 + ms * varied / 4);
        let checkpoint = body.get("checkpoint").text();
        let step = task.rsplit_once('.').map_or(task, |it| it.0);
        let gang = gang.map(|size| (size, (step.to_owned(), run, checkpoint.to_owned())));
        self.book.began(self, task, run, checkpoint);
        if let Some((size, key)) = &gang {
            self.book.join_gang(key, task, *size);
        }
        let gang = gang.map(|it| it.1);
        let run = Run { run, until, cpu, mem_mb, begun, work_ms: ms, gang };
        state.running.insert(task.to_owned(), run);
        self.ok()
    }
}
