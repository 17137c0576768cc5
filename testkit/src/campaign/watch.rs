//! Asks every instance over and over which revision is in force there.

use std::sync::Arc;
use std::time::Duration;

use jacinthweir_policy::member::Phase;
use jacinthweir_policy::prelude::*;
use tokio_util::sync::CancellationToken;

use super::recorder::Recorder;
use crate::history::record::InForceSeen;
use crate::http::unix_ms;
use crate::operator::Operator;
use crate::{Fleet, Result};

/// Time between two questions to one instance.
const PERIOD: Duration = Duration::from_millis(250);
/// Longest wait for an answer: a frozen instance gives none.
const TIMEOUT: Duration = Duration::from_secs(1);

/// An instance to watch.
#[derive(Clone)]
pub struct Watched {
    name: Name,
    operator: Operator,
}

/// The instances of a fleet.
///
/// # Errors
///
/// Where no HTTP client can be made.
pub fn instances(fleet: &Fleet) -> Result<Vec<Watched>> {
    let watched = fleet.instances.iter().map(|i| {
        let operator = i.operator()?;
        Ok(Watched {
            name: i.name.clone(),
            operator,
        })
    });
    watched.collect()
}

/// Watches until `stop`.
pub async fn run(instances: Vec<Watched>, recorder: Arc<Recorder>, stop: CancellationToken) {
    let watches = instances.into_iter().map(|w| watch(w, &recorder));
    let all = futures::future::join_all(watches);
    let _ = stop.run_until_cancelled(all).await;
}

async fn watch(watched: Watched, recorder: &Recorder) {
    loop {
        ask(&watched, recorder).await;
        tokio::time::sleep(PERIOD).await;
    }
}

async fn ask(watched: &Watched, recorder: &Recorder) {
    let at_ms = unix_ms();
    let Ok(Ok(status)) = tokio::time::timeout(TIMEOUT, watched.operator.status()).await else {
        return;
    };
    let own = status
        .instances
        .into_iter()
        .find(|i| i.member.name == watched.name);
    let Some(own) = own else {
        return;
    };
    recorder.history().in_force.push(InForceSeen {
        instance: own.member.name,
        incarnation: own.member.incarnation,
        serving: own.member.phase == Phase::Serving,
        revision: own.member.revision,
        at_ms,
    });
}
