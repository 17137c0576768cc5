//! The stand-ins of a fleet, each in a separate process.

use std::ffi::OsString;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::platform::{ListedInstance, ListedState};
use serde::Serialize;

use super::deployment::{Deployment, RunnerSlot};
use super::process::{Output, Process, ProcessSpec, program};
use crate::http::unix_ms;
use crate::{Error, PlatformCfg, Result, RunnerCfg, ServiceCfg};

/// Prefix of the first line that a stand-in prints, before its address.
const LISTENING_PREFIX: &str = "listening ";

/// The stand-in platform.
#[derive(Debug)]
pub struct PlatformProcess {
    /// Address.
    pub address: SocketAddr,
    /// The process.
    pub process: Process,
}

impl PlatformProcess {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails if the program isn't built or can't be started.
    pub async fn spawn(cfg: PlatformCfg, dir: &Path) -> Result<Self> {
        let (process, address) = spawn("platform", "platform", &cfg, dir).await?;
        Ok(Self { address, process })
    }
}

/// A stand-in runner.
#[derive(Debug)]
pub struct RunnerProcess {
    /// Entry for the platform's list.
    pub listing: ListedInstance,
    /// Settings.
    pub cfg: RunnerCfg,
    /// The process.
    pub process: Process,
}

impl RunnerProcess {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails if the program isn't built or can't be started.
    pub async fn spawn(slot: RunnerSlot, ip: IpAddr, dir: &Path) -> Result<Self> {
        let mut cfg = slot.cfg;
        cfg.listen = SocketAddr::new(ip, 0);
        cfg.incarnation = unix_ms();
        let (process, address) = spawn("runner", &cfg.name, &cfg, dir).await?;
        // A restart binds the same address again.
        cfg.listen = address;
        let listing = ListedInstance {
            name: cfg.name.clone(),
            incarnation: cfg.incarnation,
            group: slot.group,
            address,
            domain: slot.domain,
            state: ListedState::Live,
        };
        Ok(Self {
            listing,
            cfg,
            process,
        })
    }

    /// Restarts the runner at the same address with a new incarnation, empty caches and the layers
    /// of its settings, killing it if it still runs. The caller must list it again.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn restart(&mut self) -> Result<()> {
        self.cfg.incarnation = unix_ms().max(self.cfg.incarnation + 1);
        self.listing.incarnation = self.cfg.incarnation;
        let args = args("runner", &self.cfg)?;
        self.process.restart_with(args).await?;
        wait_listening(&mut self.process).await?;
        Ok(())
    }
}

/// A stand-in service.
#[derive(Debug)]
pub struct ServiceProcess {
    /// Entry for the platform's list.
    pub listing: ListedInstance,
    /// The process.
    pub process: Process,
    cfg: ServiceCfg,
}

impl ServiceProcess {
    /// Starts the `i`-th service instance of a deployment.
    ///
    /// # Errors
    ///
    /// Fails if the program isn't built or can't be started.
    pub async fn spawn(deployment: Deployment, i: usize, ip: IpAddr, dir: &Path) -> Result<Self> {
        let group = deployment.service();
        let name: Name = format!("{group}-{i}").into();
        let mut cfg = ServiceCfg {
            listen: SocketAddr::new(ip, 0),
            name: name.clone(),
            ..ServiceCfg::default()
        };
        let (process, address) = spawn("service", &name, &cfg, dir).await?;
        // A restart binds the same address again.
        cfg.listen = address;
        let listing = ListedInstance {
            name,
            incarnation: unix_ms(),
            group: group.into(),
            address,
            domain: deployment.domain(i),
            state: ListedState::Live,
        };
        Ok(Self {
            listing,
            process,
            cfg,
        })
    }

    /// Restarts the service at the same address with a new incarnation and no record of earlier
    /// calls, killing it if it still runs. The caller must list it again.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn restart(&mut self) -> Result<()> {
        self.listing.incarnation = unix_ms().max(self.listing.incarnation + 1);
        let args = args("service", &self.cfg)?;
        self.process.restart_with(args).await?;
        wait_listening(&mut self.process).await?;
        Ok(())
    }
}

async fn spawn(
    kind: &str,
    name: &str,
    cfg: &impl Serialize,
    dir: &Path,
) -> Result<(Process, SocketAddr)> {
    let mut process = Process::spawn(ProcessSpec {
        env: Vec::new(),
        program: program("jw-standin")?,
        args: args(kind, cfg)?,
        log: dir.join(format!("{name}.log")),
        output: Output::Handle,
    })?;
    let address = wait_listening(&mut process).await?;
    Ok((process, address))
}

fn args(kind: &str, cfg: &impl Serialize) -> Result<Vec<OsString>> {
    Ok(vec![kind.into(), serde_json::to_string(cfg)?.into()])
}

/// Waits for the first line of the stand-in and returns its listen address.
async fn wait_listening(process: &mut Process) -> Result<SocketAddr> {
    let line = process.first_line().await?;
    let address = line
        .strip_prefix(LISTENING_PREFIX)
        .and_then(|a| a.parse().ok());
    address.ok_or_else(|| {
        Error::Other(format!(
            "a stand-in printed {line:?} instead of its listen address"
        ))
    })
}
