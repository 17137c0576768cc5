//! A small deployment: a store, plain runners, instances of the system, and requests of clients.

use std::collections::BTreeSet;
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::{self, Instance};
use crate::http::{self, Answer, Request};
use crate::record::Record;
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Key of the first tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Service of the plain runners.
pub const SERVICE: &str = "wuno96b";

/// Services of model runners, and the number of layers of their model.
pub const MODEL_SERVICE: &str = "huvo11a";
pub const NEW_MODEL_SERVICE: &str = "dahu75a";
const LAYERS: u32 = 8;

/// Time after which calm machines are in touch, and the other bounds that the cases use.
pub const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
pub const DRAIN: Duration = Duration::from_millis(2_000);
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
pub const GRACE: Duration = Duration::from_secs(8);
pub const RECOVER: Duration = Duration::from_secs(12);

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub runner: String,
    pub id: String,
    pub at: Instant,
}

/// What a runner answers to a request of a client.
pub type Work = dyn Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A runner, as its entry shows it.
struct Runner {
    id: String,
    service: &'static str,
    address: SocketAddr,
    /// Present if the runner is part of this process.
    server: Option<http::Server>,
}

/// A deployment with its platform.
pub struct Scene {
    pub store: Arc<Store>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Longest head of a request that the desired state allows, in bytes.
    pub max_header_bytes: AtomicUsize,
    runners: Vec<Runner>,
    folder: PathBuf,
    beats: AtomicUsize,
    sent: AtomicUsize,
    born: u128,
}

impl Drop for Scene {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the headers that each answer of a runner has.
pub fn receipt(req: &Request) -> Vec<(&'static str, String)> {
    let id = req.header("X-Jacinthweir-Request-Id").unwrap_or("");
    vec![
        ("X-Jacinthweir-Request-Id", id.to_owned()),
        ("X-Jacinthweir-Server-Stamp", format!("3e1b.07.{id}")),
    ]
}

impl Scene {
    /// Starts a store and `runners` plain runners that do `work`.
    pub fn open(runners: usize, work: Arc<Work>) -> io::Result<Scene> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let mut scene = Scene {
            store: Store::spawn(),
            arrivals: Arc::default(),
            max_header_bytes: AtomicUsize::new(16_384),
            runners: Vec::new(),
            folder: std::env::temp_dir().join(format!("jw-review-2-{}", std::process::id())),
            beats: AtomicUsize::new(1),
            sent: AtomicUsize::new(0),
            born: since.map_or(0, |d| d.as_millis()),
        };
        std::fs::create_dir_all(&scene.folder)?;
        for i in 1..=runners {
            scene.add_runner(&format!("i-7f3a91c{i}"), Arc::clone(&work))?;
        }
        Ok(scene)
    }

    /// Starts a plain runner and registers it.
    pub fn add_runner(&mut self, id: &str, work: Arc<Work>) -> io::Result<()> {
        self.add(id, SERVICE, work)
    }

    /// Starts a model runner that holds all layers, and registers it.
    pub fn add_model_runner(&mut self, id: &str, work: Arc<Work>) -> io::Result<()> {
        self.add(id, MODEL_SERVICE, work)
    }

    /// Starts a model runner of the new service that holds all layers, and registers it.
    pub fn add_new_model_runner(&mut self, id: &str, work: Arc<Work>) -> io::Result<()> {
        self.add(id, NEW_MODEL_SERVICE, work)
    }

