//! A complete deployment as separate processes on loopback: stand-ins, entry instances, `jwctl`.
//!
//! [`Fleet::start`] starts the platform, the runners and services, lists them, writes a settings
//! file for each instance into a temporary folder, starts the instances, and polls until each one
//! answers its operators. [`Fleet::apply`] applies the deployment's sample schema through `jwctl`
//! and waits until callers are served. Each instance reaches the platform over its own link, a
//! [`Relay`] in the test's process, which a test can cut. Every process is killed when its handle
//! is dropped; [`Fleet::stop`] shuts all of them down gracefully first.

pub mod deployment;
pub mod fault_points;
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

/// Time-out for an instance to become ready, in seconds.
const READY_TIMEOUT_S: u64 = 60;
/// Interval between readiness polls, in milliseconds.
const POLL_MS: u64 = 20;
/// Time-out for the graceful shutdown of a group of processes, in seconds.
const STOP_TIMEOUT_S: u64 = 20;
/// Operator name recorded in the history for schema changes of a fleet.
const OPERATOR: &str = "testkit";
/// Operators' token of every fleet.
const OPERATORS_TOKEN: &str = "operators-token-of-the-test-kit";

/// Configuration of a fleet.
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
    /// Platform settings; the fleet overrides the address.
    pub platform: PlatformCfg,
    /// Periods and time-outs of the instances.
    pub timing: Timing,
    /// Speed of the runners relative to the samples' declarations.
    pub speed: f64,
    /// Instance program built with fault points, if they are to be armed; see [`fault_points`].
    pub fault_points: Option<PathBuf>,
    /// Staleness of the runners' load reports, in milliseconds; `None` for the stand-in's default.
    pub load_lag_ms: Option<u64>,
}

impl FleetCfg {
    /// Six instances, eight runners and three service instances: enough for an end-to-end path.
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
            fault_points: None,
            load_lag_ms: None,
        }
    }

    /// Production size: forty runners, slowed down so that they fit one machine and a step takes
    /// much longer than the timer granularity.
    #[must_use]
    pub fn production_size(deployment: Deployment) -> Self {
        Self {
            runners: 40,
            speed: 0.1,
            ..Self::small(deployment)
        }
    }
}

/// Exit code and output of a `jwctl` run.
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
    /// Link of each instance to the platform, in the order of `instances`.
    pub platform_links: Vec<Relay>,
    /// Stops the links on drop, also when a test fails.
    links_guard: DropGuard,
    client: reqwest::Client,
    ip: IpAddr,
    timing: Timing,
    fault_points: Option<PathBuf>,
    /// Declared last so that it is dropped after the processes, which write their logs here.
    dir: TempDir,
}

