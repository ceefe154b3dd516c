//! The log of this binary: `tracing` on standard error, as text or as JSON lines. Records of the `log` crate,
//! which the front writes, are forwarded with their request, engine and commit as fields.

use crate::file::{LogFormat, LogLevel};
use log::kv::{Key, Value, VisitSource};
use std::io;
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::{Layer, Registry, fmt, reload};

/// Changes the log level while the front runs.
#[derive(Clone)]
pub struct LogLevelHandle(reload::Handle<LevelFilter, Registry>);

impl LogLevelHandle {
    /// Sets the level by its name; an unknown name changes nothing.
    pub fn set(&self, level: &str) {
        let Some(filter) = filter(level) else { return };
        if self.0.modify(|current| *current = filter).is_ok() {
            log::set_max_level(bridge_level(filter));
        }
    }
}

struct LogBridge;

#[derive(Default)]
struct Fields {
    request: Option<String>,
    engine: Option<u64>,
    commit: Option<u64>,
}

impl<'k> VisitSource<'k> for Fields {
    fn visit_pair(&mut self, key: Key<'k>, value: Value<'k>) -> Result<(), log::kv::Error> {
        match key.as_str() {
            "batch" => self.request = Some(value.to_string()),
            "engine" => self.engine = value.to_u64(),
            "commit" => self.commit = value.to_u64(),
            _ => {}
        }
        Ok(())
    }
}

macro_rules! forward {
    ($level:expr, $fields:expr, $record:expr) => {{
        let engine = $fields.engine.map(|engine| format!("{engine:08x}"));
        tracing::event!(
            target: "front",
            $level,
            request = $fields.request.as_deref(),
            engine = engine.as_deref(),
            commit = $fields.commit,
            "{}",
            $record.args()
        )
    }};
}

impl log::Log for LogBridge {
    fn enabled(&self, metadata: &log::Metadata) -> bool {
        metadata.level() <= log::max_level() && metadata.target().starts_with("lemonusher")
    }

    fn log(&self, record: &log::Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut fields = Fields::default();
        let _ = record.key_values().visit(&mut fields);
        match record.level() {
            log::Level::Error => forward!(tracing::Level::ERROR, fields, record),
            log::Level::Warn => forward!(tracing::Level::WARN, fields, record),
            log::Level::Info => forward!(tracing::Level::INFO, fields, record),
            log::Level::Debug => forward!(tracing::Level::DEBUG, fields, record),
            log::Level::Trace => forward!(tracing::Level::TRACE, fields, record),
        }
    }

    fn flush(&self) {}
}

/// Starts the log, on standard error.
pub fn start(level: LogLevel, format: LogFormat) -> LogLevelHandle {
    let filter = match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    };
    let (filter_layer, handle) = reload::Layer::new(filter);
    let format_layer = match format {
        LogFormat::Text => fmt::layer().with_writer(io::stderr).with_ansi(false).boxed(),
        LogFormat::Json => fmt::layer().json().flatten_event(true).with_writer(io::stderr).boxed(),
    };
    // Lines of other libraries are dropped, as few of them concern an operator.
    let is_ours = tracing_subscriber::filter::filter_fn(|metadata| {
        metadata.target().starts_with("lemonusher") || metadata.target() == "front"
    });
    // `init` is not used: it would install tracing's own `log` bridge, which does not forward the fields.
    let subscriber =
        tracing_subscriber::registry().with(filter_layer).with(format_layer.with_filter(is_ours));
    let _ = tracing::subscriber::set_global_default(subscriber);
    if log::set_boxed_logger(Box::new(LogBridge)).is_ok() {
        log::set_max_level(bridge_level(filter));
    }
    LogLevelHandle(handle)
}

fn filter(level: &str) -> Option<LevelFilter> {
    Some(match level {
        "error" => LevelFilter::ERROR,
        "warn" => LevelFilter::WARN,
        "info" => LevelFilter::INFO,
        "debug" => LevelFilter::DEBUG,
        "trace" => LevelFilter::TRACE,
        _ => return None,
    })
}

fn bridge_level(filter: LevelFilter) -> log::LevelFilter {
    match filter {
        LevelFilter::ERROR => log::LevelFilter::Error,
        LevelFilter::WARN => log::LevelFilter::Warn,
        LevelFilter::DEBUG => log::LevelFilter::Debug,
        LevelFilter::TRACE => log::LevelFilter::Trace,
        _ => log::LevelFilter::Info,
    }
}
