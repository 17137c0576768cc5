//! A whole deployment as separate processes on loopback: stand-ins, six instances, and `jwctl`.
//!
//! [`Fleet::start`] starts the platform, the runners and services, lists them, writes a settings
//! file for each instance into a temporary folder, starts the instances, and waits by asking
//! until each one answers its operators. [`Fleet::apply`] applies the deployment's sample schema
//! through `jwctl` and waits until callers are served. Each instance reaches the platform over a
//! link of its own, a [`Relay`] in the driver's process, which a test can cut. Every process is killed when its handle is
//! dropped; [`Fleet::stop`] shuts all down gracefully first.

pub mod deployment;
pub mod instance;
pub mod ports;
pub mod process;
pub mod standin;

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use jacinthweir_kernel::settings::Timing;
use jacinthweir_wire::platform::{ENTRY_GROUP, ListedInstance, ListedState};
use tempfile::TempDir;
use tokio::process::Command;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::admin::PlatformAdmin;
use crate::caller::{Caller, ModelCall};
use crate::platform::admin::InstancesChange;
use crate::relay::Relay;
use crate::{Error, PlatformCfg, Result};
use deployment::Deployment;
use instance::Instance;
use process::program;
use standin::{PlatformProcess, RunnerProcess, ServiceProcess};

/// Longest wait for a fleet to serve, in seconds.
const READY_S: u64 = 60;
/// Time between two asks, in milliseconds.
const ASK_MS: u64 = 20;
/// Longest graceful shutdown of one process, in seconds.
const STOP_S: u64 = 20;
/// Who applies a fleet's schema, as the history shows.
const OPERATOR: &str = "testkit";
/// The operators' token of every fleet.
const OPERATORS_TOKEN: &str = "operators-token-of-the-test-kit";

/// What to start.
#[derive(Clone, Debug)]
pub struct FleetCfg {
    /// Deployment.
    pub deployment: Deployment,
    /// Entry instances.
    pub instances: usize,
    /// Model runners.
    pub runners: usize,
    /// Service instances.
    pub services: usize,
    /// The platform; its address is chosen by the fleet.
    pub platform: PlatformCfg,
    /// Periods and time-outs of the instances.
    pub timing: Timing,
    /// Speed of the runners against the samples' declarations.
    pub speed: f64,
    /// How old the runners' load reports are, in milliseconds; `None`: the stand-in's own lag.
    pub load_lag_ms: Option<u64>,
}

impl FleetCfg {
    /// Six instances, few runners, and three service instances: enough for a whole path.
    #[must_use]
    pub fn small(deployment: Deployment) -> Self {
        Self {
            deployment,
            instances: 6,
            runners: 8,
            services: 3,
            platform: PlatformCfg::default(),
            timing: Timing::default(),
            speed: 1.0,
            load_lag_ms: None,
        }
    }

    /// Today's size: forty runners, slowed down so that one machine carries them and a step takes
    /// much longer than the granularity of timers.
    #[must_use]
    pub fn today(deployment: Deployment) -> Self {
        Self {
            runners: 40,
            speed: 0.1,
            ..Self::small(deployment)
        }
    }
}

/// What `jwctl` printed.
#[derive(Clone, Debug)]
pub struct CtlOutput {
    /// Exit code.
    pub code: Option<i32>,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// Deployment.
    pub deployment: Deployment,
    /// The platform.
    pub platform: PlatformProcess,
    /// Model runners.
    pub runners: Vec<RunnerProcess>,
    /// Service instances.
    pub services: Vec<ServiceProcess>,
    /// Entry instances.
    pub instances: Vec<Instance>,
    /// Each instance's link to the platform, in the order of the instances.
    pub platform_links: Vec<Relay>,
    /// Ends the links, also where a test fails.
    links_end: DropGuard,
    client: reqwest::Client,
    ip: IpAddr,
    timing: Timing,
    /// Dropped last: the processes write their logs here.
    dir: TempDir,
}

