//! An instance in the test process, and raw requests to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jacinthweir as _;
use jacinthweir_kernel::config::{Config, InForce};
use jacinthweir_kernel::listener::RunningListener;
use jacinthweir_kernel::{Kernel, ListenerKind, Settings, auth};
use jacinthweir_policy::schema::{CompiledSchema, parse_schema};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SCHEMA: &str = r#"{
    "accelerators": [{ "kind": "a", "speed_percent": 100, "memory_bytes": 1000000 }],
    "models": [{ "name": "spruce", "layers": 8, "bytes_per_layer": 1, "nanos_per_layer": 1000,
        "activation_bytes": 16 }],
    "pipelines": [{ "name": "notas", "model": "spruce", "max_tokens": 64,
        "default_deadline_ms": 2000 }],
    "organisations": [{ "name": "olinda", "priority": 1, "weight": 1, "key_sha256": ["KEY"] }],
}"#;

/// Maximum wait for an answer, well above every time-out of the instance.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// A running instance whose plug-in tasks are not started.
pub struct Instance {
    pub cx: Arc<Kernel>,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    _listening: Vec<RunningListener>,
}

impl Instance {
    pub async fn bind() -> Instance {
        let [callers, peers, operators, platform] = free_addresses().await;
        let settings = format!(
            r#"{{ "name": "recife-1", "failure_domain": "recife",
                "listen": {{ "callers": "{callers}", "peers": "{peers}",
                    "operators": "{operators}" }},
                "platform": {{ "address": "{platform}" }},
                "tokens": {{ "operators_sha256": "{}", "peers": "token-between-instances" }},
                "limits": {{ "body_bytes": 4096 }},
                "timing": {{ "header_timeout_ms": 300, "body_timeout_ms": 300 }} }}"#,
            auth::fingerprint("token-of-operators")
        );
        let settings = Settings::parse(&settings).expect("settings");
        let cx = Kernel::open(settings).expect("kernel");
        cx.config.set(Config::InForce(in_force()));
        let mut listening = Vec::new();
        for kind in [
            ListenerKind::Callers,
            ListenerKind::Peers,
            ListenerKind::Operators,
        ] {
            listening.push(RunningListener::bind(&cx, kind).await.expect("listener"));
        }
        Instance {
            cx,
            callers,
            operators,
            peers,
            _listening: listening,
        }
    }
}

fn in_force() -> Arc<InForce> {
    let text = SCHEMA.replace("KEY", &auth::fingerprint("key-of-olinda"));
    let schema = parse_schema(&text).expect("schema");
    let schema = CompiledSchema::compile(Arc::new(schema)).expect("compiled schema");
    let in_force = InForce::new(1, 0, Arc::new(schema));
    in_force.set_serve_until(u64::MAX);
    Arc::new(in_force)
}

async fn free_addresses() -> [SocketAddr; 4] {
    let mut listeners = Vec::new();
    for _ in 0..4 {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("port"));
    }
    std::array::from_fn(|i| listeners[i].local_addr().expect("address"))
}

/// A test case from a case file.
pub struct Case {
    pub name: String,
    pub request: Vec<u8>,
    pub expected: String,
}

/// Parses a case file.
pub fn read_cases(text: &str) -> Vec<Case> {
    let mut cases = Vec::new();
    for block in text.split("\ncase: ").skip(1) {
        let (name, lines) = block.split_once('\n').expect("a name");
        let mut case = Case {
            name: name.into(),
            request: Vec::new(),
            expected: String::new(),
        };
        for line in lines.lines() {
            read_line(line, &mut case);
        }
        cases.push(case);
    }
    cases
}

fn read_line(line: &str, case: &mut Case) {
    let count = |s: &str| s.parse::<usize>().expect("a number");
    if let Some(sent) = line.strip_prefix('>') {
        let sent = sent.strip_prefix(' ').unwrap_or(sent);
        let sent = sent.replace("\\x00\\x01\\x02", "\u{0}\u{1}\u{2}");
        case.request.extend_from_slice(sent.as_bytes());
        case.request.extend_from_slice(b"\r\n");
    } else if let Some(n) = line.strip_prefix('+') {
        case.request.extend(std::iter::repeat_n(b'x', count(n)));
        case.request.extend_from_slice(b"\r\n");
    } else if let Some(n) = line.strip_prefix('[') {
        case.request.extend(std::iter::repeat_n(b'[', count(n)));
    } else if let Some(n) = line.strip_prefix('@') {
        case.request.extend_from_slice(b"x-long: ");
        case.request.extend(std::iter::repeat_n(b'y', count(n)));
        case.request.extend_from_slice(b"\r\n");
    } else if let Some(expected) = line.strip_prefix("< ") {
        case.expected = expected.to_owned();
    }
}

/// Sends raw bytes and returns the status and, for an error body, its code and outcome.
pub async fn send(address: SocketAddr, request: &[u8]) -> String {
    let answer = async {
        let mut stream = TcpStream::connect(address).await.expect("connect");
        // The peer may refuse and close before it has read everything.
        let _ = stream.write_all(request).await;
        read_answer(&mut stream).await
    };
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    answer.unwrap_or_else(|_| "no answer".to_owned())
}

async fn read_answer(stream: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    let mut chunk = [0; 4096];
    while !is_complete(&buf) {
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => break,
            Ok(n) => buf.extend_from_slice(&chunk[..n]),
        }
    }
    describe(&String::from_utf8_lossy(&buf))
}

fn is_complete(buf: &[u8]) -> bool {
    let text = String::from_utf8_lossy(buf);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_lowercase();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    length
        .and_then(|n| n.parse::<usize>().ok())
        .is_none_or(|n| body.len() >= n)
}

fn describe(answer: &str) -> String {
    if answer.is_empty() {
        return "closed".to_owned();
    }
    let status = answer.split(' ').nth(1).unwrap_or("?");
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let field = |name: &str| {
        let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
        let (value, _) = rest.split_once('"')?;
        Some(value.to_owned())
    };
    match (field("code"), field("outcome")) {
        (Some(code), Some(outcome)) => format!("{status} {code} {outcome}"),
        _ => status.to_owned(),
    }
}
