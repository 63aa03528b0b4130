//! Whether each pool gets a start in its turn, however few there are: see `any_place`.

use fuchsiamill_fleet::{JobSpec, Name, coordinator::StepKey};
use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use super::{places::Places, startable::ROUND_MS};

/// What could start in a pool: an advised step, whose permits have a bound of their own, or any other one.
type Candidate = (Name, Option<StepKey>);

/// Since when something could start in a pool that has got no start, and how long it may wait.
#[derive(Default)]
pub(super) struct PoolTurns(FastMap<Candidate, (Moment, Millisecond)>);

impl PoolTurns {
    /// Checks the steps that could start after a placement.
    pub(super) fn check(
        &mut self,
        places: &Places,
        found: &[(StepKey, u32)],
    ) -> Result<(), String> {
        let mut waits = FastMap::default();
        for (key, _) in found {
            let route = &places.specs[&key.job].route;
            let candidate = (route.pool.clone(), route.advised.then(|| key.clone()));
            let begun = self
                .0
                .get(&candidate)
                .filter(|_| !places.started_in.contains(&route.pool))
                .copied();
            let (since, bound_ms) = begun
                .unwrap_or_else(|| (places.now, places.bound_ms(key) + turns(places) * ROUND_MS));
            if places.now.since(since) > bound_ms {
                return Err(format!(
                    "no start for {bound_ms} ms in {} of {:?}, {} at once, where {key:?} could start",
                    route.pool, places.pools, places.most
                ));
            }
            waits.insert(candidate, (since, bound_ms));
        }
        self.0 = waits;
        Ok(())
    }
}

/// Returns how many placements pass until each pool has had its turn. Where half of the starts are none, no start goes to
/// pools one by one; but each placement starts something while anything could start, so that nothing waits for more
/// placements than there are tasks.
fn turns(places: &Places) -> u64 {
    let tasks = |it: &JobSpec| it.task_count() * it.schedule.map_or(1, |it| it.times.into());
    match places.most / 2 {
        0 => places.specs.values().map(|it| tasks(it)).sum(),
        even => places.pools.len().div_ceil(even) as u64,
    }
}
