//! Links of little bandwidth.

use std::{
    collections::HashMap,
    fs,
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

/// Added to each body for the head of the message and for the headers of its packets.
const HEAD_BYTES: usize = 250;

/// The links of the entry hosts to the workers, one for each process and all of one bandwidth. Calls pass a link one
/// after another, whether their senders still wait for the answer or not.
#[derive(Debug)]
pub struct NarrowLinks {
    bytes_per_s: f64,
    /// When the link of each process is free again.
    free: HashMap<Option<u32>, Instant>,
    /// The process at the other end of each connection.
    owners: HashMap<SocketAddr, Option<u32>>,
    /// The processes that this one has started, as last read.
    children: Vec<u32>,
}

impl NarrowLinks {
    /// Links of this bandwidth.
    pub fn new(bytes_per_s: u32) -> Self {
        Self {
            bytes_per_s: bytes_per_s.into(),
            free: HashMap::new(),
            owners: HashMap::new(),
            children: Vec::new(),
        }
    }

    /// Queues a call on the link of the process that has the connection from `peer`; returns how long it is on its
    /// way.
    pub(super) fn pass(&mut self, peer: SocketAddr, body_bytes: usize) -> Duration {
        let owner = self.owner(peer);
        let now = Instant::now();
        let bytes = (HEAD_BYTES + body_bytes) as f64;
        let free = self.free.entry(owner).or_insert(now);
        *free = (*free).max(now) + Duration::from_secs_f64(bytes / self.bytes_per_s);
        *free - now
    }

    /// Returns the process that has a connection from `peer`, one of those that this process has started. Only their
    /// files are searched: a machine that tests run on may have hundreds of others.
    fn owner(&mut self, peer: SocketAddr) -> Option<u32> {
        if let Some(known) = self.owners.get(&peer) {
            return *known;
        }
        let inode = inode_of(peer)?;
        let mut owner = process_with(&self.children, &inode);
        if owner.is_none() {
            self.children = children();
            owner = process_with(&self.children, &inode);
        }
        self.owners.insert(peer, owner);
        owner
    }
}

/// Returns the one of these processes that has the socket with this inode.
fn process_with(processes: &[u32], inode: &str) -> Option<u32> {
    let socket = format!("socket:[{inode}]");
    let has_socket = |id: &u32| {
        let files = fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
        files
            .filter_map(|it| fs::read_link(it.path()).ok())
            .any(|it| it.as_os_str().to_str() == Some(&socket))
    };
    processes.iter().copied().find(has_socket)
}

/// Returns the processes that this one has started.
fn children() -> Vec<u32> {
    let own = std::process::id().to_string();
    let is_child = |id: &u32| {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // The name of the program, in brackets, may contain spaces; the parent is the second field after it.
        let parent = stat.rsplit(") ").next().and_then(|it| it.split(' ').nth(1));
        parent == Some(&own)
    };
    let processes = fs::read_dir("/proc").into_iter().flatten().flatten();
    let ids = processes.filter_map(|it| it.file_name().to_str()?.parse::<u32>().ok());
    ids.filter(is_child).collect()
}

/// Returns the inode of the socket at `addr` from the kernel's table, which has addresses in the order of bytes of the
/// machine.
fn inode_of(addr: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = addr.ip() else { return None };
    let local = format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), addr.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut rows = table.lines().map(|it| it.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|it| it.get(1) == Some(&local.as_str()))?;
    row.get(9).map(|it| (*it).to_owned())
}
