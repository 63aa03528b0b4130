//! Starts a task for each confirmed plan of the configuration.

use std::{cell::RefCell, rc::Rc, time::Duration};

use fuchsiamill_model::{FastSet, PlanId};
use monoio::time::sleep;

use super::task::PlanTask;
use crate::cx::Cx;

/// Runs for as long as the entry host does.
pub async fn run(cx: Rc<Cx>) {
    let look = Duration::from_millis(cx.settings.maintenance.look_ms);
    let running = Rc::new(RefCell::new(FastSet::<PlanId>::default()));
    loop {
        for id in cx.config.current().plans.keys() {
            if running.borrow_mut().insert(id.clone()) {
                let (cx, running, id) = (cx.clone(), running.clone(), id.clone());
                monoio::spawn(async move {
                    PlanTask::new(cx, id.clone()).run().await;
                    running.borrow_mut().remove(&id);
                });
            }
        }
        sleep(look).await;
    }
}