    fn add(&mut self, id: &str, service: &'static str, work: Arc<Work>) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let role = Role {
            id: id.to_owned(),
            service,
            born: self.born,
            arrivals: Arc::clone(&self.arrivals),
        };
        let server = http::serve(
            listener,
            Arc::new(move |req, to| role.answer(&work, &req, to)),
        );
        self.register(id, service, address, Some(server));
        Ok(())
    }

    fn register(
        &mut self,
        id: &str,
        service: &'static str,
        address: SocketAddr,
        server: Option<http::Server>,
    ) {
        self.runners.push(Runner {
            id: id.to_owned(),
            service,
            address,
            server,
        });
        self.beat(id, "ready");
    }

    /// Starts a model runner as a process of its own, which [`run_model_runner`] is to be called in, and
    /// registers it.
    pub fn add_model_process(&mut self, id: &str) -> io::Result<Child> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["model-runner", id, &self.born.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        fleet::note_started(child.id());
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut line)?;
        }
        let address = line
            .trim()
            .parse()
            .map_err(|_| io::ErrorKind::InvalidData)?;
        self.register(id, MODEL_SERVICE, address, None);
        Ok(child)
    }

    /// Writes the entry of a runner with a state.
    pub fn beat(&self, id: &str, state: &str) {
        let sequence = self.beats.fetch_add(1, Ordering::SeqCst);
        let found = self.runners.iter().find(|r| r.id == id);
        let Some(Runner {
            service, address, ..
        }) = found
        else {
            return;
        };
        let born = self.born;
        let model = match *service {
            MODEL_SERVICE | NEW_MODEL_SERVICE => format!(
                r#","stage":"combined","models":[{{"name":"daka510000","version":1,"adapters":[]}}],"kind":"a100",{}"#,
                held_layers()
            ),
            _ => String::new(),
        };
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"kesklinn","version":"v1","slots":6,"state":"{state}","coldLeftMs":0,"sequence":{sequence},"born":{born}{model}}}"#
        );
        self.store.put("servers", id, &entry);
    }

    /// Returns the identities of the runners.
    pub fn runners(&self) -> Vec<String> {
        self.runners.iter().map(|r| r.id.clone()).collect()
    }

    /// Ends a runner that has left, and removes its entry.
    pub fn end_runner(&self, id: &str) {
        let found = self.runners.iter().find(|r| r.id == id);
        let server = found.and_then(|r| r.server.as_ref());
        server.into_iter().for_each(http::Server::stop);
        self.store.delete("servers", id);
    }

    /// Writes a desired state with the given routes and tenants, and the services of all runners.
    pub fn configure(&self, version: u32, routes: &[String], tenants: &str) {
        self.configure_without("", version, routes, tenants);
    }

    /// Does the same with all services but one.
    pub fn configure_without(
        &self,
        left_out: &str,
        version: u32,
        routes: &[String],
        tenants: &str,
    ) {
        let routes = routes.join(",");
        let of_runners: BTreeSet<&str> = self.runners.iter().map(|r| r.service).collect();
        let services = of_runners.into_iter().filter(|s| *s != left_out);
        let services: Vec<String> = services.map(encode_service).collect();
        let services = services.join(",");
        let head_bytes = self.max_header_bytes.load(Ordering::SeqCst);
        let spec = format!(
            r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"maxHeaderBytes":{head_bytes},"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#
        );
        self.store.put("config", "main", &spec);
    }

    /// Starts instances, and waits until they are ready and calm machines are in touch.
    pub fn start(&self, count: usize, record: &Record) -> Result<Vec<Instance>, String> {
        let instances = fleet::spawn(count, self.store.address, &self.folder);
        let instances = instances.map_err(|e| format!("instances do not start: {e}"))?;
        for instance in &instances {
            if !instance.wait_ready(Duration::from_secs(10)) {
                return Err(format!("{} is not ready", instance.addresses.name));
            }
        }
        record.write(&format!("{count} instances are ready"));
        thread::sleep(STABLE_WINDOW + Duration::from_millis(500));
        Ok(instances)
    }

    /// Returns an identity for the next request.
    pub fn next_id(&self) -> String {
        format!(
            "{:016x}",
            0x9c41_0000 + self.sent.fetch_add(1, Ordering::SeqCst)
        )
    }

    /// Returns the arrivals of a request at runners.
    pub fn arrivals_of(&self, id: &str) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|a| a.id == id).cloned().collect()
    }
}

