//! Test cluster: instances over a stand-in platform, in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use jacinthweir_clients::platform::{HttpPlatform, Platform as _};
use jacinthweir_kernel::listener::RunningListener;
use jacinthweir_kernel::plugin::{ListenerKind, sorted};
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
/// Time after which a wait fails the test. No test depends on a shorter wait.
pub const TIMEOUT: Duration = Duration::from_secs(30);

pub struct Instance {
    pub kernel: Arc<Kernel>,
    pub operators: SocketAddr,
    peers: SocketAddr,
    listening: Vec<RunningListener>,
}

pub struct Cluster {
    pub platform: Platform,
    pub objects: HttpPlatform,
    pub instances: Vec<Instance>,
    pub client: reqwest::Client,
}

/// Returns an unused address: a loopback address specific to this process, with a port below the
/// ephemeral range of outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 64 + (a & 63), b, c], port))
}

/// Starts an instance with the peers' addresses `seeds`.
async fn start_instance(n: usize, platform: SocketAddr, seeds: &[SocketAddr]) -> Instance {
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
    for kind in [ListenerKind::Operators, ListenerKind::Peers] {
        listening.push(RunningListener::bind(&kernel, kind).await.unwrap());
    }
    Instance {
        kernel,
        operators,
        peers,
        listening,
    }
}

impl Instance {
    /// Stops the instance abruptly, without announcing it, as a crash would.
    pub fn kill(&self) {
        self.kernel.stop.cancel();
        for listening in &self.listening {
            listening.abort();
        }
    }
}

pub async fn start_cluster(instances: usize) -> Cluster {
    let platform = Platform::bind(PlatformCfg::default(), CancellationToken::new())
        .await
        .unwrap();
    let objects = HttpPlatform::open(platform.address, Duration::from_secs(5));
    let mut cluster = Cluster {
        platform,
        objects,
        instances: vec![],
        client: reqwest::Client::new(),
    };
    for _ in 0..instances {
        cluster.add_instance(cluster.platform.address).await;
    }
    cluster
}

pub fn schema(weight: u32) -> String {
    format!(
        r#"{{"organisations": [ // one
        {{"name": "atelier", "priority": 1, "weight": {weight}, "key_sha256": []}}]}}"#
    )
}

/// Returns the parts of a schema with this weight.
pub fn parts(weight: u32) -> Vec<PartText> {
    split(&parse_schema(&schema(weight)).unwrap()).unwrap()
}

impl Cluster {
    /// Writes parts without a head, as an instance does that is killed in between.
    pub async fn write_parts(&self, parts: &[PartText]) {
        for part in parts {
            let key = format!("config/parts/{}", part.part.hash);
            let put = self
                .objects
                .put(&key, part.text.to_string(), Condition::Any);
            put.await.unwrap();
        }
    }

    /// Starts another instance, with the platform at this address.
    pub async fn add_instance(&mut self, platform: SocketAddr) {
        let seeds: Vec<SocketAddr> = self.instances.iter().map(|i| i.peers).collect();
        let instance = start_instance(self.instances.len(), platform, &seeds).await;
        self.instances.push(instance);
    }

    /// Whether an instance serves requests.
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

    pub async fn wait_for_revision(&self, revision: u64) {
        self.wait_until(|| (0..self.instances.len()).all(|at| self.revision(at) == revision))
            .await;
    }

    pub async fn wait_until(&self, condition: impl Fn() -> bool) {
        let wait = async {
            while !condition() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, wait)
            .await
            .expect("the condition holds before the time-out");
    }

    /// Returns the number of parts stored on the platform.
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
