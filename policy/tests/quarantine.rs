//! Quarantine of lethal requests: which requests are quarantined, and that all instances agree.

#[path = "support/lethal.rs"]
mod lethal;
#[path = "quarantine/parts.rs"]
mod parts;
#[path = "support/relay.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use std::collections::BTreeMap;

use googletest::prelude::*;
use jacinthweir_policy::fingerprint::Fingerprint;
use jacinthweir_policy::lifetime::Lifetime;
use jacinthweir_policy::prompt_part::PromptPart;
use jacinthweir_policy::quarantine::{
    BrokenRun, CRASH_THRESHOLD, CrashReport, LifetimeState, MAX_RUN_PARTS, MAX_SUSPECTS,
    Quarantine, RunReport, Suspect, Verdict,
};
use jacinthweir_policy::relay::runners::{DeathEvidence, RunnerEntry, Runners};
use lethal::{Lethal, Simulation, subject};
use proptest::prelude::{any, proptest};
use proptest::prop_assert_eq;
use support::runner;

fn lifetime(n: u64) -> Lifetime {
    Lifetime {
        runner: format!("i-{n}").into(),
        born_ms: n,
    }
}

/// Returns a quarantine in which the given runners crashed under request 0, one after the other.
fn after_crashes(runners: impl IntoIterator<Item = u64>) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for n in runners {
        quarantine.record_broken_run(broken(0, [n], n));
        let _evaluation = quarantine.evaluate(n, |_| LifetimeState::Ended);
    }
    quarantine
}

/// Returns a broken run of request `n` that had begun and passed through the given runners.
fn broken(n: u64, runners: impl IntoIterator<Item = u64>, at_ms: u64) -> BrokenRun {
    BrokenRun {
        subject: subject(n, &[]),
        through: runners.into_iter().map(lifetime).collect(),
        seen_by: "one".into(),
        sent_ms: at_ms.saturating_sub(1),
        ran_ms: Some(100),
        at_ms,
    }
}

fn is_quarantined(quarantine: &mut Quarantine, n: u64, now: u64) -> bool {
    matches!(
        quarantine.verdict(&subject(n, &[]), now),
        Verdict::Quarantined { .. }
    )
}

fn updates(quarantine: &Quarantine) -> Vec<CrashReport> {
    quarantine.updates(1_000_000, true, 1_000).collect()
}

fn merge_all(quarantine: &mut Quarantine, reports: &[CrashReport], now: u64) {
    for report in reports {
        quarantine.merge(report, now);
    }
}

#[gtest]
fn the_fingerprint_depends_on_organisation_path_and_body() {
    let of = |org, path, body: &[u8]| Fingerprint::of(Some(org), "host", path, body);
    let one = of("org", "/a", b"body");
    expect_that!(of("org", "/a", b"body"), eq(one));
    expect_that!(of("another", "/a", b"body"), not(eq(one)));
    expect_that!(of("org", "/b", b"body"), not(eq(one)));
    expect_that!(of("org", "/a", b"other"), not(eq(one)));
    expect_that!(of("org", "/ab", b"ody"), not(eq(one)));
    expect_that!(one.to_string().len(), eq(32));
}

#[gtest]
fn a_request_is_quarantined_after_three_crashes() {
    expect_false!(is_quarantined(&mut after_crashes(1..=2), 0, 10));
    expect_true!(is_quarantined(&mut after_crashes(1..=3), 0, 10));
    expect_true!(is_quarantined(&mut after_crashes(1..=3), 0, 300_000));
    expect_false!(is_quarantined(&mut after_crashes(1..=3), 1, 10));
}

/// A chain loses the machines of its three runners at once, which must count as a single crash.
#[gtest]
fn a_broken_run_counts_as_one_crash() {
    let mut quarantine = Quarantine::default();
    quarantine.record_broken_run(broken(0, 1..=3, 0));
    let evaluation = quarantine.evaluate(0, |_| LifetimeState::Ended);
    expect_that!(evaluation.seen_crashes.len(), eq(1));
    expect_that!(evaluation.seen_crashes[0].all_runs, eq(1));
}