impl Fleet {
    /// Starts all processes and waits until each instance answers its operators.
    ///
    /// # Errors
    ///
    /// Fails if a program isn't built, a process exits early or a time-out expires.
    pub async fn start(cfg: FleetCfg) -> Result<Self> {
        let dir = tempfile::Builder::new().prefix("jacinthweir-").tempdir()?;
        let ip = ports::unique_loopback_ip();
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
            links_guard: CancellationToken::new().drop_guard(),
            client,
            ip,
            timing: cfg.timing.clone(),
            fault_points: cfg.fault_points.clone(),
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

    /// Starts an additional runner and lists it.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
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
            let token = self.links_guard.token().clone();
            let link = Relay::bind(listen, self.platform.address, token).await?;
            self.platform_links.push(link);
        }
        // A separate loopback address for the instances: a stand-in or link that binds port 0
        // could otherwise take the port of an instance that has yet to start or restart.
        let addresses = ports::free(ports::unique_loopback_ip(), 3 * count)?;
        let peers: Vec<SocketAddr> = (0..count).map(|i| addresses[3 * i + 1]).collect();
        for i in 0..count {
            let listen = instance::ListenAddresses {
                callers: addresses[3 * i],
                peers: addresses[3 * i + 1],
                operators: addresses[3 * i + 2],
            };
            let spec = instance::InstanceSpec {
                deployment: self.deployment,
                number: i,
                listen,
                peers: peers.clone(),
                platform: self.platform_links[i].address,
                operators_token: OPERATORS_TOKEN.to_owned(),
                timing: self.timing.clone(),
                program: self.fault_points.clone(),
                env: fault_points::env(self.dir.path(), i),
            };
            let instance = Instance::spawn(spec, self.dir.path())?;
            self.list(vec![instance.listing()], true).await?;
            self.instances.push(instance);
        }
        for instance in &mut self.instances {
            let deadline = Instant::now() + Duration::from_secs(READY_TIMEOUT_S);
            instance.wait_operators(deadline).await?;
        }
        Ok(())
    }

    /// Applies the deployment's sample schema and waits until every instance serves callers.
    ///
    /// # Errors
    ///
    /// Fails if `jwctl` fails or the instances don't serve within the time-out.
    pub async fn apply(&self) -> Result<CtlOutput> {
        let schema = self.deployment.schema();
        let out = self.apply_file(&schema).await?;
        self.wait_serving().await?;
        self.clear_probe_records().await?;
        Ok(out)
    }

    /// Applies a schema file through `jwctl` and waits until it is in force.
    ///
    /// # Errors
    ///
    /// Fails if `jwctl` fails.
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

    /// Waits until every running instance is ready to serve.
    ///
    /// An instance is ready when it advertises all running instances to callers, knows the layers
    /// that each running runner holds, and answers a request for one token.
    ///
    /// # Errors
    ///
    /// Fails if an instance isn't ready within the time-out.
    pub async fn wait_serving(&self) -> Result<()> {
        let caller = self.caller(self.deployment.organisations()[0])?;
        let deadline = Instant::now() + Duration::from_secs(READY_TIMEOUT_S);
        for instance in self.instances.iter().filter(|i| i.process.id().is_some()) {
            while !self.serves(instance, &caller).await? {
                if Instant::now() > deadline {
                    let log = instance.process.log_tail();
                    let name = &instance.name;
                    return Err(Error::Other(format!("{name} does not serve:\n{log}")));
                }
                tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
            }
        }
        Ok(())
    }

    async fn serves(&self, instance: &Instance, caller: &Caller) -> Result<bool> {
        let running = |process: &process::Process| process.id().is_some();
        let instances = self.instances.iter().filter(|i| running(&i.process));
        let runners = self.runners.iter().filter(|r| running(&r.process));
        let Ok(answer) = caller.entry(instance.listen.callers).await else {
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

    /// Returns whether the running runners together hold every layer of the model; without full
    /// coverage no request can be answered.
    fn covers_model(&self) -> bool {
        let running = self.runners.iter().filter(|r| r.process.id().is_some());
        let held = running.flat_map(|r| &r.cfg.holds).map(|h| h.layers);
        let held: Vec<_> = held.collect();
        (0..deployment::LAYERS).all(|l| held.iter().any(|h| (h.start..h.end).contains(&l)))
    }

    /// Requests one token and returns whether it was answered.
    ///
    /// An instance may know the runners before it has computed a placement over them. It
    /// correctly refuses requests until then, and a test that started would see that refusal.
    async fn probe(&self, instance: &Instance, caller: &Caller) -> bool {
        let ask = ModelCall {
            pipeline: self.deployment.pipeline().into(),
            prompt: "probe".to_owned(),
            max_tokens: 1,
            deadline_ms: None,
        };
        caller
            .complete(instance.listen.callers, &ask)
            .await
            .answered()
    }

    /// Clears what the runners recorded for probes.
    async fn clear_probe_records(&self) -> Result<()> {
        for (i, runner) in self.runners.iter().enumerate() {
            if runner.process.id().is_some() {
                self.runner_admin(i).take_witness().await?;
            }
        }
        Ok(())
    }

    /// Returns the callers' addresses of all instances.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.listen.callers).collect()
    }

    /// Runs `jwctl` against the `i`-th instance.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn jwctl(&self, i: usize, args: &[&str]) -> Result<CtlOutput> {
        let at = self.instances[i].listen.operators.to_string();
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

    /// Returns a client for an organisation of the sample schema.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be built.
    pub fn caller(&self, organisation: &str) -> Result<Caller> {
        Caller::open(&Deployment::key(organisation))
    }

    /// Returns an admin client of the platform.
    #[must_use]
    pub fn platform_admin(&self) -> PlatformAdmin {
        PlatformAdmin::new(self.client.clone(), self.platform.address)
    }

    /// Returns an admin client of the `i`-th runner.
    #[must_use]
    pub fn runner_admin(&self, i: usize) -> crate::admin::RunnerAdmin {
        crate::admin::RunnerAdmin::new(self.client.clone(), self.runners[i].listing.address)
    }

    /// Returns an admin client of the `i`-th service instance.
    #[must_use]
    pub fn service_admin(&self, i: usize) -> crate::admin::ServiceAdmin {
        crate::admin::ServiceAdmin::new(self.client.clone(), self.services[i].listing.address)
    }

    /// Restarts the `i`-th instance with the same settings, killing it if it still runs, and lists
    /// it with a new incarnation.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn restart_instance(&mut self, i: usize) -> Result<()> {
        self.instances[i].process.restart().await?;
        self.list(vec![self.instances[i].listing()], false).await
    }

    /// Restarts the `i`-th runner, killing it if it still runs, and lists it again.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn restart_runner(&mut self, i: usize) -> Result<()> {
        self.runners[i].restart().await?;
        self.list(vec![self.runners[i].listing.clone()], false)
            .await
    }

    /// Restarts the `i`-th service instance, killing it if it still runs, and lists it again.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn restart_service(&mut self, i: usize) -> Result<()> {
        self.services[i].restart().await?;
        self.list(vec![self.services[i].listing.clone()], false)
            .await
    }

    /// Adds or updates instances in the platform's list, immediately if `at_once`, else after its
    /// lag.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't answer.
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
    /// Fails if the platform doesn't answer.
    pub async fn list_leaving(&self, mut listing: ListedInstance) -> Result<()> {
        listing.state = ListedState::Leaving;
        self.list(vec![listing], false).await
    }

    /// Returns the folder of settings and logs.
    #[must_use]
    pub fn folder(&self) -> PathBuf {
        self.dir.path().to_owned()
    }

    /// Shuts all processes down gracefully, instances first, and kills those that don't exit in
    /// time.
    ///
    /// # Errors
    ///
    /// Fails if waiting for a process fails.
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
    let deadline = Instant::now() + Duration::from_secs(STOP_TIMEOUT_S);
    for process in &mut processes {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if process.ended(remaining).await?.is_none() {
            process.kill().await?;
        }
    }
    Ok(())
}

/// Returns the group under which entry instances are listed.
pub(crate) fn entry_group() -> jacinthweir_policy::prelude::Name {
    ENTRY_GROUP.into()
}
