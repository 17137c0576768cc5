//! The store comes back from an older copy: what was written since is gone, and revisions are given out again.

use googletest::prelude::*;

use crate::standin::{Runner, Site, configuration, on_one_thread};

/// A newer configuration has the revision of the one in force, which the store has lost.
#[gtest]
fn a_configuration_at_a_revision_that_was_seen_before_is_read() {
    on_one_thread(async {
        let site = Site::open().await;
        let copy = site.store.copy();
        site.store.put("config", "main", &configuration(2));
        let revision = site.store.revision();
        site.in_force(2).await;

        site.store.restore(&copy);
        site.store.advance_to(revision - 1);
        site.store.put("config", "main", &configuration(3));
        expect_that!(site.store.revision(), eq(revision));
        site.in_force(3).await;
    });
}

/// A runner registers after the restore at a revision up to which everything was known before it.
#[gtest]
fn a_runner_that_registers_after_a_restore_is_seen() {
    on_one_thread(async {
        let site = Site::open().await;
        let copy = site.store.copy();
        site.store.advance_to(copy.revision() + 20);
        let late = Runner::spawn(&site.store, "late", "pool", "a").await;
        site.shows("\"late\"").await;

        site.store.restore(&copy);
        let _new = Runner::spawn(&site.store, "new", "pool", "a").await;
        site.store.advance_to(copy.revision() + 40);
        late.register("ready");
        site.shows("\"new\"").await;
    });
}
