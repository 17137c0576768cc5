//! One entry instance of a fleet.

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
use super::process::{Process, ProcessSpec, program};
use crate::http::unix_ms;
use crate::{Error, Operator, Result};

/// The token between instances of every fleet.
const PEERS_TOKEN: &str = "peers-token-of-the-test-kit";
/// Longest call of the platform, in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 1_000;

/// Addresses of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Faces {
    /// Towards callers.
    pub callers: SocketAddr,
    /// Towards other instances.
    pub peers: SocketAddr,
    /// Towards operators.
    pub operators: SocketAddr,
}

/// What to start.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Deployment.
    pub deployment: Deployment,
    /// Number within the fleet, from 0.
    pub number: usize,
    /// Its addresses.
    pub faces: Faces,
    /// All instances' peer addresses.
    pub peers: Vec<SocketAddr>,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The operators' token.
    pub operators_token: String,
    /// Periods and time-outs.
    pub timing: Timing,
    /// Another program than the one that is built with the test kit.
    pub program: Option<PathBuf>,
    /// Environment variables on top of the own ones.
    pub env: Vec<(OsString, OsString)>,
}

/// An entry instance as a process of its own.
#[derive(Debug)]
pub struct Instance {
    /// Name.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Its addresses.
    pub faces: Faces,
    /// The process.
    pub process: Process,
    operators_token: String,
}

impl Instance {
    /// Writes its settings file into `dir` and starts it.
    ///
    /// # Errors
    ///
    /// Where it isn't built or can't be started.
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
        })?;
        Ok(Self {
            name,
            domain,
            faces: spec.faces,
            process,
            operators_token: spec.operators_token,
        })
    }

    /// Its line in the platform's list, as of now.
    #[must_use]
    pub fn listing(&self) -> ListedInstance {
        ListedInstance {
            name: self.name.clone(),
            incarnation: unix_ms(),
            group: super::entry_group(),
            address: self.faces.peers,
            domain: self.domain.clone(),
            state: ListedState::Live,
        }
    }

    /// A client of its operators' listener.
    ///
    /// # Errors
    ///
    /// Where no HTTP client can be made.
    pub fn operator(&self) -> Result<Operator> {
        Operator::open(self.faces.operators, &self.operators_token)
    }

    /// Waits until it answers its operators.
    ///
    /// # Errors
    ///
    /// Where it ends, or doesn't answer until `deadline`.
    pub async fn wait_operators(&mut self, deadline: Instant) -> Result<()> {
        let operator = self.operator()?;
        while !operator.answers().await {
            let ended = self
                .process
                .ended(Duration::from_millis(super::ASK_MS))
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
    let own = spec.faces.peers;
    Settings {
        name,
        failure_domain: domain,
        listen: Listen {
            callers: spec.faces.callers,
            peers: own,
            operators: spec.faces.operators,
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
