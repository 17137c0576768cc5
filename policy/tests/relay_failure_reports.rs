//! Quorum of failure reports on runners, and which instances probe a runner themselves.

use std::collections::BTreeSet;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::failure_reports::{
    self, Advice, FailureReport, FailureReports, MAX_REPORTED,
};
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

const BORN_MS: u64 = 7;
const FLEET: usize = 300;

fn runner() -> Name {
    "i-1".into()
}

fn instance(i: usize) -> Name {
    format!("front-{i:03}").into()
}

fn report(reporters: &[usize]) -> FailureReport {
    FailureReport {
        runner: runner(),
        born_ms: BORN_MS,
        reporters: reporters.iter().map(|i| instance(*i)).collect(),
    }
}

/// Simulated instance.
#[derive(Default)]
struct Instance {
    reports: FailureReports,
    dead: bool,
    /// When its own probes have shown that the runner is dead.
    detects_ms: Option<u64>,
    probed: bool,
    has_news: bool,
}

/// Duration of probing a runner together with witnesses, and message delay, in milliseconds.
const PROBE_MS: u64 = 50;
const MESSAGE_MS: u64 = 10;

/// Simulates the failure of a runner through which requests of the first `affected` instances pass,
/// one in ten of which detects it by itself. Returns when all instances know of it, and how many
/// probed.
fn simulate(affected: usize) -> (u64, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut all: Vec<Instance> = (0..FLEET).map(|_| Instance::default()).collect();
    for i in (0..affected).step_by(10) {
        all[i].probed = true;
        all[i].detects_ms = Some(PROBE_MS);
    }
    for now in (0..5_000).step_by(MESSAGE_MS as usize) {
        let mut sent: Vec<(usize, Vec<FailureReport>)> = Vec::new();
        for (i, one) in all.iter_mut().enumerate() {
            if !one.dead && one.detects_ms.is_some_and(|at| now >= at) {
                one.dead = true;
                one.has_news |= one.reports.record(&report(&[i]), now);
            }
            let is_due = now % 350 == (i as u64 * MESSAGE_MS) % 350;
            if is_due {
                one.act_on_reports(i < affected, now);
            }
            if std::mem::take(&mut one.has_news) {
                let receivers = (0..FLEET).sample(&mut rng, 8);
                let reports: Vec<FailureReport> =
                    one.reports.updated_since(now.saturating_sub(400)).collect();
                sent.extend(receivers.into_iter().map(|l| (l, reports.clone())));
            }
        }
        for (receiver, reports) in sent {
            let one = &mut all[receiver];
            for report in reports.iter().filter(|_| !one.dead) {
                one.has_news |= one.reports.record(report, now);
            }
            one.act_on_reports(receiver < affected, now);
        }
        if all.iter().all(|one| one.dead) {
            return (now, all.iter().filter(|one| one.probed).count());
        }
    }
    (u64::MAX, 0)
}

impl Instance {
    fn act_on_reports(&mut self, affected: bool, now: u64) {
        if self.dead {
            return;
        }
        match self
            .reports
            .advice(&runner(), BORN_MS, affected, FLEET, now)
        {
            Advice::MarkDead => {
                self.dead = true;
                self.has_news = true;
            }
            Advice::Probe if !self.probed => {
                self.probed = true;
                self.detects_ms = Some(now + PROBE_MS);
            }
            Advice::Probe | Advice::Wait => {}
        }
    }
}

/// Guards against every instance of a large fleet probing each dead runner.
#[gtest]
fn only_affected_instances_probe_a_dead_runner() {
    let (known_ms, probers) = simulate(60);
    expect_that!(known_ms, le(250));
    expect_that!(probers, le(60 + FLEET / 10));
}

/// Guards against a fleet giving up a live runner because one instance with a saturated link
/// reported it.
#[gtest]
fn a_single_false_report_is_not_accepted() {
    let mut reports = FailureReports::default();
    for now in [0, 100, 300, 1_000] {
        reports.record(&report(&[1]), now);
        let advice = reports.advice(&runner(), BORN_MS, false, FLEET, now);
        expect_that!(advice, not(eq(Advice::MarkDead)));
    }
    expect_that!(
        reports.advice(&runner(), BORN_MS, false, FLEET, 1_000),
        eq(Advice::Probe)
    );
    reports.refute(&runner(), BORN_MS, 1_100);
    let advice = reports.advice(&runner(), BORN_MS, false, FLEET, 1_100);
    expect_that!(advice, eq(Advice::Wait));
    expect_that!(reports.updated_since(0).count(), eq(0));
}

