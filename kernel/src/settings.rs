//! Settings of an instance: JSON with comments, fully validated before anything starts.
//!
//! Field names include their unit. Unknown fields are errors. docs/SETTINGS.md describes
//! each field.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use jacinthweir_document::{Document, Fault};
use jacinthweir_policy::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{KernelError, logs};

/// Settings of one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, the same after a restart.
    pub name: Name,
    /// Failure domain it runs in.
    pub failure_domain: Name,
    /// Addresses it listens on.
    pub listen: Listen,
    /// Peer listeners' addresses of some other instances, used as seeds.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Secrets of operators and peers.
    pub tokens: Tokens,
    /// Limits on requests and connections.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and time-outs.
    #[serde(default)]
    pub timing: Timing,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses of the three separate listeners.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Connection to the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address.
    pub address: SocketAddr,
    /// Time-out of a call, in milliseconds.
    #[serde(default = "default_platform_timeout")]
    pub timeout_ms: u64,
}

/// Secrets of operators and peers.
#[derive(Clone, Serialize, Deserialize, derive_more::Debug)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// SHA-256 of the operators' token, as 64 hexadecimal digits.
    pub operators_sha256: Name,
    /// Bearer token of calls between instances.
    #[debug(skip)]
    pub peers: Name,
}

/// Limits on requests and connections.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a caller's request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a schema sent by an operator, in bytes.
    pub schema_bytes: usize,
    /// Maximum number of connections on each listener.
    pub connections: usize,
    /// Maximum number of requests in progress, including queued ones.
    pub requests: usize,
    /// Maximum number of finished requests whose records are kept.
    pub records: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body_bytes: 1 << 20,
            schema_bytes: 16 << 20,
            connections: 4096,
            requests: 2048,
            records: 10_000,
        }
    }
}

/// Intervals and time-outs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Time-out for receiving a request's headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time-out for receiving a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// How long callers may cache an entry answer, in milliseconds.
    pub entry_ttl_ms: u64,
    /// Maximum duration of a graceful shutdown, in milliseconds.
    pub drain_deadline_ms: u64,
    /// Gossip interval, in milliseconds.
    pub gossip_ms: u64,
    /// Time-out of a call to a peer, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Interval of load polls to runners, in milliseconds.
    pub load_poll_ms: u64,
    /// Time-out of a runner's answer to a load poll or cancel, in milliseconds.
    pub upstream_timeout_ms: u64,
    /// Interval of reading the platform's list of instances, in milliseconds.
    pub list_poll_ms: u64,
    /// Interval of reading the configuration's head on instances that do not watch it, and
    /// long-poll time-out of a watch on those that do, in milliseconds.
    pub head_poll_ms: u64,
    /// Interval of deleting configuration parts that no head refers to any more, in milliseconds.
    pub part_clean_ms: u64,
    /// How long an instance serves a revision that neither the platform nor a majority of the
    /// instances confirms, in milliseconds.
    pub unconfirmed_ms: u64,
    /// How long the claim of a non-idempotent call is kept, in milliseconds.
    pub claim_retention_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            header_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
            entry_ttl_ms: 3_000,
            drain_deadline_ms: 120_000,
            gossip_ms: 500,
            peer_timeout_ms: 1_000,
            load_poll_ms: 500,
            upstream_timeout_ms: 1_000,
            list_poll_ms: 2_000,
            head_poll_ms: 4_000,
            part_clean_ms: 600_000,
            unconfirmed_ms: 15_000,
            claim_retention_ms: 24 * 3600 * 1000,
        }
    }
}

/// Log settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// Format of a log line.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            level: LogLevel::Info,
            format: LogFormat::Json,
        }
    }
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures of this instance.
    Error,
    /// Conditions that need an operator's attention.
    Warn,
    /// One line for each request and state change.
    Info,
    /// Details for developers.
    Debug,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text.
    Text,
}

fn default_platform_timeout() -> u64 {
    1_000
}

