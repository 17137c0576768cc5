//! Structured logs to standard error, by `log` and `fern`.
//!
//! A line that concerns a request carries its id as the key-value `request`.

use std::fmt::Write;
use std::time::SystemTime;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};

use crate::KernelError;
use crate::settings::{LogFormat, LogLevel, LogSettings};

/// Sets up the process's logger.
///
/// # Errors
/// When a logger is set up already.
pub fn open(cfg: &LogSettings, instance: &str) -> Result<(), KernelError> {
    let format = cfg.format;
    let instance = instance.to_owned();
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("jacinthweir", level(cfg.level))
        .filter(|m| m.level() <= log::Level::Warn || m.target().starts_with("jacinthweir"))
        .level(level(cfg.level))
        .format(move |out, msg, record| {
            let line = match format {
                LogFormat::Json => json_line(&instance, &msg.to_string(), record),
                LogFormat::Text => text_line(&instance, &msg.to_string(), record),
            };
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr());
    let applied = dispatch.apply();
    applied.map_err(|e| KernelError::SetUp {
        what: "logs",
        cause: e.to_string(),
    })
}

fn level(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}

fn json_line(instance: &str, msg: &str, record: &Record<'_>) -> String {
    let mut line = serde_json::Map::new();
    let at = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    line.insert("at".into(), at.into());
    line.insert(
        "level".into(),
        record.level().as_str().to_lowercase().into(),
    );
    line.insert("instance".into(), instance.into());
    line.insert("module".into(), record.target().into());
    line.insert("message".into(), msg.into());
    let mut fields = Fields(&mut line);
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(line).to_string()
}

struct Fields<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}

fn text_line(instance: &str, msg: &str, record: &Record<'_>) -> String {
    let at = humantime::format_rfc3339_millis(SystemTime::now());
    let mut line = format!("{at} {:5} {instance} {msg}", record.level());
    let mut pairs = Pairs(&mut line);
    let _ = record.key_values().visit(&mut pairs);
    line
}

struct Pairs<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(|_| Error::msg("line"))
    }
}
