//! The other entry hosts: heartbeats, standing and the view.

use std::{cell::Cell, rc::Rc};

use fuchsiamill_model::{EntryName, Incarnation, Millisecond, Moment, PoolName, Version};
use fuchsiamill_peer::Router;
use fuchsiamill_settings::Settings;

use crate::{clock::Clock, cx::Cx};

/// Whether this entry host may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    Serving,
    /// Its evidence of the newest configuration is too old.
    Stale,
}

impl Standing {
    /// Why it may not serve, if so.
    pub fn refusal(self) -> Option<&'static str> {
        match self {
            Standing::Serving => None,
            Standing::Stale => Some("This entry host cannot be sure of the newest configuration."),
        }
    }
}

/// A handle to the cluster task.
pub struct ClusterHandle {
    me: EntryName,
    clock: Clock,
    standing_ms: Millisecond,
    table_read: Cell<Option<Moment>>,
}

impl ClusterHandle {
    /// A handle whose task is not started yet.
    pub fn new(
        settings: &Settings,
        clock: Clock,
        _incarnation: Incarnation,
        _router: &mut Router,
    ) -> Self {
        let standing_ms = settings.timing.standing_ms;
        Self { me: settings.entry.name.clone(), clock, standing_ms, table_read: Cell::new(None) }
    }

    /// Starts the task.
    pub fn start(&self, _cx: &Rc<Cx>) {}

    /// Takes note of a read of the table that began at `began` and led to `version`.
    pub fn table_read(&self, began: Moment, _version: Version) {
        self.table_read.set(Some(began));
    }

    /// Whether this entry host may serve now.
    pub fn standing(&self) -> Standing {
        match self.table_read.get() {
            Some(began) if self.clock.now().since(began) < self.standing_ms => Standing::Serving,
            _ => Standing::Stale,
        }
    }

    /// The entry host that owns a pool, if one does.
    pub fn owner(&self, _pool: &PoolName) -> Option<EntryName> {
        Some(self.me.clone())
    }
}
