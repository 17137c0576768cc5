//! Structured logs by `log` and `fern`: to standard error, or to standard output by way of a
//! bounded queue.
//!
//! A line that concerns a request carries its id as the key-value `request`.

use std::fmt::Write;
use std::io::Write as _;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};

use crate::KernelError;
use crate::settings::{LogFormat, LogLevel, LogSettings};

/// Sets up the process's logger.
///
/// # Errors
/// When a logger is set up already.
pub fn open(cfg: &LogSettings, instance: &str) -> Result<(), KernelError> {
    apply(cfg, instance, fern::Output::stderr("\n"))
}

/// Lines that wait to be written, at the most. Standard output that nobody reads blocks its
/// writer; without a bound lines would then take all memory, and without the queue the requests
/// would stand still.
const QUEUED_LINES: usize = 2_048;

/// Time that [`flush`] waits for the queue to empty.
const FLUSH: Duration = Duration::from_millis(200);

static QUEUE: OnceLock<SyncSender<Line>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

enum Line {
    Text(String),
    /// Everything before it is written: answer.
    Flush(SyncSender<()>),
}

/// Sets up the process's logger, which writes to standard output and never blocks: lines that the
/// queue has no room for are dropped, and their number is logged.
///
/// # Errors
/// When a logger is set up already.
pub fn open_stdout(cfg: &LogSettings, instance: &str) -> Result<(), KernelError> {
    let (tx, rx) = sync_channel(QUEUED_LINES);
    let written = std::thread::Builder::new()
        .name("logs".to_owned())
        .stack_size(128 << 10)
        .spawn(move || write_lines(&rx));
    written.map_err(|e| KernelError::SetUp {
        what: "logs",
        cause: e.to_string(),
    })?;
    let _ = QUEUE.set(tx);
    let output = fern::Output::call(|record| enqueue(record.args().to_string()));
    apply(cfg, instance, output)
}

/// Waits a short while for queued lines to be written.
pub fn flush() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let (tx, rx) = sync_channel(1);
    if queue.try_send(Line::Flush(tx)).is_ok() {
        // What is not written by then is lost: the exit does not wait for a reader.
        let _ = rx.recv_timeout(FLUSH);
    }
}

fn enqueue(text: String) {
    let sent = QUEUE.get().map(|queue| queue.try_send(Line::Text(text)));
    if !matches!(sent, Some(Ok(()))) {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("jacinthweir_log_lines_dropped_total").increment(1);
    }
}

fn write_lines(rx: &Receiver<Line>) {
    let mut out = std::io::stdout();
    while let Ok(line) = rx.recv() {
        // Standard output may be closed; there is nowhere left to say so.
        match line {
            Line::Text(text) => {
                let _ = writeln!(out, "{text}");
            }
            Line::Flush(tx) => {
                let _ = out.flush();
                let _ = tx.try_send(());
            }
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(
                out,
                "{{\"message\":\"log lines dropped\",\"lines\":{dropped}}}"
            );
        }
    }
}

fn apply(
    cfg: &LogSettings,
    instance: &str,
    output: impl Into<fern::Output>,
) -> Result<(), KernelError> {
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
        .chain(output);
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
