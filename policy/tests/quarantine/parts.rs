//! Quarantine of parts of prompts that crash the runners which begin to write an answer on them.

use googletest::prelude::*;
use jacinthweir_policy::lifetime::Lifetime;
use jacinthweir_policy::prompt_part::PromptPart;
use jacinthweir_policy::quarantine::{
    BrokenRun, CrashRecord, LifetimeState, Quarantine, RunSubject, Suspect, Verdict,
};

use crate::lethal::{Lethal, Simulation, subject};

/// Time between two crashes that counts them as distinct, in milliseconds.
const APART_MS: u64 = 1_000;

fn lifetime(n: u64) -> Lifetime {
    Lifetime {
        runner: format!("i-{n}").into(),
        born_ms: n,
    }
}

/// Returns a run that had begun and was interrupted by the crash of runner `n`.
fn broken(subject: RunSubject, n: u64, at_ms: u64) -> BrokenRun {
    BrokenRun {
        subject,
        through: vec![lifetime(n)],
        seen_by: "one".into(),
        sent_ms: at_ms.saturating_sub(200),
        ran_ms: Some(100),
        at_ms,
    }
}

/// Crashes runners one after the other, each under the given runs.
fn crash_under(quarantine: &mut Quarantine, crashes: &[&[RunSubject]]) -> u64 {
    let mut now = 1_000;
    for (n, subjects) in crashes.iter().enumerate() {
        now += APART_MS;
        for subject in *subjects {
            quarantine.record_broken_run(broken(subject.clone(), n as u64, now));
        }
        let _evaluation = quarantine.evaluate(now, |_| LifetimeState::Ended);
    }
    now
}

fn quarantine_after(crashes: &[&[RunSubject]]) -> (Quarantine, u64) {
    let mut quarantine = Quarantine::default();
    let now = crash_under(&mut quarantine, crashes);
    (quarantine, now)
}

/// Returns what a request is quarantined for.
fn held_for(quarantine: &Quarantine, subject: &RunSubject, now: u64) -> Option<Suspect> {
    match quarantine.verdict(subject, now) {
        Verdict::Quarantined { suspect, .. } => Some(suspect),
        Verdict::Allowed | Verdict::Undecided => None,
    }
}

fn part(id: &str) -> Suspect {
    Suspect::Part(PromptPart::named(id))
}

/// Guards against judging requests by themselves only: no two are alike, and a part crashes runners.
#[gtest]
fn a_part_under_which_three_runners_crashed_is_quarantined() {
    let (quarantine, now) = quarantine_after(&[
        &[subject(1, &["a", "bad"])],
        &[subject(2, &["b", "bad"])],
        &[subject(3, &["c", "bad"])],
    ]);
    expect_that!(
        held_for(&quarantine, &subject(9, &["d", "bad"]), now),
        some(eq(part("bad")))
    );
    expect_that!(
        held_for(&quarantine, &subject(9, &["a", "b", "c"]), now),
        none()
    );
}

/// One lethal request is repeated. Guards against a quarantine of what it shares with sound ones.
#[gtest]
fn crashes_under_one_request_quarantine_no_part() {
    let one = subject(1, &["a", "b"]);
    let alone = std::slice::from_ref(&one);
    let (quarantine, now) = quarantine_after(&[alone, alone, alone]);
    expect_that!(
        held_for(&quarantine, &one, now),
        some(eq(Suspect::Request(one.request)))
    );
    expect_that!(held_for(&quarantine, &subject(2, &["a", "b"]), now), none());
}

/// Every request of a route has the same first part, so every crash interrupts runs with it. Guards
/// against its quarantine, which refuses all requests of the route.
#[gtest]
fn a_part_whose_runs_survive_elsewhere_is_not_quarantined() {
    let mut quarantine = Quarantine::default();
    let mut now = 1_000;
    for n in 0..10 {
        now += APART_MS;
        // A sound run survives on another runner half a second before.
        quarantine.record_survival(&subject(100 + n, &["common"]), now - 500);
        for sound in 0..20 {
            let sound = subject(1_000 + n * 20 + sound, &["common"]);
            quarantine.record_broken_run(broken(sound, n, now));
        }
        quarantine.record_broken_run(broken(subject(n, &["common", "bad"]), n, now));
        let _evaluation = quarantine.evaluate(now, |_| LifetimeState::Ended);
    }
    expect_that!(
        held_for(&quarantine, &subject(999, &["common", "bad"]), now),
        some(eq(part("bad")))
    );
    expect_that!(
        held_for(&quarantine, &subject(999, &["common"]), now),
        none()
    );
}