/// Requests without a body have the same fingerprint at many instances. When a rack is lost, each
/// instance sees another runner of its chain end, which must count as one event.
#[gtest]
fn crashes_seen_by_several_instances_within_a_second_are_one_event() {
    let seen_by = |by: &str, n: u64, at_ms: u64| {
        let mut one = Quarantine::default();
        one.record_broken_run(BrokenRun {
            seen_by: by.into(),
            ..broken(0, [n], at_ms)
        });
        let _evaluation = one.evaluate(at_ms, |_| LifetimeState::Ended);
        one.updates(1_000_000, true, 5_000)
            .collect::<Vec<CrashReport>>()
    };
    let quarantined_after = |all: Vec<Vec<CrashReport>>| {
        let mut quarantine = Quarantine::default();
        for reports in &all {
            merge_all(&mut quarantine, reports, 5_000);
        }
        is_quarantined(&mut quarantine, 0, 5_000)
    };
    let one_event = vec![
        seen_by("a", 1, 1_000),
        seen_by("b", 2, 1_300),
        seen_by("c", 3, 1_900),
    ];
    expect_false!(quarantined_after(one_event));
    let three_events = vec![
        seen_by("a", 1, 1_000),
        seen_by("b", 2, 2_100),
        seen_by("c", 3, 3_200),
    ];
    expect_true!(quarantined_after(three_events));
    // One instance sends the second run after it has seen the first one break off.
    let consecutive = vec![
        seen_by("a", 1, 1_000),
        seen_by("a", 2, 1_300),
        seen_by("a", 3, 1_900),
    ];
    expect_true!(quarantined_after(consecutive));
}

/// Other requests are running or queued on the same runners when they crash; they must not be held
/// responsible, however many crashes of the lethal one they see.
#[gtest]
fn the_suspect_with_earlier_crashes_is_responsible() {
    let mut quarantine = after_crashes(1..=2);
    for n in 3..=6 {
        quarantine.record_broken_run(broken(0, [n], n));
        quarantine.record_broken_run(broken(1, [n], n));
        let _evaluation = quarantine.evaluate(n, |_| LifetimeState::Ended);
        expect_true!(is_quarantined(&mut quarantine, 0, n));
        expect_false!(is_quarantined(&mut quarantine, 1, n));
    }
}

/// An instance that does not serve the lethal request itself sees only the other interrupted
/// requests.
#[gtest]
fn the_crashes_of_a_quarantined_request_count_against_no_other() {
    let mut quarantine = Quarantine::default();
    merge_all(&mut quarantine, &updates(&after_crashes(1..=6)), 10);
    for n in 4..=6 {
        quarantine.record_broken_run(broken(1, [n], n));
        let _evaluation = quarantine.evaluate(10 + n, |_| LifetimeState::Ended);
    }
    expect_true!(is_quarantined(&mut quarantine, 0, 20));
    expect_false!(is_quarantined(&mut quarantine, 1, 20));
}

/// A harmless request was quarantined elsewhere for the same crash a moment before. Guards against
/// passing over the lethal one for it: the lethal one had run for less.
#[gtest]
fn a_quarantine_elsewhere_does_not_hide_a_request_with_shorter_runs() {
    let mut elsewhere = Quarantine::default();
    for n in 1..=3 {
        elsewhere.record_broken_run(BrokenRun {
            ran_ms: Some(400),
            ..broken(1, [n], n)
        });
        let _evaluation = elsewhere.evaluate(n, |_| LifetimeState::Ended);
    }
    let mut quarantine = after_crashes(1..=2);
    merge_all(&mut quarantine, &updates(&elsewhere), 3);
    quarantine.record_broken_run(broken(0, [3], 3));
    let _evaluation = quarantine.evaluate(3, |_| LifetimeState::Ended);
    expect_true!(is_quarantined(&mut quarantine, 0, 3));
}

/// A request that was queued on the same three runners was present at each crash, but had not
/// begun.
#[gtest]
fn the_last_crash_is_charged_to_requests_that_had_begun() {
    let mut quarantine = Quarantine::default();
    for n in 1..=3 {
        quarantine.record_broken_run(broken(0, [n], n));
        let waiting = BrokenRun {
            ran_ms: None,
            ..broken(1, [n], n)
        };
        quarantine.record_broken_run(waiting);
        let _evaluation = quarantine.evaluate(n, |_| LifetimeState::Ended);
    }
    expect_true!(is_quarantined(&mut quarantine, 0, 10));
    expect_false!(is_quarantined(&mut quarantine, 1, 10));
}

/// The run on the third runner broke off a moment ago. If the request were sent on before it is
/// known whether that runner ended, it would reach a fourth.
#[gtest]
fn the_verdict_is_undecided_while_the_last_crash_is_unconfirmed() {
    let mut quarantine = after_crashes(1..=2);
    quarantine.record_broken_run(broken(0, [3], 10));
    expect_that!(
        quarantine.verdict(&subject(0, &[]), 10),
        eq(Verdict::Undecided)
    );
    let evaluation = quarantine.evaluate(6_000, |_| LifetimeState::Running);
    expect_false!(evaluation.is_news());
    expect_that!(
        quarantine.verdict(&subject(0, &[]), 6_000),
        eq(Verdict::Allowed)
    );
}

