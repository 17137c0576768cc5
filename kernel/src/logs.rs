//! Structured logging with `log` and `fern`, to standard error or, through a bounded queue, to
//! standard output.
//!
//! A line about a request carries the request id under the key `request`.

pub mod line;
pub mod queue;

use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use log::{LevelFilter, Record};

use self::queue::{Line, LineReceiver, LineSender};
use crate::KernelError;
use crate::settings::{LogFormat, LogLevel, LogSettings};

/// Installs the process-wide logger, which writes to standard error.
///
/// # Errors
/// Returns an error if a logger is already installed.
pub fn open(cfg: &LogSettings, instance: &str) -> Result<(), KernelError> {
    apply(cfg, instance, fern::Output::stderr("\n"))
}

/// How long [`flush`] waits for the queue to drain.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval between two looks whether the queue has room.
const ROOM_POLL: Duration = Duration::from_millis(1);

/// Stack size of a thread that writes lines, in bytes.
const STACK_BYTES: usize = 128 << 10;

static QUEUE: OnceLock<LineSender> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Format of the log and name of the instance, once the log is open.
static STYLE: OnceLock<Style> = OnceLock::new();

struct Style {
    format: LogFormat,
    instance: String,
}

impl Style {
    fn line(&self, record: &Record<'_>) -> String {
        line::encode(self.format, &self.instance, record)
    }
}

/// Installs the process-wide logger, which writes to standard output and never blocks. Lines that
/// do not fit into the queue are dropped, and their number is logged.
///
/// # Errors
/// Returns an error if a logger is already installed or the writer thread cannot be started.
pub fn open_stdout(cfg: &LogSettings, instance: &str) -> Result<(), KernelError> {
    let (tx, rx) = queue::open();
    let spawned = std::thread::Builder::new()
        .name("logs".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || write_lines(&rx));
    spawned.map_err(|e| KernelError::SetUp {
        what: "logs",
        cause: e.to_string(),
    })?;
    let _ = QUEUE.set(tx);
    let output = fern::Output::call(|record| enqueue(record.args().to_string()));
    apply(cfg, instance, output)
}

/// Waits for queued lines to be written, for a bounded time.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        flush_until(queue, Instant::now() + FLUSH_TIMEOUT);
    }
}

/// Writes the last line of the process at any level, to the log or, before that is open, to standard error.
/// Waits a bounded time until it is written: neither may a full queue lose it, nor may the exit wait for
/// a reader.
pub fn write_last(record: &Record<'_>) {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    let text = line(record);
    match QUEUE.get() {
        Some(queue) => {
            if send_until(queue, Line::Text(text), deadline) {
                flush_until(queue, deadline);
            }
        }
        None => write_stderr(text),
    }
}

/// Writes a line about a start whose log is not open yet to standard error.
pub fn write_early(record: &Record<'_>) {
    write_stderr(line(record));
}

fn line(record: &Record<'_>) -> String {
    match STYLE.get() {
        Some(style) => style.line(record),
        None => line::encode(LogFormat::Json, "", record),
    }
}

/// Writes a line to standard error for a bounded time: on a thread of its own, since that blocks if
/// nobody reads it. On a machine that has no thread left, which may be what the line says, on this one.
fn write_stderr(text: String) {
    let text = Arc::new(text);
    let (tx, rx) = sync_channel(1);
    let written = Arc::clone(&text);
    let writer = std::thread::Builder::new().stack_size(STACK_BYTES);
    let spawned = writer.spawn(move || {
        let _ = writeln!(std::io::stderr(), "{written}");
        let _ = tx.try_send(());
    });
    match spawned {
        Ok(_) => {
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
        Err(_) => {
            let _ = writeln!(std::io::stderr(), "{text}");
        }
    }
}

/// Queues a line, and returns whether there was room before the deadline.
fn send_until(queue: &LineSender, mut line: Line, deadline: Instant) -> bool {
    loop {
        match queue.try_send(line) {
            Ok(()) => return true,
            Err(TrySendError::Full(unsent)) if Instant::now() < deadline => line = unsent,
            Err(_) => return false,
        }
        std::thread::sleep(ROOM_POLL);
    }
}

fn flush_until(queue: &LineSender, deadline: Instant) {
    let (tx, rx) = sync_channel(1);
    if send_until(queue, Line::Flush(tx), deadline) {
        // Lines not written by then are lost: the exit must not wait for a reader.
        let _ = rx.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

fn enqueue(text: String) {
    let sent = QUEUE.get().map(|queue| queue.try_send(Line::Text(text)));
    if !matches!(sent, Some(Ok(()))) {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("jacinthweir_log_lines_dropped_total").increment(1);
    }
}

fn write_lines(rx: &LineReceiver) {
    let mut out = std::io::stdout();
    while let Some(line) = rx.recv() {
        // Standard output may be closed; there is nowhere left to report a write error.
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

/// Logs and counts panics, also those of tasks that nothing awaits. They are still printed to standard
/// error.
fn log_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        print(panic);
        metrics::counter!("jacinthweir_panics_total").increment(1);
        let location = panic.location().map(ToString::to_string);
        let location = location.unwrap_or_default();
        let what = panic.payload_as_str().unwrap_or("unknown");
        log::error!(location, what; "panic");
    }));
}

fn apply(
    cfg: &LogSettings,
    instance: &str,
    output: impl Into<fern::Output>,
) -> Result<(), KernelError> {
    let style = STYLE.get_or_init(|| Style {
        format: cfg.format,
        instance: instance.to_owned(),
    });
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("jacinthweir", level(cfg.level))
        .filter(|m| m.level() <= log::Level::Warn || m.target().starts_with("jacinthweir"))
        .level(level(cfg.level))
        .format(move |out, _, record| {
            let line = style.line(record);
            out.finish(format_args!("{line}"));
        })
        .chain(output);
    let applied = dispatch.apply();
    applied.map_err(|e| KernelError::SetUp {
        what: "logs",
        cause: e.to_string(),
    })?;
    log_panics();
    Ok(())
}

fn level(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