/// The same with all chains lost, so that no run survives: the request that lacks the lethal part is
/// sent, its run survives, and the common part is cleared.
#[gtest]
fn a_common_part_is_not_quarantined_if_the_lethal_one_accounts_for_its_crashes() {
    let (mut quarantine, now) = quarantine_after(&[
        &[subject(1, &["common", "bad"]), subject(11, &["common"])],
        &[subject(2, &["common", "bad"]), subject(12, &["common"])],
        &[subject(3, &["common", "bad"]), subject(13, &["common"])],
    ]);
    let sound = subject(99, &["common", "d"]);
    expect_that!(held_for(&quarantine, &sound, now), none());
    expect_true!(quarantine.record_survival(&sound, now + 1_000));
    let lethal = subject(98, &["common", "bad"]);
    expect_that!(held_for(&quarantine, &lethal, now), some(eq(part("bad"))));
}

/// Two parts were always together. Guards against refusing both for good: the next crash without one
/// of them shows which is lethal.
#[gtest]
fn of_two_parts_that_were_together_the_next_crash_shows_the_lethal_one() {
    let both = |n| subject(n, &["good", "bad"]);
    let (mut quarantine, now) = quarantine_after(&[&[both(1)], &[both(2)], &[both(3)]]);
    expect_that!(held_for(&quarantine, &both(4), now), some(anything()));
    let one = subject(5, &["bad"]);
    expect_that!(held_for(&quarantine, &one, now), none());

    quarantine.record_broken_run(broken(one, 50, now + APART_MS));
    let _evaluation = quarantine.evaluate(now + APART_MS, |_| LifetimeState::Ended);
    let held = |parts: &[&str]| held_for(&quarantine, &subject(6, parts), now + APART_MS);
    expect_that!(held(&["bad"]), some(eq(part("bad"))));
    expect_that!(held(&["good"]), none());
}

/// A runner's crash interrupts many runs. Guards against charging the parts of all of them.
#[gtest]
fn only_the_parts_with_most_crashes_are_charged() {
    let (mut quarantine, now) =
        quarantine_after(&[&[subject(1, &["bad"])], &[subject(2, &["bad"])]]);
    quarantine.record_broken_run(broken(subject(3, &["bad"]), 7, now + APART_MS));
    quarantine.record_broken_run(broken(subject(4, &["good"]), 7, now + APART_MS));
    let evaluation = quarantine.evaluate(now + APART_MS, |_| LifetimeState::Ended);
    let charged = evaluation.new_crashes.iter().map(|c| c.suspect);
    let charged: Vec<Suspect> = charged.filter(|s| matches!(s, Suspect::Part(_))).collect();
    expect_that!(charged, eq(&vec![part("bad")]));
}

/// Runs that were queued at the runner had not begun, so their parts did not crash it.
#[gtest]
fn parts_of_runs_that_had_not_begun_are_not_charged() {
    let mut quarantine = Quarantine::default();
    quarantine.record_broken_run(broken(subject(1, &["bad"]), 1, 10));
    quarantine.record_broken_run(BrokenRun {
        ran_ms: None,
        ..broken(subject(2, &["good"]), 1, 10)
    });
    let evaluation = quarantine.evaluate(10, |_| LifetimeState::Ended);
    let charged = evaluation.new_crashes.iter().map(|c| c.suspect);
    expect_that!(
        charged.collect::<Vec<_>>(),
        not(contains(eq(&part("good"))))
    );
}

/// A lost rack ends several runners at once. Guards against taking that for crashes under a part of
/// the requests that ran on all of them.
#[gtest]
fn runners_that_end_together_count_as_one_crash_of_a_part() {
    let mut quarantine = Quarantine::default();
    for n in 0..5 {
        quarantine.record_broken_run(broken(subject(n, &["p"]), n, 1_000 + n * 20));
    }
    let _evaluation = quarantine.evaluate(1_100, |_| LifetimeState::Ended);
    expect_that!(held_for(&quarantine, &subject(9, &["p"]), 1_100), none());
}

/// An instance that knows a part to be sound hears of crashes counted against it elsewhere. Guards
/// against a quarantine that the others keep: it tells them.
#[gtest]
fn an_instance_that_trusts_a_part_clears_it_elsewhere() {
    let (mut one, now) = quarantine_after(&[
        &[subject(1, &["p"])],
        &[subject(2, &["p"])],
        &[subject(3, &["p"])],
    ]);
    let asked = subject(9, &["p"]);
    expect_that!(held_for(&one, &asked, now), some(anything()));

    let mut other = Quarantine::default();
    other.record_survival(&subject(5, &["p"]), now);
    for record in one.updates(60_000, true, now).collect::<Vec<CrashRecord>>() {
        expect_true!(other.merge(&record, now + 10) || record.suspect != part("p"));
    }
    expect_that!(held_for(&other, &asked, now), none());
    for record in other
        .updates(400, false, now + 10)
        .collect::<Vec<CrashRecord>>()
    {
        one.merge(&record, now + 20);
    }
    expect_that!(held_for(&one, &asked, now + 20), none());
}

