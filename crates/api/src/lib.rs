//! What the calls of the operator port take and give, shared by the daemon and the command line.

pub mod audit;
pub mod change;
pub mod catalogue;
pub mod jobs;
pub mod plans;
pub mod report;
pub mod story;

pub use audit::{AuditFilter, AuditOutcome, AuditRecord};
pub use catalogue::{Catalogue, HostFilter};
pub use change::{ChangeReport, ChangeRequest};
pub use jobs::{JobFilter, JobRef, JobReport, JobState, JobView};
pub use plans::{
    Acceptance, Confirmed, PlanRef, PlanReport, PlanView, Reason, SetPlanState, Stage,
};
pub use report::{BudgetReport, ConfigStatus, ShareReport, SiteReport, SiteStatus, TeamReport};
