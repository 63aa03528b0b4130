//! Tracks the free resources of a pool's hosts and chooses a host for a task.

use std::collections::BTreeMap;

use fuchsiamill_model::{
    DataCentre, FastMap, FastSet, Host, HostName, HostState, RackName, Resources, TeamName,
};

use super::grid::{Cell, Grid, HostIx};

/// Cost of leaving one whole dimension of the largest host unused.
const FULL_COST: u64 = 10_000;
/// Cost of each task of the same team in the same data centre.
const SAME_DATA_CENTRE_COST: u64 = FULL_COST / 50;
/// Cost of each task of the same team in the same rack.
const SAME_RACK_COST: u64 = FULL_COST / 20;
/// Upper limit of the spread cost, so that spreading does not break up the hosts with the most free resources.
const MAX_SPREAD_COST: u64 = FULL_COST / 4;

/// A request to place a task on a host.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The task's team; the tasks of a team are spread over racks and data centres.
    pub team: &'a TeamName,
    /// The task's expected usage.
    pub size: Resources,
    /// Hosts to leave out, because the job has failed there.
    pub avoid: &'a [HostName],
}

/// The answer to a [`PlacementRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The task fits on this host.
    On(HostName),
    /// No host can take the task now.
    Wait(WaitReason),
    /// No host of the pool is large enough, even when empty.
    Unplaceable,
}

/// Why a task waits for a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Hosts that are large enough are open, but none can take the task now.
    Full,
    /// All hosts that are large enough are out of service, ejected or reserved.
    OutOfService,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Plain,
    Accelerated,
}

/// The resources that a host offers, as an ordered key: hosts that offer the same share one shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Shape(u32, u32, u32);

impl Shape {
    fn of(offered: Resources) -> Self {
        Self(offered.millicores, offered.memory_mib, offered.accelerators)
    }

    fn offered(self) -> Resources {
        Resources { millicores: self.0, memory_mib: self.1, accelerators: self.2 }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    name: HostName,
    rack: RackName,
    data_centre: DataCentre,
    state: HostState,
    offered: Resources,
    used: Resources,
    cell: Option<Cell>,
}

impl Entry {
    fn free(&self) -> Resources {
        self.offered.minus(self.used)
    }

    fn class(&self) -> Class {
        if self.offered.accelerators == 0 { Class::Plain } else { Class::Accelerated }
    }
}

#[derive(Clone, Debug, Default)]
struct TaskCounts {
    data_centres: FastMap<DataCentre, u64>,
    racks: FastMap<RackName, u64>,
}

/// The hosts of one pool, with their free resources.
#[derive(Clone, Debug, Default)]
pub struct Placer {
    entries: Vec<Entry>,
    by_name: FastMap<HostName, HostIx>,
    grids: BTreeMap<(Class, DataCentre), Grid>,
    task_counts: FastMap<TeamName, TaskCounts>,
    ejected: FastSet<HostName>,
    reserved: Option<HostName>,
    shapes: BTreeMap<Shape, u32>,
    largest: Resources,
}

impl Placer {
    /// Creates a placer for the pool's hosts, all empty.
    pub fn new<'a>(hosts: impl Iterator<Item = &'a Host>) -> Self {
        let entries: Vec<Entry> = hosts.map(entry_of).collect();
        let by_name = entries.iter().zip(0..).map(|(it, host)| (it.name.clone(), host)).collect();
        let largest = entries.iter().fold(Resources::default(), larger);
        let shapes = entries.iter().map(|it| (Shape::of(it.offered), 0)).collect();
        let mut placer = Self { entries, by_name, largest, shapes, ..Self::default() };
        for host in 0..placer.entries.len() as HostIx {
            placer.index(host);
        }
        placer
    }

    /// Returns the largest amount that any host offers, for each dimension on its own.
    pub fn largest(&self) -> Resources {
        self.largest
    }