impl Fleet {
    /// Starts everything and waits until each instance answers its operators.
    ///
    /// # Errors
    ///
    /// Where a program isn't built, a process ends early or is silent for long.
    pub async fn start(cfg: FleetCfg) -> Result<Self> {
        let dir = tempfile::Builder::new().prefix("jacinthweir-").tempdir()?;
        let ip = ports::own_ip();
        let client = reqwest::Client::builder().no_proxy().build()?;
        let platform_cfg = PlatformCfg {
            listen: SocketAddr::new(ip, 0),
            ..cfg.platform.clone()
        };
        let platform = PlatformProcess::spawn(platform_cfg, dir.path()).await?;
        let mut fleet = Self {
            deployment: cfg.deployment,
            platform,
            runners: Vec::new(),
            services: Vec::new(),
            instances: Vec::new(),
            platform_links: Vec::new(),
            links_end: CancellationToken::new().drop_guard(),
            client,
            ip,
            timing: cfg.timing.clone(),
            dir,
        };
        for i in 0..cfg.runners {
            let mut slot = cfg.deployment.runner(i);
            slot.cfg.token_layers_per_s *= cfg.speed;
            slot.cfg.load_lag_ms = cfg.load_lag_ms.unwrap_or(slot.cfg.load_lag_ms);
            fleet.add_runner(slot).await?;
        }
        for i in 0..cfg.services {
            fleet.add_service(i).await?;
        }
        fleet.start_instances(cfg.instances).await?;
        Ok(fleet)
    }

    /// Starts one more runner and lists it.
    ///
    /// # Errors
    ///
    /// Where it can't be started.
    pub async fn add_runner(&mut self, slot: deployment::RunnerSlot) -> Result<()> {
        let runner = RunnerProcess::spawn(slot, self.ip, self.dir.path()).await?;
        self.list(vec![runner.listing.clone()], true).await?;
        self.runners.push(runner);
        Ok(())
    }

    async fn add_service(&mut self, i: usize) -> Result<()> {
        let service = ServiceProcess::spawn(self.deployment, i, self.ip, self.dir.path()).await?;
        self.list(vec![service.listing.clone()], true).await?;
        self.services.push(service);
        Ok(())
    }

    async fn start_instances(&mut self, count: usize) -> Result<()> {
        for _ in 0..count {
            let listen = SocketAddr::new(self.ip, 0);
            let token = self.links_end.token().clone();
            let link = Relay::bind(listen, self.platform.address, token).await?;
            self.platform_links.push(link);
        }
        // An address that nothing else binds on: a stand-in or a link that takes any free port
        // could else take that of an instance which has yet to start, or starts again.
        let addresses = ports::free(ports::own_ip(), 3 * count)?;
        let peers: Vec<SocketAddr> = (0..count).map(|i| addresses[3 * i + 1]).collect();
        for i in 0..count {
            let faces = instance::Faces {
                callers: addresses[3 * i],
                peers: addresses[3 * i + 1],
                operators: addresses[3 * i + 2],
            };
            let spec = instance::InstanceSpec {
                deployment: self.deployment,
                number: i,
                faces,
                peers: peers.clone(),
                platform: self.platform_links[i].address,
                operators_token: OPERATORS_TOKEN.to_owned(),
                timing: self.timing.clone(),
            };
            let instance = Instance::spawn(spec, self.dir.path())?;
            self.list(vec![instance.listing()], true).await?;
            self.instances.push(instance);
        }
        for instance in &mut self.instances {
            let deadline = Instant::now() + Duration::from_secs(READY_S);
            instance.wait_operators(deadline).await?;
        }
        Ok(())
    }

    /// Applies the deployment's sample schema and waits until every instance serves callers.
    ///
    /// # Errors
    ///
    /// Where `jwctl` refuses, or the instances don't serve for long.
    pub async fn apply(&self) -> Result<CtlOutput> {
        let schema = self.deployment.schema();
        let out = self.apply_file(&schema).await?;
        self.wait_serving().await?;
        self.forget_probes().await?;
        Ok(out)
    }

