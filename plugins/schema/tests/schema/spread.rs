//! How a configuration reaches instances that the platform does not reach, and what those do that
//! nothing confirms.

use crate::rig::{free_address, rig};
use googletest::prelude::*;
use jacinthweir_testkit::platform::fault::Fault;
use jacinthweir_wire::operator::ApplyRefused;

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_without_the_platform_follows_its_peers() {
    // The link between one instance and the platform is cut from the start. It hears of each
    // commit from its peers, fetches the parts from them, and serves, since a majority confirms.
    let mut rig = rig(2).await;
    rig.join(free_address()).await;
    rig.apply(0, 0, "c1", 1).await.unwrap();
    rig.everywhere(1).await;
    rig.apply(1, 1, "c2", 2).await.unwrap();
    rig.everywhere(2).await;
    rig.until(|| rig.serves(2)).await;
    let reached = rig.instances[2].kernel.convergence().platform_reached();
    expect_that!(reached, eq(false));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_joins_during_an_outage_takes_the_revision_of_its_peers() {
    let mut rig = rig(2).await;
    rig.apply(0, 0, "c1", 1).await.unwrap();
    rig.everywhere(1).await;
    rig.platform.set_fault(Fault::Outage);
    rig.join(rig.platform.address).await;
    rig.everywhere(1).await;
    rig.until(|| rig.serves(2)).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_nothing_confirms_stops_serving_until_something_does() {
    // The platform is out and two of three instances are killed. The last one can tell neither
    // from the platform nor from a majority whether its revision still stands, so its callers
    // are refused, not run, after the set time. The platform comes back: it serves again.
    let rig = rig(3).await;
    rig.apply(0, 0, "c1", 1).await.unwrap();
    rig.everywhere(1).await;
    rig.platform.set_fault(Fault::Outage);
    rig.instances[1].kill();
    rig.instances[2].kill();
    rig.until(|| !rig.serves(0)).await;
    let refused = rig.apply(0, 1, "c2", 2).await.unwrap_err();
    expect_that!(refused, matches_pattern!(ApplyRefused::PlatformDown { .. }));
    rig.platform.set_fault(Fault::None);
    rig.until(|| rig.serves(0)).await;
    expect_that!(rig.revision(0), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_killed_between_parts_and_head_leaves_nothing_in_force() {
    // The instance that commits is killed after it wrote the parts and before the head: the
    // platform then has parts that no head names. Nothing of the change is in force anywhere,
    // and the same apply at another instance commits it once.
    let rig = rig(2).await;
    rig.apply(0, 0, "c1", 1).await.unwrap();
    rig.everywhere(1).await;
    let parts_only = crate::rig::parts(2);
    rig.write_parts(&parts_only).await;
    rig.instances[0].kill();
    expect_that!(rig.revision(1), eq(1));
    expect_that!(rig.apply(1, 1, "c2", 2).await.unwrap().revision, eq(2));
    rig.until(|| rig.revision(1) == 2).await;
    expect_that!(
        rig.history(1).await,
        eq(&vec!["c2".to_owned(), "c1".to_owned()])
    );
}