/// A new instance reads a record from the store whose crashes were cleared since. Guards against a
/// quarantine of a sound part at that instance: the others notice what it lacks, and the record is
/// removed from the store.
#[gtest]
fn a_cleared_part_does_not_come_back_from_the_store() {
    let (mut one, now) = quarantine_after(&[
        &[subject(1, &["p"])],
        &[subject(2, &["p"])],
        &[subject(3, &["p"])],
    ]);
    one.mark_stored(part("p"), 1);
    let stored: Vec<CrashRecord> = one.quarantined(now).collect();
    one.record_survival(&subject(4, &["p"]), now + 10);
    let evaluation = one.evaluate(now + 20, |_| LifetimeState::Ended);
    expect_that!(evaluation.obsolete, contains(eq(&part("p"))));

    let later = now + 60_000;
    let mut new = Quarantine::default();
    let merge_all = |into: &mut Quarantine, records: Vec<CrashRecord>| {
        records.iter().for_each(|r| {
            into.merge(r, later);
        });
    };
    merge_all(&mut new, stored);
    let asked = subject(9, &["p"]);
    expect_that!(held_for(&new, &asked, later), some(anything()));
    merge_all(&mut one, new.updates(3_000, true, later).collect());
    merge_all(&mut new, one.updates(3_000, true, later).collect());
    expect_that!(held_for(&new, &asked, later), none());
}

/// Records survive their way through the store's and the peers' formats, also those written before
/// parts were suspects.
#[gtest]
fn records_of_both_kinds_are_decoded() {
    let (quarantine, now) = quarantine_after(&[&[subject(1, &["bad"])]]);
    let records: Vec<CrashRecord> = quarantine.updates(60_000, true, now).collect();
    expect_that!(records.len(), eq(2));
    let json = serde_json::to_string(&records).expect("JSON");
    expect_that!(
        serde_json::from_str::<Vec<CrashRecord>>(&json).expect("records"),
        eq(&records)
    );
    let bytes = rmp_serde::to_vec(&records).expect("a message");
    expect_that!(
        rmp_serde::from_slice::<Vec<CrashRecord>>(&bytes).expect("records"),
        eq(&records)
    );
    let old = r#"{"request":[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16],"ends":[{"lifetime":{"runner":"i-1",
        "born_ms":1},"seen_by":"one","sent_age_ms":9,"broke_age_ms":8}],"void":[],"stored_era":null,
        "age_ms":7}"#;
    let old: CrashRecord = serde_json::from_str(old).expect("a record");
    expect_that!(old.suspect, matches_pattern!(Suspect::Request(anything())));
}

/// Time after the fifth crash of a lethal part from which on its sends are counted, in milliseconds.
const GRACE_MS: u64 = 3_000;

/// Sends of requests with the part allowed after that time.
const MAX_LATE_SENDS: usize = 3;

/// Simulates fleets of all sizes in which requests with a lethal part arrive at any instance, no two
/// alike, beside sound ones that share their other parts.
#[gtest]
fn no_lethal_part_is_sent_after_its_fifth_crash_in_any_simulation() {
    let mut others = 0;
    let mut others_quarantined = 0;
    let mut crashes = 0;
    for seed in 0..60 {
        let outcome = Simulation::new(seed, Lethal::Part).run(true);
        for sends in outcome.sends_after(5, GRACE_MS) {
            expect_that!(sends, le(MAX_LATE_SENDS), "seed {seed}");
        }
        crashes += outcome.crashes();
        others += outcome.others;
        others_quarantined += outcome.others_quarantined.len();
    }
    println!("{crashes} crashes; {others_quarantined} of {others} sound requests quarantined");
    // Less than one in a hundred of the sound requests may be quarantined.
    expect_that!(others_quarantined * 100, lt(others));
}

/// Negative control: without quarantine the check above fails for nearly every seed.
#[gtest]
fn requests_with_a_lethal_part_are_sent_on_without_quarantine() {
    let fails = |seed| {
        let outcome = Simulation::new(seed, Lethal::Part).run(false);
        outcome
            .sends_after(5, GRACE_MS)
            .any(|sends| sends > MAX_LATE_SENDS)
    };
    let failed = (0..12).filter(|seed| fails(*seed)).count();
    expect_that!(failed, gt(9));
}

/// A lethal request is repeated, and its crashes interrupt runs of other requests with a part in common.
/// Guards against a quarantine of that part beside the lethal request.
#[gtest]
fn a_part_that_a_lethal_request_interrupted_is_not_quarantined() {
    let mut quarantine = Quarantine::default();
    let mut now = 1_000;
    let bystander = |n| subject(n, &["common"]);
    for n in 0..3 {
        now += APART_MS;
        quarantine.record_broken_run(broken(subject(1, &["own"]), n, now));
        for other in [10 + n, 20 + n] {
            quarantine.record_broken_run(BrokenRun {
                ran_ms: Some(600),
                ..broken(bystander(other), n, now)
            });
        }
        let _evaluation = quarantine.evaluate(now, |_| LifetimeState::Ended);
    }
    expect_that!(
        held_for(&quarantine, &subject(1, &["own"]), now),
        some(eq(Suspect::Request(subject(1, &[]).request)))
    );
    expect_that!(held_for(&quarantine, &bystander(30), now), none());
}
