//! Polls every instance for the configuration revision in force there.

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

/// Pause between two polls of one instance.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum wait for an answer; a frozen instance does not answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// An instance to poll.
#[derive(Clone)]
pub struct WatchedInstance {
    name: Name,
    operator: Operator,
}

/// Returns the instances of a fleet.
///
/// # Errors
///
/// Returns an error if an HTTP client can't be created.
pub fn instances(fleet: &Fleet) -> Result<Vec<WatchedInstance>> {
    let watched = fleet.instances.iter().map(|i| {
        let operator = i.operator()?;
        Ok(WatchedInstance {
            name: i.name.clone(),
            operator,
        })
    });
    watched.collect()
}

/// Polls until `stop` is cancelled.
pub async fn run(
    instances: Vec<WatchedInstance>,
    recorder: Arc<Recorder>,
    stop: CancellationToken,
) {
    let watches = instances.into_iter().map(|w| watch(w, &recorder));
    let all = futures::future::join_all(watches);
    let _ = stop.run_until_cancelled(all).await;
}

async fn watch(watched: WatchedInstance, recorder: &Recorder) {
    loop {
        poll_status(&watched, recorder).await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll_status(watched: &WatchedInstance, recorder: &Recorder) {
    let at_ms = unix_ms();
    let Ok(Ok(status)) = tokio::time::timeout(STATUS_TIMEOUT, watched.operator.status()).await
    else {
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
