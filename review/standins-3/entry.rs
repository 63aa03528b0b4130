//! Entry hosts: the project's own program as a process, with settings as the platform fills them in.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::net::call;

/// The program as the deploy file runs it.
const PROGRAM: &str = "target/release/fuchsiamilld";

/// Where an entry host finds the platform.
#[derive(Clone, Copy)]
pub struct Platform {
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

/// An entry host.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// The most descriptors that the process may have; `None` for as many as this one.
    most_fds: Option<u32>,
}

/// Processes that were started and have not been waited for.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that still run.
pub fn kill_all() {
    for pid in PIDS.lock().unwrap().drain(..) {
        let _ = Command::new("sh").args(["-c", &format!("kill -KILL {pid}")]).status();
    }
}

/// Returns free ports, all different.
fn free_ports<const N: usize>(ip: &str) -> [SocketAddr; N] {
    let listeners = [(); N].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|it| it.local_addr().expect("an address"))
}

impl Entry {
    /// Writes the settings of an entry host and starts it.
    pub fn start(folder: &PathBuf, name: &str, ip: &str, platform: Platform) -> Self {
        Self::start_with(folder, name, ip, platform, None)
    }

    /// Does so for a process that may have only so many descriptors.
    pub fn start_with(
        folder: &PathBuf,
        name: &str,
        ip: &str,
        platform: Platform,
        most_fds: Option<u32>,
    ) -> Self {
        let [callers, ready, metrics, peers] = free_ports(ip);
        let text = format!(
            "[fleet]\nname = {name}\ncallers = {callers}\nready = {ready}\nmetrics = {metrics}\npeers = {peers}\n\
             store = {}\nhosts = {}\nlongest-lease-ms = 10000\nmove-s = 1.5\nupkeep-s = 2\n\
             holder-change-ms = 3000\ncancel-ms = 3000\nfenced-hosts = false\ngrace-s = 6\nfar-factor = 1.5\n\
             status-s = 120\nrow-bytes = 65536\nprocessor-share = 0.25\nprocessors = 1\nlink-mbps = 1000.0\n",
            platform.store, platform.cloud
        );
        let file = folder.join(format!("{name}.ini"));
        fs::write(&file, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let mut entry =
            Self { name: name.into(), callers, ready, file, log, child: None, most_fds };
        entry.launch();
        entry
    }

    pub fn launch(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let mut command = match self.most_fds {
            None => Command::new(PROGRAM),
            Some(most) => {
                let mut command = Command::new("sh");
                command.args(["-c", &format!("ulimit -n {most} && exec \"$0\" \"$@\""), PROGRAM]);
                command
            }
        };
        let child = command
            .args(["--config".as_ref(), self.file.as_os_str()])
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let child = child.expect("the program of the deploy file can be started");
        PIDS.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).status();
        }
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Returns how many descriptors the process has.
    pub fn fds(&self) -> usize {
        self.pid()
            .and_then(|it| fs::read_dir(format!("/proc/{it}/fd")).ok())
            .map_or(0, |it| it.count())
    }

    /// Returns how long the process has used a processor.
    pub fn processor_time(&self) -> Duration {
        let stat = self.pid().and_then(|it| fs::read_to_string(format!("/proc/{it}/stat")).ok());
        let stat = stat.unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        Duration::from_millis((ticks(11) + ticks(12)) * 10)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            PIDS.lock().unwrap().retain(|it| *it != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn wait(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.ended().is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.ready, "GET", "/ready", &[], "", Duration::from_secs(1));
        answer.is_some_and(|it| it.status == 200)
    }

    /// Returns the log's lines that hold a text.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|it| it.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
