//! The registry of a process's metric instruments, and its export as Prometheus text.

use anyhow::Result;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Creates metric instruments and exports their values as Prometheus text.
pub struct Meters {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Meters {
    /// Creates an empty registry.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates the product's instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("fuchsiamill")
    }

    /// Returns all current values as Prometheus text.
    pub fn page(&self) -> Result<String> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