/// Maximum length of the name of an instance or failure domain, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Number of hexadecimal digits of a SHA-256.
const HASH_DIGITS: usize = 64;
/// Minimum length of the token between instances, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, or all faults found in it.
    pub fn open(path: &Path) -> Result<Settings, KernelError> {
        open_with(path, Settings::parse)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    /// Returns all faults found.
    pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
        let doc = Document::parse(text)?;
        let settings: Settings = doc.read()?;
        let faults = settings.faults(&doc);
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    fn faults(&self, doc: &Document) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (field, name) in [
            ("name", &self.name),
            ("failure_domain", &self.failure_domain),
        ] {
            if !valid_name(name) {
                let msg = "must be 1 to 64 letters, digits, '-', '_' or '.'";
                faults.push(doc.fault_at(field, msg));
            }
        }
        self.check_addresses(doc, &mut faults);
        self.check_tokens(doc, &mut faults);
        for (field, value) in self.positive_fields() {
            if value == 0 {
                faults.push(doc.fault_at(field, "must be greater than 0"));
            }
        }
        faults
    }

    fn check_addresses(&self, doc: &Document, faults: &mut Vec<Fault>) {
        let listen = &self.listen;
        let listeners = [
            ("listen.callers", listen.callers),
            ("listen.peers", listen.peers),
            ("listen.operators", listen.operators),
        ];
        let mut seen = BTreeSet::new();
        for (field, address) in listeners {
            if address.ip().is_unspecified() {
                let msg = "must be an address that others can reach, not the unspecified one";
                faults.push(doc.fault_at(field, msg));
            }
            if !seen.insert(address) {
                faults.push(doc.fault_at(field, "is used by another listener"));
            }
        }
    }

    fn check_tokens(&self, doc: &Document, faults: &mut Vec<Fault>) {
        let hash = &self.tokens.operators_sha256;
        if hash.len() != HASH_DIGITS || !hash.bytes().all(|b| b.is_ascii_hexdigit()) {
            let msg = "must be a SHA-256 as 64 hexadecimal digits";
            faults.push(doc.fault_at("tokens.operators_sha256", msg));
        }
        if self.tokens.peers.len() < MIN_TOKEN_BYTES {
            faults.push(doc.fault_at("tokens.peers", "must have 16 bytes or more"));
        }
    }

    fn positive_fields(&self) -> [(&'static str, u64); 19] {
        let l = &self.limits;
        let t = &self.timing;
        [
            ("platform.timeout_ms", self.platform.timeout_ms),
            ("limits.body_bytes", l.body_bytes as u64),
            ("limits.schema_bytes", l.schema_bytes as u64),
            ("limits.connections", l.connections as u64),
            ("limits.requests", l.requests as u64),
            ("limits.records", l.records as u64),
            ("timing.header_timeout_ms", t.header_timeout_ms),
            ("timing.body_timeout_ms", t.body_timeout_ms),
            ("timing.entry_ttl_ms", t.entry_ttl_ms),
            ("timing.drain_deadline_ms", t.drain_deadline_ms),
            ("timing.gossip_ms", t.gossip_ms),
            ("timing.peer_timeout_ms", t.peer_timeout_ms),
            ("timing.load_poll_ms", t.load_poll_ms),
            ("timing.upstream_timeout_ms", t.upstream_timeout_ms),
            ("timing.list_poll_ms", t.list_poll_ms),
            ("timing.head_poll_ms", t.head_poll_ms),
            ("timing.part_clean_ms", t.part_clean_ms),
            ("timing.unconfirmed_ms", t.unconfirmed_ms),
            ("timing.claim_retention_ms", t.claim_retention_ms),
        ]
    }
}

/// Reads a settings file and parses its text with `parse`.
///
/// # Errors
/// Returns an error if the file cannot be read, or all faults that `parse` finds.
pub fn open_with<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, Vec<Fault>>,
) -> Result<T, KernelError> {
    parse_read(path, std::fs::read_to_string(path), parse)
}

/// Parses with `parse` what was read of the file at `path`.
fn parse_read<T>(
    path: &Path,
    text: std::io::Result<String>,
    parse: impl FnOnce(&str) -> Result<T, Vec<Fault>>,
) -> Result<T, KernelError> {
    let path = path.display().to_string();
    let text = match text {
        Ok(text) => text,
        Err(cause) => return Err(KernelError::Unreadable { path, cause }),
    };
    parse(&text).map_err(|faults| KernelError::Settings { path, faults })
}

/// How long a settings file that is not whole is waited for. A platform that is writing it takes
/// milliseconds, on a starved machine a second; a file that nobody writes must not hide a failed start.
const WHOLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two looks at a settings file that is not whole.
const WHOLE_POLL: Duration = Duration::from_millis(20);

/// Reads a settings file and parses its text with `parse` as soon as it is whole: it exists and holds one
/// JSON value. A start may find it missing, empty or cut off while somebody still writes it.
///
/// # Errors
/// Returns an error if the file cannot be read, or all faults that `parse` finds: at once if it is whole.
pub async fn open_when_whole<T: Send + 'static>(
    path: &Path,
    parse: fn(&str) -> Result<T, Vec<Fault>>,
) -> Result<T, KernelError> {
    let start = Instant::now();
    let mut is_logged = false;
    loop {
        let text = read_apart(path).await;
        let is_final = is_whole(&text) || start.elapsed() >= WHOLE_TIMEOUT;
        match parse_read(path, text, parse) {
            Err(e) if !is_final && !is_logged => {
                is_logged = true;
                log_wait(&e);
            }
            Err(_) if !is_final => {}
            opened => return opened,
        }
        tokio::time::sleep(WHOLE_POLL).await;
    }
}

/// Reads a file on another thread: a read may block, and signals have to be obeyed meanwhile. On a machine
/// that has no thread left, it is read on this one.
async fn read_apart(path: &Path) -> std::io::Result<String> {
    let (tx, rx) = oneshot::channel();
    let owned = path.to_owned();
    let reader = thread::Builder::new().name("settings".to_owned());
    let spawned = reader.spawn(move || tx.send(std::fs::read_to_string(owned)));
    match spawned {
        Ok(_) => rx.await.unwrap_or_else(|e| Err(std::io::Error::other(e))),
        Err(_) => std::fs::read_to_string(path),
    }
}

/// Whether what was read of a settings file does not change by itself.
fn is_whole(text: &std::io::Result<String>) -> bool {
    match text {
        Ok(text) => !text.trim().is_empty() && Document::parse(text).is_ok(),
        Err(e) => !may_become_whole(e),
    }
}

/// Whether a file that cannot be read may be readable soon: it is missing, or ends within a character.
fn may_become_whole(cause: &std::io::Error) -> bool {
    matches!(cause.kind(), ErrorKind::NotFound | ErrorKind::InvalidData)
}

fn log_wait(cause: &KernelError) {
    let cause = cause.to_string();
    let pairs = ("cause", cause.as_str());
    let line = log::Record::builder()
        .level(log::Level::Warn)
        .target(module_path!())
        .args(format_args!("waiting for the settings file"))
        .key_values(&pairs)
        .build();
    logs::write_early(&line);
}

fn valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}
