//! Whom the word of others convinces that a runner is dead, and who asks it by itself.

use std::collections::BTreeSet;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::words::{self, Advice, FailureReport, FailureReports};
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

fn word(reporters: &[usize]) -> FailureReport {
    FailureReport {
        runner: runner(),
        born_ms: BORN_MS,
        reporters: reporters.iter().map(|i| instance(*i)).collect(),
    }
}

/// An instance in a replay of a runner's death.
#[derive(Default)]
struct Instance {
    words: FailureReports,
    dead: bool,
    /// When its own questions have shown that the runner is dead.
    finds_ms: Option<u64>,
    asked: bool,
    news: bool,
}

/// Time that questions beside witnesses take, and a message.
const QUESTIONS_MS: u64 = 50;
const MESSAGE_MS: u64 = 10;

/// A runner dies through which requests of the first `concerned` instances pass, one in ten of which
/// notices by itself. When all know it, and how many asked the runner.
fn replay(concerned: usize) -> (u64, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut all: Vec<Instance> = (0..FLEET).map(|_| Instance::default()).collect();
    for i in (0..concerned).step_by(10) {
        all[i].asked = true;
        all[i].finds_ms = Some(QUESTIONS_MS);
    }
    for now in (0..5_000).step_by(MESSAGE_MS as usize) {
        let mut told: Vec<(usize, Vec<FailureReport>)> = Vec::new();
        for (i, one) in all.iter_mut().enumerate() {
            if !one.dead && one.finds_ms.is_some_and(|at| now >= at) {
                one.dead = true;
                one.news |= one.words.record(&word(&[i]), now);
            }
            let looks = now % 350 == (i as u64 * MESSAGE_MS) % 350;
            if looks {
                one.follow(i < concerned, now);
            }
            if std::mem::take(&mut one.news) {
                let listeners = (0..FLEET).sample(&mut rng, 8);
                let words: Vec<FailureReport> =
                    one.words.updated_since(now.saturating_sub(400)).collect();
                told.extend(listeners.into_iter().map(|l| (l, words.clone())));
            }
        }
        for (listener, words) in told {
            let one = &mut all[listener];
            for word in words.iter().filter(|_| !one.dead) {
                one.news |= one.words.record(word, now);
            }
            one.follow(listener < concerned, now);
        }
        if all.iter().all(|one| one.dead) {
            return (now, all.iter().filter(|one| one.asked).count());
        }
    }
    (u64::MAX, 0)
}

impl Instance {
    fn follow(&mut self, concerned: bool, now: u64) {
        if self.dead {
            return;
        }
        match self.words.advice(&runner(), BORN_MS, concerned, FLEET, now) {
            Advice::MarkDead => {
                self.dead = true;
                self.news = true;
            }
            Advice::Probe if !self.asked => {
                self.asked = true;
                self.finds_ms = Some(now + QUESTIONS_MS);
            }
            Advice::Probe | Advice::Wait => {}
        }
    }
}

/// Every instance of a large fleet asks each dead runner.
#[gtest]
fn a_dead_runner_is_asked_by_those_whose_requests_pass_through_it() {
    let (known_ms, askers) = replay(60);
    expect_that!(known_ms, le(250));
    expect_that!(askers, le(60 + FLEET / 10));
}

/// An instance whose own link is full makes the fleet give up a living runner.
#[gtest]
fn one_instances_mistake_convinces_nobody() {
    let mut words = FailureReports::default();
    for now in [0, 100, 300, 1_000] {
        words.record(&word(&[1]), now);
        let advice = words.advice(&runner(), BORN_MS, false, FLEET, now);
        expect_that!(advice, not(eq(Advice::MarkDead)));
    }
    expect_that!(
        words.advice(&runner(), BORN_MS, false, FLEET, 1_000),
        eq(Advice::Probe)
    );
    words.refute(&runner(), BORN_MS, 1_100);
    let advice = words.advice(&runner(), BORN_MS, false, FLEET, 1_100);
    expect_that!(advice, eq(Advice::Wait));
    expect_that!(words.updated_since(0).count(), eq(0));
}

/// Instances that are cut off from a runner make the others give it up again and again.
#[gtest]
fn those_that_are_cut_off_do_not_convince_the_others_again() {
    let mut words = FailureReports::default();
    words.record(&word(&[1, 2, 3]), 0);
    let advice = |words: &FailureReports, now| words.advice(&runner(), BORN_MS, false, FLEET, now);
    expect_that!(advice(&words, 0), eq(Advice::MarkDead));
    words.refute(&runner(), BORN_MS, 700);
    expect_true!(words.record(&word(&[1, 2, 3]), 800));
    expect_that!(advice(&words, 800), eq(Advice::Probe));
    // Long after it may have died since.
    words.record(&word(&[1, 2, 3]), 12_000);
    expect_that!(advice(&words, 12_000), eq(Advice::MarkDead));
}

/// A domain that is cut off from a runner ends the requests of others that pass through it.
#[gtest]
fn nobody_is_convinced_against_what_it_hears_itself() {
    let mut words = FailureReports::default();
    words.record(&word(&[1, 2, 3, 4]), 0);
    expect_that!(
        words.advice(&runner(), BORN_MS, true, FLEET, 0),
        eq(Advice::Probe)
    );
    expect_that!(
        words.advice(&runner(), BORN_MS, false, FLEET, 0),
        eq(Advice::MarkDead)
    );
    // What was said of one lifetime says nothing of the next.
    expect_that!(
        words.advice(&runner(), BORN_MS + 1, false, FLEET, 0),
        eq(Advice::Wait)
    );
}

/// One namer counts as many, or its word goes round for ever.
#[gtest]
fn a_word_that_is_heard_again_is_no_news() {
    let mut words = FailureReports::default();
    expect_true!(words.record(&word(&[1]), 0));
    expect_false!(words.record(&word(&[1]), 10));
    expect_true!(words.record(&word(&[1, 2]), 20));
    expect_true!(words.record(&word(&[3]), 30));
    expect_false!(words.record(&word(&[4]), 40));
    let passed_on: Vec<FailureReport> = words.updated_since(20).collect();
    let reporters: BTreeSet<Name> = [1, 2, 3].map(instance).into();
    expect_that!(passed_on.len(), eq(1));
    expect_that!(&passed_on[0].reporters, eq(&reporters));
    expect_that!(words.updated_since(31).count(), eq(0));
}

/// Half of a small fleet that is cut off from a runner makes the other half give it up.
#[gtest]
fn a_small_fleet_asks_at_once_whoever_says_so() {
    let mut words = FailureReports::default();
    words.record(&word(&[1]), 0);
    let advice = |words: &FailureReports| words.advice(&runner(), BORN_MS, false, 6, 0);
    expect_that!(advice(&words), eq(Advice::Probe));
    words.record(&word(&[2, 3]), 0);
    expect_that!(advice(&words), eq(Advice::Probe));
}

/// A runner that is gone for good is asked by every instance.
#[gtest]
fn two_of_each_domain_ask_whether_a_runner_is_back() {
    let domain: Vec<Name> = (0..60).map(instance).collect();
    let mut busy: BTreeSet<Name> = BTreeSet::new();
    for r in 0..20 {
        let runner = format!("i-{r}");
        let asks = |n: &&Name| words::is_prober(n, domain.iter(), &runner);
        let askers: Vec<&Name> = domain.iter().filter(asks).collect();
        expect_that!(askers.len(), eq(2));
        busy.extend(askers.into_iter().cloned());
    }
    expect_that!(busy.len(), ge(15));
    expect_true!(words::is_prober(&domain[0], domain[..2].iter(), "i-1"));
}
