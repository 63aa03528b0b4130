//! What every task of the daemon shares: settings, clock, counters and handles to the other tasks.

use std::rc::Rc;

use fuchsiamill_model::Incarnation;
use fuchsiamill_ports::{HostListClient, ObjectClient, TableClient};
use fuchsiamill_settings::Settings;

use crate::{
    audit::AuditHandle,
    backend::{BackendHealth, Backends},
    claims::Claims,
    clock::Clock,
    cluster::ClusterHandle,
    config::ConfigHandle,
    dispatch::DispatchHandle,
    jobs::JobsHandle,
    metrics::Metrics,
};

/// The shared context of one entry host.
pub struct Cx {
    /// The checked settings.
    pub settings: Rc<Settings>,
    /// The process's clock.
    pub clock: Clock,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The counters.
    pub metrics: Metrics,
    /// The platform's table service.
    pub table: Rc<TableClient>,
    /// The platform's object store.
    pub objects: Rc<ObjectClient>,
    /// The platform's list of hosts.
    pub hosts: Rc<HostListClient>,
    /// The audit trail.
    pub audit: AuditHandle,
    /// The configuration task.
    pub config: ConfigHandle,
    /// The cluster task.
    pub cluster: ClusterHandle,
    /// The dispatch task.
    pub dispatch: DispatchHandle,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// What is known of the backend servers of owned pools.
    pub health: BackendHealth,
    /// The tasks of jobs.
    pub jobs: JobsHandle,
    /// Connections to backend servers.
    pub backends: Backends,
}
