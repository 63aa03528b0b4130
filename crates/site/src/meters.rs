//! The registry of a process's instruments and the page that shows them.

use anyhow::Result;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Makes instruments, and shows them as Prometheus text.
pub struct Meters {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Meters {
    /// A fresh registry.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Makes the product's instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("fuchsiamill")
    }

    /// All values now.
    pub fn page(&self) -> Result<String> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
