//! The processes at the other ends of connections.

use std::{
    collections::HashMap,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::mpsc,
    thread,
};

use tokio::sync::oneshot;

/// The kernel's table of connections.
const TABLE: &str = "/proc/net/tcp";

struct Question {
    peer: SocketAddr,
    reply: oneshot::Sender<Option<u32>>,
}

/// Looks up which processes have connections, on a thread of its own: the kernel's table lists the connections of the
/// whole machine and takes long to read. One read answers all questions that wait. Answers come in the order of the
/// questions.
#[derive(Debug)]
pub struct Owners {
    tx: mpsc::Sender<Question>,
}

impl Owners {
    /// Starts the thread, which ends once this value is dropped.
    pub fn start() -> Self {
        let (tx, rx) = mpsc::channel::<Question>();
        thread::spawn(move || {
            let mut known = HashMap::new();
            while let Ok(first) = rx.recv() {
                let questions = std::iter::once(first).chain(rx.try_iter()).collect();
                answer(questions, &mut known);
            }
        });
        Self { tx }
    }

    /// Asks which process, one of those that this one has started, has a connection from `peer`. The answer is `None`
    /// if the connection is closed already.
    pub fn ask(&self, peer: SocketAddr) -> oneshot::Receiver<Option<u32>> {
        let (reply, rx) = oneshot::channel();
        // Without the thread the receiver ends at once.
        let _ = self.tx.send(Question { peer, reply });
        rx
    }
}

fn answer(questions: Vec<Question>, known: &mut HashMap<String, u32>) {
    let is_known = |it: &Question, known: &HashMap<_, _>| known.contains_key(&table_key(it.peer));
    if !questions.iter().all(|it| is_known(it, known)) {
        known.extend(owners());
    }
    for Question { peer, reply } in questions {
        // The call that asked may be gone.
        let _ = reply.send(known.get(&table_key(peer)).copied());
    }
}

/// Returns the processes that have connections, by the local addresses of these as the kernel's table has them.
fn owners() -> Vec<(String, u32)> {
    let processes = processes();
    let table = fs::read_to_string(TABLE)
        .inspect_err(|e| log::error!("cannot read {TABLE}: {e}"))
        .unwrap_or_default();
    let rows = table.lines().map(|it| it.split_whitespace().collect::<Vec<_>>());
    let owner = |row: Vec<&str>| {
        let owner = *processes.get(*row.get(9)?)?;
        Some(((*row.get(1)?).to_owned(), owner))
    };
    rows.filter_map(owner).collect()
}

/// Returns an address as the kernel's table has it: in the order of bytes of the machine.
fn table_key(addr: SocketAddr) -> String {
    let ip = match addr.ip() {
        IpAddr::V4(ip) => ip,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), addr.port())
}

/// Returns the processes that this one has started, by the inodes of their sockets.
fn processes() -> HashMap<String, u32> {
    let mut processes = HashMap::new();
    for id in children() {
        let files = fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
        let links = files.filter_map(|it| fs::read_link(it.path()).ok());
        let inode = |it: &str| Some(it.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned());
        let inodes = links.filter_map(|it| inode(it.as_os_str().to_str()?));
        processes.extend(inodes.map(|it| (it, id)));
    }
    processes
}

/// Returns the processes that this one has started.
fn children() -> impl Iterator<Item = u32> {
    let own = std::process::id().to_string();
    let is_child = move |id: &u32| {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // The name of the program, in brackets, may contain spaces; the parent is the second field after it.
        let parent = stat.rsplit(") ").next().and_then(|it| it.split(' ').nth(1));
        parent == Some(&own)
    };
    let processes = fs::read_dir("/proc").into_iter().flatten().flatten();
    let ids = processes.filter_map(|it| it.file_name().to_str()?.parse::<u32>().ok());
    ids.filter(is_child)
}