    /// Applies a schema file through `jwctl`, waiting until it is in force.
    ///
    /// # Errors
    ///
    /// Where `jwctl` refuses.
    pub async fn apply_file(&self, schema: &std::path::Path) -> Result<CtlOutput> {
        let path = schema.display().to_string();
        let out = self.jwctl(0, &["apply", &path, "--wait"]).await?;
        if out.code != Some(0) {
            return Err(Error::Other(format!(
                "jwctl apply ended with {:?}:\n{}{}",
                out.code, out.out, out.err
            )));
        }
        Ok(out)
    }

    /// Waits until every instance that runs names all of them to callers, knows what each runner
    /// holds, and answers a request for one token.
    ///
    /// # Errors
    ///
    /// Where one doesn't for long.
    pub async fn wait_serving(&self) -> Result<()> {
        let caller = self.caller(self.deployment.organisations()[0])?;
        let deadline = Instant::now() + Duration::from_secs(READY_S);
        for instance in self.instances.iter().filter(|i| i.process.id().is_some()) {
            while !self.serves(instance, &caller).await? {
                if Instant::now() > deadline {
                    let log = instance.process.log_tail();
                    let name = &instance.name;
                    return Err(Error::Other(format!("{name} does not serve:\n{log}")));
                }
                tokio::time::sleep(Duration::from_millis(ASK_MS)).await;
            }
        }
        Ok(())
    }

    async fn serves(&self, instance: &Instance, caller: &Caller) -> Result<bool> {
        let running = |process: &process::Process| process.id().is_some();
        let instances = self.instances.iter().filter(|i| running(&i.process));
        let runners = self.runners.iter().filter(|r| running(&r.process));
        let Ok(answer) = caller.entry(instance.faces.callers).await else {
            return Ok(false);
        };
        let Ok(status) = instance.operator()?.status().await else {
            return Ok(false);
        };
        let known = status.upstreams.iter().filter(|u| !u.holds.is_empty());
        if answer.addresses.len() != instances.count() || known.count() < runners.count() {
            return Ok(false);
        }
        Ok(!self.covers_model() || self.probe(instance, caller).await)
    }

    /// Whether the runners hold every layer of the model: else no request can be answered.
    fn covers_model(&self) -> bool {
        let running = self.runners.iter().filter(|r| r.process.id().is_some());
        let held = running.flat_map(|r| &r.cfg.holds).map(|h| h.layers);
        let held: Vec<_> = held.collect();
        (0..deployment::LAYERS).all(|l| held.iter().any(|h| (h.start..h.end).contains(&l)))
    }

    /// Asks for one token. An instance may know the runners and not have planned over them yet:
    /// it then refuses truthfully, and a test that begins there would see that refusal.
    async fn probe(&self, instance: &Instance, caller: &Caller) -> bool {
        let ask = ModelCall {
            pipeline: self.deployment.pipeline().into(),
            prompt: "probe".to_owned(),
            max_tokens: 1,
            deadline_ms: None,
        };
        caller
            .complete(instance.faces.callers, &ask)
            .await
            .answered()
    }

    /// Has the runners forget what they ran for probes.
    async fn forget_probes(&self) -> Result<()> {
        for (i, runner) in self.runners.iter().enumerate() {
            if runner.process.id().is_some() {
                self.runner_admin(i).take_witness().await?;
            }
        }
        Ok(())
    }

