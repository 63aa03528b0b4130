//! One entry host as a process of its own.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, OpenOptions},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::Mutex,
    thread,
};

use fuchsiamill_http::{Request, Response};

use super::{net, wait_until};

/// The last lines of a process's log that a failed test prints.
const LAST_LINES: usize = 40;

/// An entry host as a process; it is killed when the test ends. A test that fails prints how the process ended and
/// the last lines of its log.
pub struct EntryProcess {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where metrics, readiness and liveness are served.
    pub metrics: SocketAddr,
    file: PathBuf,
    child: Mutex<Child>,
}

impl EntryProcess {
    /// Writes the settings file and starts the process.
    pub fn start(name: String, settings: BTreeMap<String, String>) -> Self {
        let addr = |key: &str| -> SocketAddr { settings[key].parse().expect("an address") };
        let (caller, operator, metrics) =
            (addr("entry.caller"), addr("entry.operator"), addr("entry.metrics"));
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(caller.to_string().replace(':', "-"));
        fs::create_dir_all(&folder).expect("a folder for the settings");
        let file = folder.join("entry.ini");
        fs::write(&file, ini(&settings)).expect("the settings file");
        let _ = fs::remove_file(log_of(&file));
        let child = Mutex::new(spawn(&file));
        Self { name, caller, operator, metrics, file, child }
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// Whether it tells the balancer that it is ready.
    pub fn is_ready(&self) -> bool {
        self.get("/ready").is_some_and(|it| it.status.is_success())
    }

    /// Gets a page of the metrics port.
    pub fn get(&self, target: &str) -> Option<Response> {
        net::send(self.metrics, Request::get(target))
    }

    /// The process's id.
    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// Sends a signal by name, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, signal: &str) {
        let pid = self.pid().to_string();
        let status =
            Command::new("kill").args([&format!("-{signal}"), &pid]).status().expect("kill runs");
        assert!(status.success(), "the process takes the signal");
    }

    /// Ends the process at once.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Waits for the process to end by itself.
    pub fn wait_end(&self) -> ExitStatus {
        let mut ended = None;
        wait_until("the entry host ends", || {
            ended = self.child.lock().unwrap().try_wait().expect("the process is ours");
            ended.is_some()
        });
        ended.expect("it ended")
    }

    /// Starts it anew with the same settings; the same name is a new incarnation.
    pub fn restart(&mut self) {
        self.kill();
        *self.child.lock().unwrap() = spawn(&self.file);
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_end();
        }
        self.kill();
    }
}

impl EntryProcess {
    fn print_end(&self) {
        let ended = self.child.lock().map(|mut it| it.try_wait());
        eprintln!("{} (ports of {}): {ended:?}", self.name, self.caller);
        let log = fs::read_to_string(log_of(&self.file)).unwrap_or_default();
        let lines: Vec<_> = log.lines().collect();
        for line in &lines[lines.len().saturating_sub(LAST_LINES)..] {
            eprintln!("  {line}");
        }
    }
}

fn log_of(file: &Path) -> PathBuf {
    file.with_extension("log")
}

fn spawn(file: &Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fuchsiamilld"));
    command.arg("--config").arg(file).stdin(Stdio::null()).stdout(Stdio::null());
    if std::env::var_os("SHOW_LOGS").is_none() {
        let log = OpenOptions::new().create(true).append(true).open(log_of(file));
        command.stderr(log.expect("the file of the log"));
    }
    command.spawn().expect("the daemon starts")
}

fn ini(settings: &BTreeMap<String, String>) -> String {
    let mut sections: BTreeMap<&str, Vec<(&str, &str)>> = BTreeMap::new();
    for (key, value) in settings {
        let (section, key) = key.split_once('.').expect("section.key");
        sections.entry(section).or_default().push((key, value));
    }
    let mut text = String::new();
    for (section, keys) in sections {
        let _ = writeln!(text, "[{section}]");
        for (key, value) in keys {
            let _ = writeln!(text, "{key} = {value}");
        }
    }
    text
}