/// Guards against instances that are partitioned from a runner making the others give it up
/// repeatedly.
#[gtest]
fn refuted_reports_are_not_accepted_again_soon() {
    let mut reports = FailureReports::default();
    reports.record(&report(&[1, 2, 3]), 0);
    let advice =
        |reports: &FailureReports, now| reports.advice(&runner(), BORN_MS, false, FLEET, now);
    expect_that!(advice(&reports, 0), eq(Advice::MarkDead));
    reports.refute(&runner(), BORN_MS, 700);
    expect_true!(reports.record(&report(&[1, 2, 3]), 800));
    expect_that!(advice(&reports, 800), eq(Advice::Probe));
    // Long after the answer it may have failed since.
    reports.record(&report(&[1, 2, 3]), 12_000);
    expect_that!(advice(&reports, 12_000), eq(Advice::MarkDead));
}

/// Guards against a partitioned domain ending the requests of other instances that pass through the
/// runner.
#[gtest]
fn an_affected_instance_probes_instead_of_accepting_reports() {
    let mut reports = FailureReports::default();
    reports.record(&report(&[1, 2, 3, 4]), 0);
    expect_that!(
        reports.advice(&runner(), BORN_MS, true, FLEET, 0),
        eq(Advice::Probe)
    );
    expect_that!(
        reports.advice(&runner(), BORN_MS, false, FLEET, 0),
        eq(Advice::MarkDead)
    );
    // Reports on one lifetime do not apply to the next.
    expect_that!(
        reports.advice(&runner(), BORN_MS + 1, false, FLEET, 0),
        eq(Advice::Wait)
    );
}

/// Guards against one reporter being counted repeatedly, and reports circulating forever.
#[gtest]
fn a_repeated_report_is_not_passed_on() {
    let mut reports = FailureReports::default();
    expect_true!(reports.record(&report(&[1]), 0));
    expect_false!(reports.record(&report(&[1]), 10));
    expect_true!(reports.record(&report(&[1, 2]), 20));
    expect_true!(reports.record(&report(&[3]), 30));
    expect_false!(reports.record(&report(&[4]), 40));
    let passed_on: Vec<FailureReport> = reports.updated_since(20).collect();
    let reporters: BTreeSet<Name> = [1, 2, 3].map(instance).into();
    expect_that!(passed_on.len(), eq(1));
    expect_that!(&passed_on[0].reporters, eq(&reporters));
    expect_that!(reports.updated_since(31).count(), eq(0));
}

/// Guards against one half of a small fleet, partitioned from a runner, making the other half give
/// it up.
#[gtest]
fn instances_of_a_small_fleet_probe_at_the_first_report() {
    let mut reports = FailureReports::default();
    reports.record(&report(&[1]), 0);
    let advice = |reports: &FailureReports| reports.advice(&runner(), BORN_MS, false, 6, 0);
    expect_that!(advice(&reports), eq(Advice::Probe));
    reports.record(&report(&[2, 3]), 0);
    expect_that!(advice(&reports), eq(Advice::Probe));
}

/// Guards against every instance probing a runner that is gone for good.
#[gtest]
fn two_instances_of_each_domain_probe_whether_a_runner_recovered() {
    let domain: Vec<Name> = (0..60).map(instance).collect();
    let mut all_probers: BTreeSet<Name> = BTreeSet::new();
    for r in 0..20 {
        let runner = format!("i-{r}");
        let is_prober = |n: &&Name| failure_reports::is_prober(n, domain.iter(), &runner);
        let probers: Vec<&Name> = domain.iter().filter(is_prober).collect();
        expect_that!(probers.len(), eq(2));
        all_probers.extend(probers.into_iter().cloned());
    }
    expect_that!(all_probers.len(), ge(15));
    expect_true!(failure_reports::is_prober(
        &domain[0],
        domain[..2].iter(),
        "i-1"
    ));
}

/// Guards against memory that grows with the reports of other instances, of runners that nobody has.
#[gtest]
fn reports_on_more_runners_than_a_fleet_has_are_dropped() {
    let mut reports = FailureReports::default();
    let of = |n: usize| FailureReport {
        runner: format!("i-{n}").into(),
        ..report(&[1])
    };
    for n in 0..MAX_REPORTED {
        expect_true!(reports.record(&of(n), 0));
    }
    expect_false!(reports.record(&of(MAX_REPORTED), 0));
    expect_that!(reports.runners().count(), eq(MAX_REPORTED));
    let second = FailureReport {
        reporters: [instance(2)].into(),
        ..of(0)
    };
    expect_true!(reports.record(&second, 0));
}
