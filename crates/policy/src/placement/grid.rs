//! An index of the hosts of one class by their free processors and memory.

use fuchsiamill_model::Resources;

/// Number of levels of free processors, and of free memory.
const LEVELS: usize = 16;
/// Hosts examined in each bucket by the first search.
const BUCKET_SAMPLE: usize = 24;
/// The search ends after the bucket in which the number of fitting hosts found reaches this.
const MIN_CANDIDATES: usize = 16;

/// A host's index in its placer.
pub(super) type HostIx = u32;

/// A host's position in the grid: the bucket and the index in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Cell {
    bucket: u16,
    at: u32,
}

/// Hosts in buckets by free processors and memory; `order` lists the buckets of the fullest hosts first.
#[derive(Clone, Debug)]
pub(super) struct Grid {
    largest: Resources,
    buckets: Vec<Vec<HostIx>>,
    order: Vec<u16>,
}

/// How many hosts of each bucket a search examines.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Depth {
    Sample,
    Whole,
}

impl Grid {
    /// Creates an empty grid for hosts that offer at most `largest`.
    pub(super) fn new(largest: Resources) -> Self {
        let mut order: Vec<u16> = (0..(LEVELS * LEVELS) as u16).collect();
        order.sort_by_key(|&bucket| bucket as usize / LEVELS + bucket as usize % LEVELS);
        Self { largest, buckets: vec![Vec::new(); LEVELS * LEVELS], order }
    }

    /// Adds a host and calls `set_cell` with its cell.
    pub(super) fn insert(
        &mut self,
        host: HostIx,
        free: Resources,
        mut set_cell: impl FnMut(HostIx, Cell),
    ) {
        let bucket = self.bucket_of(free);
        let hosts = &mut self.buckets[bucket as usize];
        set_cell(host, Cell { bucket, at: hosts.len() as u32 });
        hosts.push(host);
    }

    /// Removes the host at `cell` and calls `set_cell` for the host that is moved into that cell, if any.
    pub(super) fn remove(&mut self, cell: Cell, mut set_cell: impl FnMut(HostIx, Cell)) {
        let hosts = &mut self.buckets[cell.bucket as usize];
        hosts.swap_remove(cell.at as usize);
        if let Some(&moved) = hosts.get(cell.at as usize) {
            set_cell(moved, cell);
        }
    }

    /// Returns a fitting host of low cost, if any host fits; `cost` is `None` for hosts that do not fit.
    ///
    /// The first search examines a sample of each bucket; only if it finds none are all hosts examined.
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
        let min = self.bucket_of(size) as usize;
        let mut best = None;
        let mut fitting = 0;
        for &bucket in &self.order {
            let bucket = bucket as usize;
            if bucket / LEVELS < min / LEVELS || bucket % LEVELS < min % LEVELS {
                continue;
            }
            let hosts = &self.buckets[bucket];
            let max = if depth == Depth::Sample { BUCKET_SAMPLE } else { hosts.len() };
            for &host in hosts.iter().take(max) {
                let Some(cost) = cost(host) else { continue };
                fitting += 1;
                if best.is_none_or(|it| (cost, host) < it) {
                    best = Some((cost, host));
                }
            }
            if fitting >= MIN_CANDIDATES {
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
