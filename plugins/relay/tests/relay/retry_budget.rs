//! The retry budget of an instance that has just started.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::standin::{Behaviour, Cluster, run_single_threaded, send_request};
use crate::{NOTES, TOKENS};

/// Starts a cluster whose instance may be a new lifetime, with a budget of a slack alone and a window of
/// `window_s` seconds.
async fn cluster_after_a_restart(window_s: f64, first_start: bool) -> Cluster {
    let cluster = Cluster::with_settings(|settings| {
        settings.first_start = first_start;
        settings.bounds.repeat_ratio = 0.0;
        settings.bounds.repeat_window_s = window_s;
    });
    cluster.await
}

/// Sends a stream whose first run breaks off, and returns whether another run completed it.
async fn is_resumed(cluster: &Cluster) -> bool {
    let local = &cluster.runners[..2];
    local
        .iter()
        .for_each(|r| r.behaviour.set(Behaviour::BreaksMidEvent));
    let got = send_request(cluster.callers(), NOTES, TOKENS, "one").await;
    got.complete
}

/// Guards against an instance that restarts and spends its part of the slack again, within the window in
/// which its former lifetime may have spent it.
#[gtest]
fn an_instance_has_no_part_of_the_slack_until_a_window_after_its_start() {
    run_single_threaded(async {
        let cluster = cluster_after_a_restart(600.0, false).await;
        expect_false!(is_resumed(&cluster).await);

        let cluster = cluster_after_a_restart(0.2, false).await;
        sleep(Duration::from_millis(300)).await;
        expect_true!(is_resumed(&cluster).await);

        let cluster = cluster_after_a_restart(600.0, true).await;
        expect_true!(is_resumed(&cluster).await);
    });
}
