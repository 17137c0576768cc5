//! One line of the log, in either format.
//!
//! Other processes choose some of the texts in it: names of entries, causes of errors. Each is held to a
//! length, and no character of it ends the line or controls a terminal.

use std::fmt::{self, Display, Write};
use std::time::SystemTime;

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

use crate::settings::LogFormat;

/// Length to which a text is cut, in bytes. The names of all instances of a large fleet fit.
const MAX_TEXT_BYTES: usize = 8 << 10;

/// Returns the line of a record, with the name of the instance.
#[must_use]
pub fn encode(format: LogFormat, instance: &str, record: &Record<'_>) -> String {
    let msg = shortened(record.args());
    match format {
        LogFormat::Json => json_line(instance, msg, record),
        LogFormat::Text => text_line(instance, &msg, record),
    }
}

fn json_line(instance: &str, msg: String, record: &Record<'_>) -> String {
    let mut line = Map::new();
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
    let line = serde_json::Value::Object(line).to_string();
    // JSON escapes some control characters itself, and the others occur in its strings only.
    escaped(line, |c| format!("\\u{:04x}", u32::from(c)))
}

struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), shortened(&value).into());
        Ok(())
    }
}

fn text_line(instance: &str, msg: &str, record: &Record<'_>) -> String {
    let at = humantime::format_rfc3339_millis(SystemTime::now());
    let mut line = format!("{at} {:5} {instance} {msg}", record.level());
    let mut pairs = Pairs(&mut line);
    let _ = record.key_values().visit(&mut pairs);
    escaped(line, |c| c.escape_default().to_string())
}

struct Pairs<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = shortened(&value);
        write!(self.0, " {key}={value}").map_err(|_| Error::msg("line"))
    }
}

/// Escapes the characters of a line that end it for some readers, or control a terminal.
fn escaped(line: String, escape: impl Fn(char) -> String) -> String {
    let is_escaped = |c: char| c.is_control() || matches!(c, '\u{2028}' | '\u{2029}');
    if !line.contains(is_escaped) {
        return line;
    }
    let mut escaped = String::with_capacity(line.len());
    for c in line.chars() {
        match is_escaped(c) {
            true => escaped.push_str(&escape(c)),
            false => escaped.push(c),
        }
    }
    escaped
}

/// Returns a text, cut if it is long, and then with its length.
fn shortened(value: &impl Display) -> String {
    let mut text = CutText::default();
    let _ = write!(text, "{value}");
    let CutText { mut kept, bytes } = text;
    if kept.len() < bytes {
        kept.push_str(&format!("... ({bytes} bytes)"));
    }
    kept
}

/// Keeps the beginning of what is written to it.
#[derive(Default)]
struct CutText {
    kept: String,
    /// Length of all that was written.
    bytes: usize,
}

impl Write for CutText {
    fn write_str(&mut self, s: &str) -> fmt::Result {
        if self.kept.len() == self.bytes {
            let room = MAX_TEXT_BYTES - self.kept.len();
            self.kept.push_str(&s[..s.floor_char_boundary(room)]);
        }
        self.bytes += s.len();
        Ok(())
    }
}
