//! What a run came to, from the stand-ins' record and what callers were told.

use std::collections::{BTreeMap, HashMap};

use fuchsiamill_model::{Millisecond, TeamName};
use fuchsiamill_standin::record::{BackendRecord, Run, RunEnd};

use super::{
    callers::Sent,
    demand::{Mark, SPAN},
    profile::{POOL_SLOTS, Profile, SERVING_POOLS},
    request::{Told, body_of},
};
use crate::share_meter::{ShareMeter, TeamLoad};

const SAMPLE: Millisecond = 10;
/// How long after the last request was sent loads are looked at.
const TAIL: Millisecond = 6_000;
const SAMPLES: usize = ((SPAN + TAIL) / SAMPLE) as usize;

/// What a run came to.
#[derive(Default)]
pub struct Tally {
    /// Requests sent.
    pub sent: usize,
    /// Requests answered.
    pub answered: usize,
    /// Requests whose callers were told that they did not run.
    pub refused: usize,
    /// Of those, requests that did run.
    pub untrue: usize,
    /// Requests whose callers were not told whether they ran.
    pub unknown: usize,
    /// Why requests were not answered.
    pub reasons: BTreeMap<String, usize>,
    /// Requests answered that no backend server finished.
    pub lost: usize,
    /// Runs of non-idempotent requests beyond the first.
    pub repeated: usize,
    /// The most that a team had running above its upper limit.
    pub over_limit: u32,
    /// Answers of backend servers that all their slots are in use.
    pub busy: u64,
    /// The part of the usable slots that was used.
    pub utilisation: f64,
    /// Nearness to share of each team.
    pub nearness: BTreeMap<TeamName, f64>,
    /// Time beyond the run itself at the median and the 99th percentile, in milliseconds.
    pub added: (Millisecond, Millisecond),
    /// The same for requests that were sent while their pool had free slots.
    pub added_free: (Millisecond, Millisecond),
}

/// Works it out; `offset` is the stand-ins' time at the beginning of the run.
pub fn tally(profile: &Profile, sent: &[Sent], record: &BackendRecord, offset: u64) -> Tally {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &record.runs {
        runs.entry(&run.body).or_default().push(run);
    }
    let mut tally = Tally { sent: sent.len(), busy: record.busy, ..Tally::default() };
    for it in sent {
        let body = body_of(it.arrival.number);
        tally.count(it, runs.get(body.as_str()).map_or(&[], |it| &it[..]));
    }
    for team in &profile.teams {
        let of_team = record.runs.iter().filter(|it| it.team == team.name.as_str());
        let most = of_team.map(|it| it.team_running).max().unwrap_or(0);
        tally.over_limit = tally.over_limit.max(most.saturating_sub(team.upper_limit));
    }
    let loads = loads(profile, sent, &runs, offset);
    let mut meter = ShareMeter::default();
    let promises = profile.promises();
    for pool in &loads {
        for sample in pool {
            meter.add(POOL_SLOTS, &promises, sample, SAMPLE);
        }
    }
    tally.utilisation = meter.utilisation();
    tally.nearness = meter.nearness();
    let is_free = |it: &Sent| {
        let sample = &loads[it.arrival.pool][sample_at(it.at)];
        sample.iter().map(|it| it.running + it.waiting).sum::<u32>() < POOL_SLOTS
    };
    tally.added = percentiles(sent, &runs, |_| true);
    tally.added_free = percentiles(sent, &runs, is_free);
    tally
}

impl Tally {
    fn count(&mut self, sent: &Sent, runs: &[&Run]) {
        let has_finished = runs.iter().any(|it| it.end == RunEnd::Finished);
        match &sent.told {
            Told::Answer => {
                self.answered += 1;
                self.lost += usize::from(!has_finished);
            }
            Told::NotRun(reason) => {
                self.refused += 1;
                *self.reasons.entry(reason.clone()).or_default() += 1;
                self.untrue += usize::from(!runs.is_empty());
            }
            Told::Unknown(reason) => {
                self.unknown += 1;
                *self.reasons.entry(reason.clone()).or_default() += 1;
            }
        }
        if sent.arrival.mark == Mark::Once {
            self.repeated += runs.len().saturating_sub(1);
        }
    }
}

/// What each team has running and waiting in each pool at each sample.
fn loads(
    profile: &Profile,
    sent: &[Sent],
    runs: &HashMap<&str, Vec<&Run>>,
    offset: u64,
) -> Vec<Vec<Vec<TeamLoad>>> {
    let empty = vec![TeamLoad::default(); profile.teams.len()];
    let mut loads = vec![vec![empty; SAMPLES]; SERVING_POOLS];
    for it in sent {
        let (pool, team) = (it.arrival.pool, it.arrival.team);
        let body = body_of(it.arrival.number);
        let runs = runs.get(body.as_str()).map_or(&[][..], |it| &it[..]);
        let began = |run: &Run| run.began_ms.saturating_sub(offset);
        let waited_until = runs.first().map_or(it.told_at, |run| began(run));
        for sample in between(&mut loads[pool], it.at, waited_until) {
            sample[team].waiting += 1;
        }
        for run in runs {
            let ended = run.ended_ms.unwrap_or(u64::MAX).saturating_sub(offset);
            for sample in between(&mut loads[pool], began(run), ended) {
                sample[team].running += 1;
            }
        }
    }
    loads
}

fn between(
    samples: &mut [Vec<TeamLoad>],
    from: Millisecond,
    until: Millisecond,
) -> impl Iterator<Item = &mut Vec<TeamLoad>> {
    samples.iter_mut().take(sample_at(until)).skip(sample_at(from))
}

fn sample_at(at: Millisecond) -> usize {
    ((at / SAMPLE) as usize).min(SAMPLES - 1)
}

fn percentiles(
    sent: &[Sent],
    runs: &HashMap<&str, Vec<&Run>>,
    is_counted: impl Fn(&Sent) -> bool,
) -> (Millisecond, Millisecond) {
    let added = |it: &Sent| {
        let run = runs.get(body_of(it.arrival.number).as_str())?.last()?;
        let ran = run.ended_ms?.saturating_sub(run.began_ms);
        Some((it.told_at - it.at).saturating_sub(ran))
    };
    let answered = sent.iter().filter(|it| it.told == Told::Answer && is_counted(it));
    let mut all: Vec<Millisecond> = answered.filter_map(added).collect();
    all.sort_unstable();
    let at = |percent: usize| all.get(all.len() * percent / 100).copied().unwrap_or(0);
    (at(50), at(99))
}
