//! Propagation of a configuration to instances cut off from the platform, and the behaviour of an
//! instance whose revision nothing confirms.

use crate::cluster::{free_address, start_cluster};
use googletest::prelude::*;
use jacinthweir_testkit::platform::fault::Fault;
use jacinthweir_wire::operator::ApplyRefused;

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_cut_off_from_the_platform_follows_its_peers() {
    // One instance cannot reach the platform from the start. It learns of each commit from its
    // peers, fetches the parts from them, and serves, since a majority confirms the revision.
    let mut cluster = start_cluster(2).await;
    cluster.add_instance(free_address()).await;
    cluster.apply(0, 0, "c1", 1).await.unwrap();
    cluster.wait_for_revision(1).await;
    cluster.apply(1, 1, "c2", 2).await.unwrap();
    cluster.wait_for_revision(2).await;
    cluster.wait_until(|| cluster.serves(2)).await;
    let reached = cluster.instances[2].kernel.convergence().platform_reached();
    expect_that!(reached, eq(false));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_joins_during_an_outage_takes_the_revision_of_its_peers() {
    let mut cluster = start_cluster(2).await;
    cluster.apply(0, 0, "c1", 1).await.unwrap();
    cluster.wait_for_revision(1).await;
    cluster.platform.set_fault(Fault::Outage);
    cluster.add_instance(cluster.platform.address).await;
    cluster.wait_for_revision(1).await;
    cluster.wait_until(|| cluster.serves(2)).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unconfirmed_instance_stops_serving_until_it_is_confirmed() {
    // During an outage of the platform two of three instances are killed. Neither the platform nor
    // a majority confirms the revision of the last one, so after the configured time it refuses
    // callers without running anything. Once the platform recovers, it serves again.
    let cluster = start_cluster(3).await;
    cluster.apply(0, 0, "c1", 1).await.unwrap();
    cluster.wait_for_revision(1).await;
    cluster.platform.set_fault(Fault::Outage);
    cluster.instances[1].kill();
    cluster.instances[2].kill();
    cluster.wait_until(|| !cluster.serves(0)).await;
    let refused = cluster.apply(0, 1, "c2", 2).await.unwrap_err();
    expect_that!(refused, matches_pattern!(ApplyRefused::PlatformDown { .. }));
    cluster.platform.set_fault(Fault::None);
    cluster.wait_until(|| cluster.serves(0)).await;
    expect_that!(cluster.revision(0), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_killed_between_parts_and_head_leaves_nothing_in_force() {
    // The committing instance is killed after writing the parts and before writing the head, which
    // leaves unreferenced parts on the platform. Nothing of the change is in force anywhere, and
    // the same apply at another instance commits it once.
    let cluster = start_cluster(2).await;
    cluster.apply(0, 0, "c1", 1).await.unwrap();
    cluster.wait_for_revision(1).await;
    let parts_only = crate::cluster::parts(2);
    cluster.write_parts(&parts_only).await;
    cluster.instances[0].kill();
    expect_that!(cluster.revision(1), eq(1));
    expect_that!(cluster.apply(1, 1, "c2", 2).await.unwrap().revision, eq(2));
    cluster.wait_until(|| cluster.revision(1) == 2).await;
    expect_that!(
        cluster.history(1).await,
        eq(&vec!["c2".to_owned(), "c1".to_owned()])
    );
}