/// A request that was interrupted on the same runners completes elsewhere, so it was not the cause.
#[gtest]
fn a_completed_run_clears_all_crashes() {
    let mut quarantine = after_crashes(1..=2);
    expect_true!(quarantine.record_survival(&subject(0, &[]), 10));
    expect_false!(quarantine.record_survival(&subject(0, &[]), 11));
    // Records of the same crashes from another instance do not count any more.
    merge_all(&mut quarantine, &updates(&after_crashes(1..=3)), 12);
    expect_false!(is_quarantined(&mut quarantine, 0, 13));
}

/// Three runners were partitioned, not dead. When they answer again, the request is allowed again.
#[gtest]
fn a_crash_of_a_recovered_runner_is_cleared() {
    let mut quarantine = after_crashes(1..=3);
    let evaluation = quarantine.evaluate(20, |l| match l.born_ms {
        3 => LifetimeState::Recovered(15),
        _ => LifetimeState::Ended,
    });
    expect_true!(evaluation.cleared);
    expect_false!(is_quarantined(&mut quarantine, 0, 20));
}

/// An instance that has not noticed the crash yet still knows of earlier answers of the runner.
#[gtest]
fn an_answer_from_before_the_crash_clears_nothing() {
    let mut quarantine = Quarantine::default();
    merge_all(&mut quarantine, &updates(&after_crashes(1..=3)), 100);
    let evaluation = quarantine.evaluate(110, |_| LifetimeState::Recovered(50));
    expect_false!(evaluation.cleared);
    expect_true!(is_quarantined(&mut quarantine, 0, 110));
}

/// Two instances exchange the record of a quarantined request in each round. Neither may keep it
/// alive forever.
#[gtest]
fn quarantine_expires_at_all_instances() {
    let mut quarantines = [
        after_crashes(1..=CRASH_THRESHOLD as u64),
        Quarantine::default(),
    ];
    let mut now = 1_000;
    let count_quarantined = |quarantines: &mut [Quarantine; 2], now| {
        let quarantined = quarantines
            .iter_mut()
            .filter_map(|q| is_quarantined(q, 0, now).then_some(()));
        quarantined.count()
    };
    while now < 2_000_000 && (now < 10_000 || count_quarantined(&mut quarantines, now) > 0) {
        for (from, to) in [(0, 1), (1, 0)] {
            let reports: Vec<CrashReport> = quarantines[from].updates(3_000, true, now).collect();
            merge_all(&mut quarantines[to], &reports, now);
            let _evaluation = quarantines[to].evaluate(now, |_| LifetimeState::Ended);
        }
        now += 300;
    }
    expect_that!(now, ge(600_000));
    expect_that!(now, lt(700_000));
    for quarantine in &mut quarantines {
        let _evaluation = quarantine.evaluate(now, |_| LifetimeState::Ended);
        expect_true!(quarantine.is_idle());
    }
}

proptest! {
    /// Instances that received the same records in another order, and more than once, agree.
    #[test]
    fn the_order_of_merges_does_not_matter(
        crashes in proptest::collection::vec((0_u64..6, any::<bool>()), 0..12),
        repeated in proptest::collection::vec(0_usize..12, 0..12),
    ) {
        let reports: Vec<CrashReport> = crashes
            .iter()
            .flat_map(|(n, survives)| {
                let mut one = after_crashes([*n]);
                if *survives {
                    one.record_survival(&subject(0, &[]), 5);
                }
                updates(&one)
            })
            .collect();
        let mut forward = Quarantine::default();
        merge_all(&mut forward, &reports, 1_000);
        let mut backward = Quarantine::default();
        reports.iter().rev().for_each(|r| { backward.merge(r, 1_000); });
        repeated.iter().filter_map(|i| reports.get(*i)).for_each(|r| { backward.merge(r, 1_000); });
        prop_assert_eq!(updates(&forward), updates(&backward));
    }
}

/// Time after the last allowed crash of lethal requests from which on their sends are counted, in
/// milliseconds.
const GRACE_MS: u64 = 3_000;

/// Sends of lethal requests allowed after that time.
const MAX_LATE_SENDS: usize = 3;

/// Simulates fleets of all sizes in which lethal requests arrive at any instance beside others, and
/// messages are delayed. No lethal request may keep crashing runners.
#[gtest]
fn no_lethal_request_is_sent_after_its_third_crash_in_any_simulation() {
    let mut others = 0;
    let mut others_quarantined = 0;
    for seed in 0..60 {
        let outcome = Simulation::new(seed, Lethal::Requests).run(true);
        for sends in outcome.sends_after(3, GRACE_MS) {
            expect_that!(sends, le(MAX_LATE_SENDS), "seed {seed}");
        }
        others += outcome.others;
        others_quarantined += outcome.others_quarantined.len();
    }
    // Less than one in a hundred of the other requests may be quarantined.
    expect_that!(others_quarantined * 100, lt(others));
}