fn held_layers() -> String {
    format!(r#""layers":{{"from":0,"target":{LAYERS},"version":1}}"#)
}

fn encode_service(name: &str) -> String {
    let engine = match name {
        SERVICE => String::new(),
        _ => format!(
            r#","engine":{{"slots":192,"kvCapacityTokens":100000,"kvTokenBytes":590000,"linkMbps":400000.0,"stride":4,"models":[{{"name":"daka510000","pace":1.0,"loadS":14.0,"warmS":1.0}}],"step_ms":1.02,"per_seq_ms":0.00459,"context_per_k":0.00615,"read_per_s":164000.0,"pairs_per_m":0.199,"chunk":512,"report_lag_ms":200.0,"loads_at_once":6,"delays":[],"usual":{{"prompt":775,"answer":220}},"layers":{LAYERS},"layerMb":1750.0,"activationBytes":29500,"pipeMbps":16000.0,"kinds":[{{"name":"a100","mb":72000.0,"pace":2.4,"readX":3.2}}]}}"#
        ),
    };
    format!(
        r#"{{"name":"{name}","healthPath":"/health","maxConnections":988,"protocol":"h1","tls":false{engine}}}"#
    )
}

/// What a runner answers with.
struct Role {
    id: String,
    service: &'static str,
    born: u128,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Role {
    fn answer(&self, work: &Arc<Work>, req: &Request, to: &mut TcpStream) -> io::Result<()> {
        let instance = [("X-Jacinthweir-Instance-Id", self.id.clone())];
        let (path, _) = req.split_path();
        match path {
            "/health" => return http::respond(to, 200, &instance, b""),
            "/api/order" => return http::respond(to, 409, &instance, b""),
            "/api/report" if self.service != SERVICE => {
                return http::respond(to, 200, &instance, self.report().as_bytes());
            }
            "/api/report" => return http::respond(to, 404, &instance, b""),
            _ => {}
        }
        let Some(id) = req.header("X-Jacinthweir-Request-Id") else {
            let not_run = [("X-Jacinthweir-Not-Run", "1".to_owned())];
            return http::respond(to, 400, &not_run, b"");
        };
        let expected = req.header("X-Jacinthweir-Expect-Instance");
        if expected.is_some_and(|e| e != self.id) {
            return http::respond(to, 421, &instance, b"");
        }
        self.arrivals.lock().unwrap().push(Arrival {
            runner: self.id.clone(),
            id: id.to_owned(),
            at: Instant::now(),
        });
        work(req, to)
    }

    fn report(&self) -> String {
        let (born, layers) = (self.born, held_layers());
        format!(
            r#"{{"stage":"combined","models":[{{"name":"daka510000","version":1,"adapters":[]}}],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":800000,"handles":0,"pace":1.0,"kind":"a100","born":{born},{layers}}}"#
        )
    }
}

/// Runs a model runner for as long as the process lives, and prints its address.
pub fn run_model_runner(id: &str, born: &str, work: Arc<Work>) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{}", listener.local_addr()?);
    let role = Role {
        id: id.to_owned(),
        service: MODEL_SERVICE,
        born: born.parse().unwrap_or(0),
        arrivals: Arc::default(),
    };
    let _server = http::serve(
        listener,
        Arc::new(move |req, to| role.answer(&work, &req, to)),
    );
    loop {
        thread::park();
    }
}

/// Returns a route of the plain service.
pub fn route(name: &str, prefix: &str, kind: &str, timeout_ms: u32) -> String {
    route_to(SERVICE, name, prefix, kind, timeout_ms)
}

/// Returns a route of a service.
pub fn route_to(service: &str, name: &str, prefix: &str, kind: &str, timeout_ms: u32) -> String {
    let streaming = match kind {
        "streaming" => r#","resumable":true,"targetGapMs":250"#,
        _ => "",
    };
    format!(
        r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":500,"priority":1,"service":"{service}","maxAttempts":2,"public":false{streaming}}}"#
    )
}

/// Returns a tenant with one key.
pub fn tenant(name: &str, key: &str) -> String {
    format!(r#"{{"name":"{name}","apiKeys":["{key}"],"priority":1}}"#)
}

/// Sends a request with a key on an open connection and reads the head of its answer.
pub fn send(
    stream: TcpStream,
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u32,
) -> io::Result<Answer> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Jacinthweir-Request-Id", id.to_owned()),
        ("X-Jacinthweir-Deadline-Ms", deadline_ms.to_string()),
        ("X-Jacinthweir-Key", key.to_owned()),
    ];
    http::exchange(stream, &format!("{method} {path} HTTP/1.1"), &headers, &[])
}

/// Sends a request on a connection of its own; returns the status if the answer is complete.
pub fn call(
    address: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u32,
) -> io::Result<u16> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms.into())))?;
    let mut answer = send(stream, "GET", path, id, key, deadline_ms)?;
    answer.read_body()?;
    Ok(answer.status)
}
