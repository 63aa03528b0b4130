//! Hosts of one class in buckets by how much processor and memory they have free.

use fuchsiamill_model::Resources;

/// Levels of free processors, and of free memory.
const LEVELS: usize = 16;
/// Hosts of one bucket looked at before the search goes on to the next bucket.
const SAMPLE: usize = 24;
/// Fitting hosts after which the search stops.
const ENOUGH: usize = 16;

/// A host's number within a placer.
pub(super) type HostIx = u32;

/// A host's place in the grid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Cell {
    bucket: u16,
    at: u32,
}

/// Buckets of hosts, the fullest hosts first.
#[derive(Clone, Debug)]
pub(super) struct Grid {
    largest: Resources,
    buckets: Vec<Vec<HostIx>>,
    order: Vec<u16>,
}

/// Whether a bucket is searched to its end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Depth {
    Sample,
    Whole,
}

impl Grid {
    /// An empty grid for hosts of at most `largest`.
    pub(super) fn new(largest: Resources) -> Self {
        let mut order: Vec<u16> = (0..(LEVELS * LEVELS) as u16).collect();
        order.sort_by_key(|&bucket| bucket as usize / LEVELS + bucket as usize % LEVELS);
        Self { largest, buckets: vec![Vec::new(); LEVELS * LEVELS], order }
    }

    /// Adds a host; `move_cell` is told where every host lies that came to a new place.
    pub(super) fn insert(
        &mut self,
        host: HostIx,
        free: Resources,
        mut move_cell: impl FnMut(HostIx, Cell),
    ) {
        let bucket = self.bucket_of(free);
        let hosts = &mut self.buckets[bucket as usize];
        move_cell(host, Cell { bucket, at: hosts.len() as u32 });
        hosts.push(host);
    }

    /// Removes the host at `cell`.
    pub(super) fn remove(&mut self, cell: Cell, mut move_cell: impl FnMut(HostIx, Cell)) {
        let hosts = &mut self.buckets[cell.bucket as usize];
        hosts.swap_remove(cell.at as usize);
        if let Some(&moved) = hosts.get(cell.at as usize) {
            move_cell(moved, cell);
        }
    }

    /// The fitting host of the least cost, if any host fits.
    pub(super) fn best(
        &self,
        size: Resources,
        cost: impl Fn(HostIx) -> Option<u64>,
    ) -> Option<(u64, HostIx)> {
        self.search(size, &cost, Depth::Sample).or_else(|| self.search(size, &cost, Depth::Whole))
    }

    fn search(
        &self,
        size: Resources,
        cost: &impl Fn(HostIx) -> Option<u64>,
        depth: Depth,
    ) -> Option<(u64, HostIx)> {
        let least = self.bucket_of(size) as usize;
        let mut best = None;
        let mut fitting = 0;
        for &bucket in &self.order {
            let bucket = bucket as usize;
            if bucket / LEVELS < least / LEVELS || bucket % LEVELS < least % LEVELS {
                continue;
            }
            let hosts = &self.buckets[bucket];
            let most = if depth == Depth::Sample { SAMPLE } else { hosts.len() };
            for &host in hosts.iter().take(most) {
                let Some(cost) = cost(host) else { continue };
                fitting += 1;
                if best.is_none_or(|it| (cost, host) < it) {
                    best = Some((cost, host));
                }
            }
            if fitting >= ENOUGH {
                break;
            }
        }
        best
    }

    fn bucket_of(&self, free: Resources) -> u16 {
        let millicores = level(free.millicores, self.largest.millicores);
        let memory = level(free.memory_mib, self.largest.memory_mib);
        (millicores * LEVELS + memory) as u16
    }
}

fn level(amount: u32, largest: u32) -> usize {
    let level = u64::from(amount) * LEVELS as u64 / (u64::from(largest) + 1);
    (level as usize).min(LEVELS - 1)
}
