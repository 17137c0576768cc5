//! Instances over a stand-in platform, in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use jacinthweir_clients::platform::{HttpPlatform, Platform as _};
use jacinthweir_kernel::listener::Listening;
use jacinthweir_kernel::plugin::{Face, sorted};
use jacinthweir_kernel::{Kernel, Settings};
use jacinthweir_peers as _;
use jacinthweir_policy::config::parts::{PartText, split};
use jacinthweir_policy::schema::parse_schema;
use jacinthweir_schema as _;
use jacinthweir_testkit::{Platform, PlatformCfg};
use jacinthweir_wire::operator::{ApplyRefused, ApplyReply, ApplyRequest, HistoryReply};
use jacinthweir_wire::platform::{Condition, Object};
use reqwest::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio_util::sync::CancellationToken;

pub const TOKEN: &str = "operators";
pub const HEAD: &str = "config/head";
/// How long something is waited for before the test gives up; no verdict hangs on less.
pub const PATIENCE: Duration = Duration::from_secs(30);

pub struct Instance {
    pub kernel: Arc<Kernel>,
    pub operators: SocketAddr,
    peers: SocketAddr,
    listening: Vec<Listening>,
}

pub struct Rig {
    pub platform: Platform,
    pub objects: HttpPlatform,
    pub instances: Vec<Instance>,
    pub client: reqwest::Client,
}

/// An address that nothing else uses: on a loopback address of this process's own, below the
/// range of ports from which outgoing connections take theirs.
pub fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 64 + (a & 63), b, c], port))
}

/// Starts an instance that knows the peers' addresses `seeds`.
async fn instance(n: usize, platform: SocketAddr, seeds: &[SocketAddr]) -> Instance {
    let (operators, peers) = (free_address(), free_address());
    let settings = json!({
        "name": format!("entry-{n}"),
        "failure_domain": "recife",
        "listen": {"callers": free_address(), "peers": peers, "operators": operators},
        "peers": seeds,
        "platform": {"address": platform, "timeout_ms": 500},
        "tokens": {
            "operators_sha256": jacinthweir_kernel::auth::fingerprint(TOKEN),
            "peers": "a token between instances",
        },
        "limits": {"schema_bytes": 100_000},
        "timing": {"gossip_ms": 100, "unconfirmed_ms": 2_000, "part_clean_ms": 150},
    });
    let kernel = Kernel::open(Settings::parse(&settings.to_string()).unwrap()).unwrap();
    for plugin in sorted() {
        (plugin.spawn)(&kernel).unwrap();
    }
    let mut listening = Vec::new();
    for face in [Face::Operators, Face::Peers] {
        listening.push(Listening::bind(&kernel, face).await.unwrap());
    }
    Instance {
        kernel,
        operators,
        peers,
        listening,
    }
}

impl Instance {
    /// Ends the instance without a word, as a kill does.
    pub fn kill(&self) {
        self.kernel.stop.cancel();
        for listening in &self.listening {
            listening.abort();
        }
    }
}

pub async fn rig(instances: usize) -> Rig {
    let platform = Platform::bind(PlatformCfg::default(), CancellationToken::new())
        .await
        .unwrap();
    let objects = HttpPlatform::open(platform.address, Duration::from_secs(5)).unwrap();
    let mut rig = Rig {
        platform,
        objects,
        instances: vec![],
        client: reqwest::Client::new(),
    };
    for _ in 0..instances {
        rig.join(rig.platform.address).await;
    }
    rig
}

pub fn schema(weight: u32) -> String {
    format!(
        r#"{{"organisations": [ // one
        {{"name": "atelier", "priority": 1, "weight": {weight}, "key_sha256": []}}]}}"#
    )
}

/// The parts of a schema with this weight.
pub fn parts(weight: u32) -> Vec<PartText> {
    split(&parse_schema(&schema(weight)).unwrap()).unwrap()
}

impl Rig {
    /// Writes parts alone, as an instance has that dies before it writes the head.
    pub async fn write_parts(&self, parts: &[PartText]) {
        for part in parts {
            let key = format!("config/parts/{}", part.part.hash);
            let put = self
                .objects
                .put(&key, part.text.to_string(), Condition::Any);
            put.await.unwrap();
        }
    }

    /// Starts one more instance, with the platform at an address.
    pub async fn join(&mut self, platform: SocketAddr) {
        let seeds: Vec<SocketAddr> = self.instances.iter().map(|i| i.peers).collect();
        let joined = instance(self.instances.len(), platform, &seeds).await;
        self.instances.push(joined);
    }

    /// Whether an instance answers requests by what is in force there.
    pub fn serves(&self, at: usize) -> bool {
        self.instances[at].kernel.serving_config().is_ok()
    }

    pub async fn call<A: DeserializeOwned>(
        &self,
        at: usize,
        path: &str,
        body: serde_json::Value,
    ) -> (StatusCode, A) {
        let url = format!("http://{}/operator/{path}", self.instances[at].operators);
        let call = self.client.post(url).bearer_auth(TOKEN).json(&body);
        let answer = call.send().await.unwrap();
        (answer.status(), answer.json().await.unwrap())
    }

    pub async fn apply(
        &self,
        at: usize,
        base: u64,
        change: &str,
        weight: u32,
    ) -> std::result::Result<ApplyReply, ApplyRefused> {
        let req = ApplyRequest {
            text: schema(weight),
            base,
            change: change.into(),
            operator: "ana".into(),
        };
        let body = serde_json::to_value(req).unwrap();
        let (status, answer): (_, serde_json::Value) = self.call(at, "apply", body).await;
        match status {
            StatusCode::OK => Ok(serde_json::from_value(answer).unwrap()),
            _ => Err(serde_json::from_value(answer).unwrap()),
        }
    }

    pub fn revision(&self, at: usize) -> u64 {
        self.instances[at]
            .kernel
            .config
            .get()
            .served()
            .map_or(0, |c| c.revision)
    }

    pub async fn everywhere(&self, revision: u64) {
        self.until(|| (0..self.instances.len()).all(|at| self.revision(at) == revision))
            .await;
    }

    pub async fn until(&self, done: impl Fn() -> bool) {
        let wait = async {
            while !done() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(PATIENCE, wait).await.expect("happens");
    }

    /// Number of parts on the platform.
    pub async fn stored_parts(&self) -> usize {
        let listed = self.objects.list("config/parts/").await.unwrap();
        listed.objects.len()
    }

    pub async fn head(&self) -> Object {
        self.objects.get(HEAD).await.unwrap().unwrap()
    }

    pub async fn history(&self, at: usize) -> Vec<String> {
        let url = format!("http://{}/operator/history", self.instances[at].operators);
        let answer = self
            .client
            .get(url)
            .bearer_auth(TOKEN)
            .send()
            .await
            .unwrap();
        let history: HistoryReply = answer.json().await.unwrap();
        history
            .commits
            .iter()
            .map(|c| c.change.to_string())
            .collect()
    }
}