    /// Callers' addresses of all instances.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.faces.callers).collect()
    }

    /// Runs `jwctl` against the `i`-th instance.
    ///
    /// # Errors
    ///
    /// Where it can't be started.
    pub async fn jwctl(&self, i: usize, args: &[&str]) -> Result<CtlOutput> {
        let at = self.instances[i].faces.operators.to_string();
        let output = Command::new(program("jwctl")?)
            .env("JWCTL_SERVER", at)
            .env("JWCTL_TOKEN", OPERATORS_TOKEN)
            .args(["--operator", OPERATOR])
            .args(args)
            .kill_on_drop(true)
            .output()
            .await?;
        Ok(CtlOutput {
            code: output.status.code(),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }

    /// A caller of an organisation of the sample schema.
    ///
    /// # Errors
    ///
    /// Where no HTTP client can be made.
    pub fn caller(&self, organisation: &str) -> Result<Caller> {
        Caller::open(&Deployment::key(organisation))
    }

    /// Admin client of the platform.
    #[must_use]
    pub fn platform_admin(&self) -> PlatformAdmin {
        PlatformAdmin::new(self.client.clone(), self.platform.address)
    }

    /// Admin client of the `i`-th runner.
    #[must_use]
    pub fn runner_admin(&self, i: usize) -> crate::admin::RunnerAdmin {
        crate::admin::RunnerAdmin::new(self.client.clone(), self.runners[i].listing.address)
    }

    /// Admin client of the `i`-th service instance.
    #[must_use]
    pub fn service_admin(&self, i: usize) -> crate::admin::ServiceAdmin {
        crate::admin::ServiceAdmin::new(self.client.clone(), self.services[i].listing.address)
    }

    /// Kills the `i`-th instance where it still runs, starts it again with the same settings, and
    /// lists it with its new incarnation.
    ///
    /// # Errors
    ///
    /// Where it can't be started.
    pub async fn restart_instance(&mut self, i: usize) -> Result<()> {
        self.instances[i].process.restart().await?;
        self.list(vec![self.instances[i].listing()], false).await
    }

    /// The same for the `i`-th runner.
    ///
    /// # Errors
    ///
    /// Where it can't be started.
    pub async fn restart_runner(&mut self, i: usize) -> Result<()> {
        self.runners[i].restart().await?;
        self.list(vec![self.runners[i].listing.clone()], false)
            .await
    }

    /// Puts instances into the platform's list, with its lag or without.
    ///
    /// # Errors
    ///
    /// Where the platform doesn't answer.
    pub async fn list(&self, set: Vec<ListedInstance>, at_once: bool) -> Result<()> {
        let change = InstancesChange {
            set,
            at_once,
            ..InstancesChange::default()
        };
        self.platform_admin().instances(&change).await
    }

    /// Marks a listed instance as leaving, with the list's lag.
    ///
    /// # Errors
    ///
    /// Where the platform doesn't answer.
    pub async fn list_leaving(&self, mut listing: ListedInstance) -> Result<()> {
        listing.state = ListedState::Leaving;
        self.list(vec![listing], false).await
    }

    /// Folder of settings and logs.
    #[must_use]
    pub fn folder(&self) -> PathBuf {
        self.dir.path().to_owned()
    }

    /// Shuts everything down gracefully, instances first; kills what doesn't end.
    ///
    /// # Errors
    ///
    /// Where a process can't be waited for.
    pub async fn stop(mut self) -> Result<()> {
        let instances = self.instances.iter_mut().map(|i| &mut i.process);
        stop_all(instances.collect()).await?;
        let runners = self.runners.iter_mut().map(|r| &mut r.process);
        let services = self.services.iter_mut().map(|s| &mut s.process);
        let mut standins: Vec<_> = runners.chain(services).collect();
        standins.push(&mut self.platform.process);
        stop_all(standins).await
    }
}

async fn stop_all(mut processes: Vec<&mut process::Process>) -> Result<()> {
    for process in &processes {
        if process.id().is_some() {
            let _ = process.wake();
            let _ = process.terminate();
        }
    }
    let deadline = Instant::now() + Duration::from_secs(STOP_S);
    for process in &mut processes {
        let left = deadline.saturating_duration_since(Instant::now());
        if process.ended(left).await?.is_none() {
            process.kill().await?;
        }
    }
    Ok(())
}

/// Group under which entry instances are listed.
pub(crate) fn entry_group() -> jacinthweir_policy::prelude::Name {
    ENTRY_GROUP.into()
}
