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
}

impl NarrowLinks {
    /// Links of this bandwidth.
    pub fn new(bytes_per_s: u32) -> Self {
        Self { bytes_per_s: bytes_per_s.into(), free: HashMap::new(), owners: HashMap::new() }
    }

    /// Queues a call on the link of the process that has the connection from `peer`; returns how long it is on its
    /// way.
    pub(super) fn pass(&mut self, peer: SocketAddr, body_bytes: usize) -> Duration {
        let owner = *self.owners.entry(peer).or_insert_with(|| process_of(peer));
        let now = Instant::now();
        let bytes = (HEAD_BYTES + body_bytes) as f64;
        let free = self.free.entry(owner).or_insert(now);
        *free = (*free).max(now) + Duration::from_secs_f64(bytes / self.bytes_per_s);
        *free - now
    }
}

/// Returns the process of this machine that has a socket at `addr`.
fn process_of(addr: SocketAddr) -> Option<u32> {
    let inode = inode_of(addr)?;
    let socket = format!("socket:[{inode}]");
    let processes = fs::read_dir("/proc").ok()?.flatten();
    let mut ids = processes.filter_map(|it| it.file_name().to_str()?.parse::<u32>().ok());
    ids.find(|id| {
        let files = fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
        files
            .filter_map(|it| fs::read_link(it.path()).ok())
            .any(|it| it.as_os_str().to_str() == Some(&socket))
    })
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
