//! Counters and gauges, through opentelemetry, shown as Prometheus text.

use std::sync::{Arc, Mutex};

use anyhow::Result;
use fuchsiamill_policy::{dispatch::LaneUse, shares::Lane};
use fuchsiamill_site::meters::Meters;
use opentelemetry::{
    KeyValue,
    metrics::{AsyncInstrument, Counter, Gauge, Histogram, ObservableGauge},
};

/// The instruments of one entry host.
pub struct Metrics {
    meters: Meters,
    /// Requests answered, by service and outcome.
    pub requests: Counter<u64>,
    /// Refusals, by kind.
    pub refusals: Counter<u64>,
    /// Exchanges with backend servers, by outcome.
    pub exchanges: Counter<u64>,
    /// Calls to the platform, by service and outcome.
    pub platform_calls: Counter<u64>,
    /// Time from a request's arrival to its answer, in milliseconds.
    pub latency: Histogram<f64>,
    /// The version of the configuration that is applied.
    pub config_version: Gauge<u64>,
    /// The entry hosts in the installed view.
    pub view_members: Gauge<u64>,
    /// Bytes of calls and notifications sent to the other entry hosts since the start.
    pub peer_bytes_sent: Gauge<u64>,
    /// Whether this entry host serves: 1 or 0.
    pub serving: Gauge<u64>,
    /// A counter for everything else, by event.
    pub events: Counter<u64>,
    _nearness: ObservableGauge<f64>,
    lanes: Arc<Mutex<Vec<LaneUse>>>,
}

impl Metrics {
    /// Fresh instruments with a registry of their own.
    pub fn new() -> Result<Self> {
        let meters = Meters::new()?;
        let meter = meters.meter();
        let lanes = Arc::<Mutex<Vec<LaneUse>>>::default();
        let shown = lanes.clone();
        let nearness = meter.f64_observable_gauge("nearness_to_share");
        let nearness = nearness.with_callback(move |observer| {
            for lane in shown.lock().iter().flat_map(|it| it.iter()) {
                observe_nearness(observer, lane);
            }
        });
        Ok(Self {
            _nearness: nearness.build(),
            lanes,
            requests: meter.u64_counter("requests").build(),
            refusals: meter.u64_counter("refusals").build(),
            exchanges: meter.u64_counter("exchanges").build(),
            platform_calls: meter.u64_counter("platform_calls").build(),
            latency: meter.f64_histogram("request_latency").with_unit("ms").build(),
            config_version: meter.u64_gauge("config_version").build(),
            view_members: meter.u64_gauge("view_members").build(),
            peer_bytes_sent: meter.u64_gauge("peer_bytes_sent").build(),
            serving: meter.u64_gauge("serving").build(),
            events: meter.u64_counter("events").build(),
            meters,
        })
    }

    /// Counts one event by name.
    pub fn event(&self, name: &'static str) {
        self.events.add(1, &[KeyValue::new("event", name)]);
    }

    /// Sets the lanes of the pools that this host owns; others are shown no more.
    pub fn set_lanes(&self, lanes: Vec<LaneUse>) {
        if let Ok(mut shown) = self.lanes.lock() {
            *shown = lanes;
        }
    }

    /// All instruments as Prometheus text.
    pub fn text(&self) -> Result<String> {
        self.meters.page()
    }
}

fn observe_nearness(observer: &dyn AsyncInstrument<f64>, lane: &LaneUse) {
    let Some(nearness) = lane.nearness else { return };
    let team = match &lane.lane {
        Lane::Team(team) => team.to_string(),
        Lane::Open => String::new(),
    };
    let pool = KeyValue::new("pool", lane.pool.to_string());
    observer.observe(nearness, &[pool, KeyValue::new("team", team)]);
}
