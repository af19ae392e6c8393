//! Set-up of logging.

use std::env;
use std::io;
use std::io::IsTerminal;

use stoatwell_settings::LogFormat;
use stoatwell_settings::Settings;
use tracing_subscriber::EnvFilter;

/// Installs the subscriber that writes log lines to standard error, unless the
/// process has one already.
pub fn init(settings: &Settings) {
    let filter = EnvFilter::new(&settings.log.level);
    let colours = io::stderr().is_terminal() && env::var_os("NO_COLOR").is_none();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(colours)
        .with_writer(io::stderr);
    let result = match settings.log.format {
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
        LogFormat::Text => builder.try_init(),
    };
    if let Err(error) = result {
        tracing::debug!(%error, "logging was already initialised; keeping the existing subscriber");
    }
}
