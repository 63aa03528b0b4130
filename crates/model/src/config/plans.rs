//! Plans that are under way, and the hosts that they hold.

use super::{
    ActivePlan, Configuration, Error, HostName, LogEntry, PlanId, PlanState, Progress, Result,
};

impl Configuration {
    /// The plan that holds a host.
    pub fn holder(&self, host: &HostName) -> Option<(&PlanId, &ActivePlan)> {
        self.plans.iter().find(|(_, plan)| plan.hosts.contains_key(host))
    }

    pub(super) fn check_holder(&self, host: &HostName, acting: Option<&PlanId>) -> Result<()> {
        match self.holder(host) {
            Some((plan, active)) if acting != Some(plan) => Err(Error::HostHeld {
                host: host.clone(),
                plan: plan.clone(),
                who: active.who.clone(),
                intent: active.intent.clone(),
            }),
            _ => Ok(()),
        }
    }

    pub(super) fn record_progress(&mut self, host: &HostName, progress: Progress) {
        if let Some(held) = self.plans.values_mut().find_map(|plan| plan.hosts.get_mut(host)) {
            *held = progress;
        }
    }

    pub(super) fn start_plan(
        &mut self,
        id: &PlanId,
        hosts: &[HostName],
        entry: &LogEntry,
    ) -> Result<()> {
        if self.plans.contains_key(id) {
            return Err(Error::AlreadyThere { kind: "plan", name: id.to_string() });
        }
        for host in hosts {
            if !self.hosts.contains_key(host) {
                return Err(Error::NoHost(host.clone()));
            }
            self.check_holder(host, None)?;
        }
        let active = ActivePlan {
            who: entry.who.clone(),
            intent: entry.intent.clone(),
            state: PlanState::Running,
            step: 0,
            hosts: hosts.iter().map(|host| (host.clone(), Progress::Pending)).collect(),
        };
        self.plans.insert(id.clone(), active);
        Ok(())
    }

    fn plan_mut(&mut self, id: &PlanId) -> Result<&mut ActivePlan> {
        self.plans.get_mut(id).ok_or_else(|| Error::NoPlan(id.clone()))
    }

    pub(super) fn set_plan_state(&mut self, id: &PlanId, state: PlanState) -> Result<()> {
        let active = self.plan_mut(id)?;
        if active.state == PlanState::Cancelling && state != PlanState::Cancelling {
            return Err(Error::PlanState {
                plan: id.clone(),
                found: active.state.as_str().into(),
                wanted: state.as_str().into(),
            });
        }
        active.state = state;
        Ok(())
    }

    pub(super) fn advance_plan(&mut self, id: &PlanId, step: u32) -> Result<()> {
        let active = self.plan_mut(id)?;
        if step <= active.step {
            return Err(Error::PlanState {
                plan: id.clone(),
                found: format!("at step {}", active.step),
                wanted: format!("at step {step}"),
            });
        }
        active.step = step;
        Ok(())
    }
}