    /// Excludes a host from new placements until it is readmitted.
    pub fn eject(&mut self, host: &HostName) {
        if self.ejected.insert(host.clone()) {
            self.with_reindexed(host, |_| ());
        }
    }

    /// Allows new placements on an ejected host again.
    pub fn readmit(&mut self, host: &HostName) {
        if self.ejected.remove(host) {
            self.with_reindexed(host, |_| ());
        }
    }

    /// Reserves a host for one large task, or none; an earlier reservation ends.
    pub fn reserve(&mut self, host: Option<HostName>) {
        let previous = std::mem::replace(&mut self.reserved, host);
        for host in previous.into_iter().chain(self.reserved.clone()) {
            self.with_reindexed(&host, |_| ());
        }
    }

    /// Returns the open host with the most free processors among those that are large enough when empty.
    pub fn emptiest(&self, size: Resources) -> Option<HostName> {
        let open = self.entries.iter().filter(|it| self.is_open(it) && it.offered.fits(size));
        open.max_by_key(|it| it.free().millicores).map(|it| it.name.clone())
    }

    /// Returns whether any host of the pool, in service or not, is large enough for `size` when empty.
    pub fn can_ever_fit(&self, size: Resources) -> bool {
        self.shapes.keys().any(|it| it.offered().fits(size))
    }

    /// Returns whether any host without accelerators is large enough for `size` when empty.
    pub fn has_plain_host(&self, size: Resources) -> bool {
        let mut offered = self.shapes.keys().map(|it| it.offered());
        offered.any(|it| it.accelerators == 0 && it.fits(size))
    }

    /// Chooses a host for a task, without counting the task on it.
    pub fn place(&self, request: &PlacementRequest<'_>) -> Placement {
        let found = if request.size.accelerators > 0 {
            self.best_of(Class::Accelerated, request)
        } else {
            self.place_plain(request)
        };
        match found {
            Some(host) => Placement::On(self.entries[host as usize].name.clone()),
            None => self.refusal(request),
        }
    }

    /// Adds a task to a host's usage.
    pub fn add_task(&mut self, host: &HostName, team: &TeamName, size: Resources) {
        self.with_reindexed(host, |it| it.used = it.used.plus(size));
        self.update_counts(host, team, |count| count + 1);
    }

    /// Removes a task from a host's usage.
    pub fn remove_task(&mut self, host: &HostName, team: &TeamName, size: Resources) {
        self.with_reindexed(host, |it| it.used = it.used.minus(size));
        self.update_counts(host, team, |count| count.saturating_sub(1));
    }

    /// Returns the free resources of a host; `None` if the pool does not have the host.
    pub fn free(&self, host: &HostName) -> Option<Resources> {
        self.by_name.get(host).map(|&host| self.entries[host as usize].free())
    }

    fn place_plain(&self, request: &PlacementRequest<'_>) -> Option<HostIx> {
        if let Some(host) = self.best_of(Class::Plain, request) {
            return Some(host);
        }
        if self.has_plain_host(request.size) {
            None
        } else {
            self.best_of(Class::Accelerated, request)
        }
    }

    fn best_of(&self, class: Class, request: &PlacementRequest<'_>) -> Option<HostIx> {
        let tasks = self.task_counts.get(request.team);
        self.grids
            .iter()
            .filter(|((it, _), _)| *it == class)
            .filter_map(|(_, grid)| grid.best(request.size, |host| self.cost(host, request, tasks)))
            .min()
            .map(|(_, host)| host)
    }

    fn cost(
        &self,
        host: HostIx,
        request: &PlacementRequest<'_>,
        task_counts: Option<&TaskCounts>,
    ) -> Option<u64> {
        let entry = &self.entries[host as usize];
        if !entry.free().fits(request.size) || request.avoid.contains(&entry.name) {
            return None;
        }
        let remaining = entry.free().minus(request.size);
        let waste = cost_share(remaining.millicores, self.largest.millicores)
            + cost_share(remaining.memory_mib, self.largest.memory_mib)
            + cost_share(remaining.accelerators, self.largest.accelerators);
        Some(waste + spread_cost(entry, task_counts))
    }