/// Negative control: without quarantine the check above fails for nearly every seed.
#[gtest]
fn lethal_requests_are_sent_on_without_quarantine() {
    let fails = |seed| {
        let outcome = Simulation::new(seed, Lethal::Requests).run(false);
        outcome
            .sends_after(3, GRACE_MS)
            .any(|sends| sends > MAX_LATE_SENDS)
    };
    let failed = (0..12).filter(|seed| fails(*seed)).count();
    expect_that!(failed, gt(9));
}

/// Guards against a silence that is counted as a crash: sound requests whose runners were silent would be
/// refused, and their streams closed.
#[gtest]
fn silent_runners_quarantine_nothing() {
    let silent: Vec<u64> = (0..4).collect();
    let mut runners = Runners::default();
    let mut quarantine = Quarantine::default();
    for n in &silent {
        runners.put(&RunnerEntry {
            born_ms: *n,
            ..runner(&format!("i-{n}"), "a", "card")
        });
        quarantine.record_broken_run(broken(0, [*n], *n));
        let health = runners.health_mut(&lifetime(*n).runner).expect("known");
        health.dead = true;
        health.death_evidence = Some(DeathEvidence::Silent);
        let evaluation = quarantine.evaluate(*n, |l| runners.lifetime_state(l));
        expect_that!(evaluation.seen_crashes, is_empty());
    }
    expect_that!(
        quarantine.verdict(&subject(0, &[]), 4),
        eq(Verdict::Allowed)
    );

    for n in &silent {
        runners.mark_recovered(&lifetime(*n).runner, 10);
    }
    let evaluation = quarantine.evaluate(10, |l| runners.lifetime_state(l));
    expect_that!(evaluation.seen_crashes, is_empty());
    expect_true!(quarantine.is_idle());
}

/// A runner that was silent turns out to have crashed. Guards against forgetting the runs that it
/// interrupted.
#[gtest]
fn a_silent_runner_that_restarts_has_crashed() {
    let mut quarantine = Quarantine::default();
    quarantine.record_broken_run(broken(0, [0], 0));
    let evaluation = quarantine.evaluate(1, |_| LifetimeState::Silent);
    expect_that!(evaluation.seen_crashes, is_empty());
    let evaluation = quarantine.evaluate(2_000, |_| LifetimeState::Ended);
    expect_that!(evaluation.seen_crashes.len(), eq(1));
}

/// One runner of a chain was silent and answers again, another one has crashed. Guards against dropping
/// the run while the crash is not known yet.
#[gtest]
fn a_runner_that_answers_again_does_not_excuse_another_one_of_the_chain() {
    let mut quarantine = Quarantine::default();
    quarantine.record_broken_run(broken(0, [0, 1], 0));
    let evaluation = quarantine.evaluate(500, |l| match *l == lifetime(0) {
        true => LifetimeState::Recovered(400),
        false => LifetimeState::Silent,
    });
    expect_that!(evaluation.seen_crashes, is_empty());
    let evaluation = quarantine.evaluate(2_000, |l| match *l == lifetime(0) {
        true => LifetimeState::Recovered(400),
        false => LifetimeState::Ended,
    });
    expect_that!(evaluation.seen_crashes.len(), eq(1));
}

/// Guards against memory that grows with what other instances report of a crash.
#[gtest]
fn a_report_of_any_size_leaves_a_bounded_crash() {
    let mut quarantine = after_crashes([1]);
    let mut report = updates(&quarantine).remove(0);
    let parts = || (0..100_000_u32).map(|n| PromptPart::named(&format!("{n:x}")));
    report.cleared.extend(parts().map(Suspect::Part));
    report.runs = BTreeMap::from([(
        "two".into(),
        vec![RunReport {
            request: subject(7, &[]).request,
            parts: parts().collect(),
            ran_ms: Some(1),
            sent_age_ms: 2,
            broke_age_ms: 1,
        }],
    )]);
    expect_true!(quarantine.merge(&report, 2));
    let kept = updates(&quarantine).remove(0);
    let kept_parts = kept.runs.values().flatten().map(|run| run.parts.len());
    expect_that!(kept_parts.max(), some(eq(MAX_RUN_PARTS)));
    expect_that!(kept.cleared.len(), eq(MAX_SUSPECTS));
}
