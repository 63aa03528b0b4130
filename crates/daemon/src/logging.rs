//! Log lines on standard error, for changes of state only.

use anyhow::Result;
use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Starts logging at `level`.
pub fn start(level: LevelFilter) -> Result<()> {
    let config =
        ConfigBuilder::new().set_time_format_rfc3339().add_filter_allow_str("fuchsiamill").build();
    TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never)?;
    Ok(())
}