    fn refusal(&self, request: &PlacementRequest<'_>) -> Placement {
        if !self.entries.is_empty() && !self.can_ever_fit(request.size) {
            return Placement::Unplaceable;
        }
        let mut open = self.shapes.iter().filter(|(_, open)| **open > 0);
        if open.any(|(it, _)| it.offered().fits(request.size)) {
            Placement::Wait(WaitReason::Full)
        } else {
            Placement::Wait(WaitReason::OutOfService)
        }
    }

    fn is_open(&self, entry: &Entry) -> bool {
        entry.state == HostState::Serving && !self.ejected.contains(&entry.name)
    }

    fn update_counts(&mut self, host: &HostName, team: &TeamName, count: impl Fn(u64) -> u64) {
        let Some(&host) = self.by_name.get(host) else { return };
        let entry = &self.entries[host as usize];
        let task_counts = self.task_counts.entry(team.clone()).or_default();
        let tasks = task_counts.data_centres.entry(entry.data_centre.clone()).or_default();
        *tasks = count(*tasks);
        let tasks = task_counts.racks.entry(entry.rack.clone()).or_default();
        *tasks = count(*tasks);
    }

    fn with_reindexed(&mut self, host: &HostName, change: impl FnOnce(&mut Entry)) {
        let Some(&host) = self.by_name.get(host) else { return };
        self.unindex(host);
        change(&mut self.entries[host as usize]);
        self.index(host);
    }

    fn index(&mut self, host: HostIx) {
        let entry = &self.entries[host as usize];
        if !self.is_open(entry) || self.reserved.as_ref() == Some(&entry.name) {
            return;
        }
        let free = entry.free();
        *self.shapes.entry(Shape::of(entry.offered)).or_default() += 1;
        let key = (entry.class(), entry.data_centre.clone());
        let largest = self.largest;
        let grid = self.grids.entry(key).or_insert_with(|| Grid::new(largest));
        let entries = &mut self.entries;
        grid.insert(host, free, |host, cell| entries[host as usize].cell = Some(cell));
    }

    fn unindex(&mut self, host: HostIx) {
        let entry = &mut self.entries[host as usize];
        let Some(cell) = entry.cell.take() else { return };
        *self.shapes.entry(Shape::of(entry.offered)).or_default() -= 1;
        let key = (entry.class(), entry.data_centre.clone());
        let entries = &mut self.entries;
        if let Some(grid) = self.grids.get_mut(&key) {
            grid.remove(cell, |host, cell| entries[host as usize].cell = Some(cell));
        }
    }
}

fn entry_of(host: &Host) -> Entry {
    Entry {
        name: host.name.clone(),
        rack: host.rack.clone(),
        data_centre: host.data_centre.clone(),
        state: host.state,
        offered: host.resources,
        used: Resources::default(),
        cell: None,
    }
}

fn larger(largest: Resources, entry: &Entry) -> Resources {
    Resources {
        millicores: largest.millicores.max(entry.offered.millicores),
        memory_mib: largest.memory_mib.max(entry.offered.memory_mib),
        accelerators: largest.accelerators.max(entry.offered.accelerators),
    }
}

fn spread_cost(entry: &Entry, task_counts: Option<&TaskCounts>) -> u64 {
    let Some(task_counts) = task_counts else { return 0 };
    let data_centre = task_counts.data_centres.get(&entry.data_centre).copied().unwrap_or(0);
    let rack = task_counts.racks.get(&entry.rack).copied().unwrap_or(0);
    (data_centre * SAME_DATA_CENTRE_COST + rack * SAME_RACK_COST).min(MAX_SPREAD_COST)
}

fn cost_share(amount: u32, whole: u32) -> u64 {
    if whole == 0 { 0 } else { u64::from(amount) * FULL_COST / u64::from(whole) }
}
