//! Entry instance of a fleet.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use jacinthweir_kernel::auth::fingerprint;
use jacinthweir_kernel::settings::{
    Limits, Listen, LogSettings, PlatformSettings, Settings, Timing, Tokens,
};
use jacinthweir_policy::prelude::*;
use jacinthweir_wire::platform::{ListedInstance, ListedState};

use super::deployment::Deployment;
use super::process::{Output, Process, ProcessSpec, program};
use crate::http::unix_ms;
use crate::{Error, Operator, Result};

/// Token that the instances of a fleet use between each other.
const PEERS_TOKEN: &str = "peers-token-of-the-test-kit";
/// Time-out of calls to the platform, in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 1_000;

/// Listen addresses of an instance.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// Configuration of an instance process.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Deployment.
    pub deployment: Deployment,
    /// Index within the fleet, from 0.
    pub number: usize,
    /// Listen addresses.
    pub listen: ListenAddresses,
    /// Peer addresses of all instances.
    pub peers: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// The operators' token.
    pub operators_token: String,
    /// Periods and time-outs.
    pub timing: Timing,
    /// Program to run instead of the one built with the test kit.
    pub program: Option<PathBuf>,
    /// Environment variables in addition to the inherited ones.
    pub env: Vec<(OsString, OsString)>,
}

/// An entry instance in a separate process.
#[derive(Debug)]
pub struct Instance {
    /// Name.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Listen addresses.
    pub listen: ListenAddresses,
    /// The process.
    pub process: Process,
    operators_token: String,
}

impl Instance {
    /// Writes the settings file into `dir` and starts the process.
    ///
    /// # Errors
    ///
    /// Fails if the program isn't built or can't be started.
    pub fn spawn(spec: InstanceSpec, dir: &Path) -> Result<Self> {
        let name: Name = format!("entry-{}", spec.number).into();
        let domain = spec.deployment.domain(spec.number);
        let settings = settings(&spec, name.clone(), domain.clone());
        let path = dir.join(format!("{name}.jsonc"));
        std::fs::write(&path, serde_json::to_string_pretty(&settings)?)?;
        let process = Process::spawn(ProcessSpec {
            program: match &spec.program {
                Some(path) => path.clone(),
                None => program("jacinthweir")?,
            },
            env: spec.env.clone(),
            args: vec!["--settings".into(), path.into()],
            log: dir.join(format!("{name}.log")),
            output: Output::Handle,
        })?;
        Ok(Self {
            name,
            domain,
            listen: spec.listen,
            process,
            operators_token: spec.operators_token,
        })
    }

    /// Returns its entry for the platform's list, with the current time as its incarnation.
    #[must_use]
    pub fn listing(&self) -> ListedInstance {
        ListedInstance {
            name: self.name.clone(),
            incarnation: unix_ms(),
            group: super::entry_group(),
            address: self.listen.peers,
            domain: self.domain.clone(),
            state: ListedState::Live,
        }
    }

    /// Returns a client of its operators' listener.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be built.
    pub fn operator(&self) -> Result<Operator> {
        Operator::open(self.listen.operators, &self.operators_token)
    }

    /// Waits until the instance answers its operators.
    ///
    /// # Errors
    ///
    /// Fails if the process exits or doesn't answer by `deadline`.
    pub async fn wait_operators(&mut self, deadline: Instant) -> Result<()> {
        let operator = self.operator()?;
        while !operator.answers().await {
            let ended = self
                .process
                .ended(Duration::from_millis(super::POLL_MS))
                .await?;
            if ended.is_some() || Instant::now() > deadline {
                return Err(Error::Other(format!(
                    "{} does not answer its operators ({ended:?}); its log ends with:\n{}",
                    self.name,
                    self.process.log_tail()
                )));
            }
        }
        Ok(())
    }
}

fn settings(spec: &InstanceSpec, name: Name, domain: Name) -> Settings {
    let own = spec.listen.peers;
    Settings {
        name,
        failure_domain: domain,
        listen: Listen {
            callers: spec.listen.callers,
            peers: own,
            operators: spec.listen.operators,
        },
        peers: spec.peers.iter().copied().filter(|p| *p != own).collect(),
        platform: PlatformSettings {
            address: spec.platform,
            timeout_ms: PLATFORM_TIMEOUT_MS,
        },
        tokens: Tokens {
            operators_sha256: fingerprint(&spec.operators_token).into(),
            peers: PEERS_TOKEN.into(),
        },
        limits: Limits::default(),
        timing: spec.timing.clone(),
        log: LogSettings::default(),
    }
}
