//! The daemon as a process of its own, with its settings file and its log.

use std::{
    fs::{self, File, OpenOptions},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    sync::Mutex,
    thread,
};

use fuchsiamill_standin::story::Story;

use super::wait_until;

/// The last lines of a process's log that a failed test prints.
const LAST_LINES: usize = 40;

/// A daemon; it is killed when the test ends. A test that fails prints how the process ended and the last lines of
/// its log.
pub struct Daemon {
    file: PathBuf,
    child: Mutex<Child>,
    name: String,
    story: Story,
}

impl Daemon {
    /// Writes the settings `text` and starts the process that listens at `addr`.
    pub fn start(addr: SocketAddr, text: &str) -> Self {
        Self::start_telling(addr, text, String::new(), Story::default())
    }

    /// Like [`Daemon::start`]; what the test does to the process called `name` is told to `story`.
    pub fn start_telling(addr: SocketAddr, text: &str, name: String, story: Story) -> Self {
        let file_name = format!("{}.ini", addr.to_string().replace(':', "-"));
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file_name);
        fs::write(&file, text).expect("the settings file");
        let _ = fs::remove_file(log_of(&file));
        let child = Mutex::new(spawn(&file));
        Self { file, child, name, story }
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// The process's id.
    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// Whether the process handles SIGHUP already; until it does, in its first moments, the system ends it.
    pub fn hears_hup(&self) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let caught = status.lines().find_map(|it| it.strip_prefix("SigCgt:"));
        caught.and_then(|it| u64::from_str_radix(it.trim(), 16).ok()).is_some_and(|it| it & 1 == 1)
    }

    /// Where it logs.
    pub fn log_file(&self) -> PathBuf {
        log_of(&self.file)
    }

    /// Sends a signal by name, such as `STOP`, `CONT`, `TERM` or `HUP`.
    pub fn signal(&self, signal: &str) {
        self.story.tell(&self.name, || format!("the test sends {signal}"));
        let pid = self.pid().to_string();
        let status =
            Command::new("kill").args([&format!("-{signal}"), &pid]).status().expect("kill runs");
        assert!(status.success(), "the process takes the signal");
    }

    /// Ends the process at once.
    pub fn kill(&self) {
        self.story.tell(&self.name, || "the test kills it");
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

    /// Ends it and starts it anew with the same settings; the same name is a new incarnation.
    pub fn restart(&self) {
        self.kill();
        *self.child.lock().unwrap() = spawn(&self.file);
    }

    /// Ends it and starts it anew with a log that nobody reads.
    pub fn restart_unread(&self) {
        self.kill();
        let started = command(&self.file).stdout(Stdio::piped()).spawn();
        *self.child.lock().unwrap() = started.expect("the daemon starts");
    }

    /// The log that nobody has read since [`Self::restart_unread`].
    pub fn take_output(&self) -> ChildStdout {
        self.child.lock().unwrap().stdout.take().expect("the log is a pipe")
    }

    /// What it logged since the test started it first.
    pub fn log(&self) -> String {
        fs::read_to_string(log_of(&self.file)).unwrap_or_default()
    }

    fn print_end(&self) {
        let ended = self.child.lock().map(|mut it| it.try_wait());
        eprintln!("{}: {ended:?}", self.file.display());
        let log = self.log();
        let lines: Vec<_> = log.lines().collect();
        for line in &lines[lines.len().saturating_sub(LAST_LINES)..] {
            eprintln!("  {line}");
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_end();
        }
        self.kill();
    }
}

fn log_of(file: &Path) -> PathBuf {
    file.with_extension("log")
}

fn command(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fuchsiamilld"));
    command.arg("--config").arg(file).stdin(Stdio::null());
    command
}

fn spawn(file: &Path) -> Child {
    let mut command = command(file);
    if std::env::var_os("SHOW_LOGS").is_none() {
        let log = || -> File {
            let opened = OpenOptions::new().create(true).append(true).open(log_of(file));
            opened.expect("the file of the log")
        };
        command.stdout(log()).stderr(log());
    }
    command.spawn().expect("the daemon starts")
}
