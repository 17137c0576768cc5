//! Which runner is dead or slow: silence, questions and their answers, and the word of others.

#[path = "support/relay.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use googletest::prelude::*;
use jacinthweir_policy::relay::runners::{ASK_PAUSE_MS, Runners};
use jacinthweir_policy::relay::silence::{EventGaps, ProbeRound, SilenceDetector};
use support::runner;

/// Pause between two events by the declared figures, in milliseconds.
const EVENT_MS: f64 = 20.0;

/// A part of a chain dies. Its callers count their answers as late after a pause of 200 ms and
/// give up after two seconds; the first runner says of its dead neighbour only after 2.5 s.
/// Nothing at all from a chain with several requests waiting is the sign. A chain whose bytes come
/// every 120 ms is slow, not dead: it is asked once, and then its gaps are known.
#[gtest]
fn a_silent_chain_is_asked_at_once_and_a_slow_one_only_once() {
    let mut silent = SilenceDetector::new(EVENT_MS);
    let mut slow = SilenceDetector::new(EVENT_MS);
    for _ in 0..5 {
        silent.request_sent(0);
        slow.request_sent(0);
    }
    let mut asked_at = None;
    let mut slow_asked = 0;
    for now in (0..4_000).step_by(20) {
        if now % 120 == 0 {
            slow.bytes_received(now);
        }
        slow_asked += usize::from(slow.should_probe(now));
        if silent.should_probe(now) && asked_at.is_none() {
            asked_at = Some(now);
        }
    }
    expect_that!(asked_at, some(le(100)));
    expect_that!(slow_asked, le(1));
}

/// A chain pauses once for 400 ms, as a packet was sent again; then a part dies. The long gap must
/// not put off the question by as much.
#[gtest]
fn one_long_gap_does_not_hide_a_dead_part() {
    let mut silence = SilenceDetector::new(EVENT_MS);
    (0..5).for_each(|_| silence.request_sent(0));
    silence.bytes_received(400);
    silence.bytes_received(430);
    let asked_at = (430..2_000).find(|now| silence.should_probe(*now));
    expect_that!(asked_at, some(le(700)));
}

#[gtest]
fn one_waiting_request_is_given_more_time_and_none_is_no_silence() {
    let mut silence = SilenceDetector::new(EVENT_MS);
    expect_false!(silence.should_probe(10_000));
    silence.request_sent(10_000);
    expect_false!(silence.should_probe(10_300));
    expect_true!(silence.should_probe(10_500));
    expect_false!(silence.should_probe(10_600));
    silence.request_ended();
    expect_false!(silence.should_probe(60_000));
}

/// One stream was left in a chain whose part exited as planned; passes there took a tenth of a second.
/// A lone request is given several times the usual limit, so the chain was asked when its caller had
/// nearly given up, and the answer was cut: `a chain is silent silent_ms=1718 waiting=1`, `runner
/// counts as dead evidence="connection refused"`, `stream cut given_up="no chain took it in time"
/// silent_ms=1744`. Callers wait two seconds for the next event; half of that must be left.
#[gtest]
fn a_lone_stream_in_a_slow_chain_is_asked_about_while_its_caller_waits() {
    let mut silence = SilenceDetector::new(EVENT_MS);
    silence.request_sent(0);
    let mut now = 0;
    for pause in [80, 120, 95, 150, 100].into_iter().cycle().take(100) {
        now += pause;
        silence.bytes_received(now);
    }
    let asked_at = (now..).find(|at| silence.should_probe(*at));
    expect_that!(asked_at.map(|at| at - now), some(le(1_000)));
}

/// A part of a large fleet is cut off. Every instance finds chains silent and runners dead, and
/// asks them again and again: the reports cost more than what is served. Questions without news
/// become rare; news makes them quick again.
#[gtest]
fn questions_that_bring_no_news_become_rare() {
    let mut silence = SilenceDetector::new(EVENT_MS);
    (0..5).for_each(|_| silence.request_sent(0));
    let asked = (0..30_000)
        .step_by(50)
        .filter(|now| silence.should_probe(*now))
        .count();
    expect_that!(asked, le(9));
    silence.bytes_received(30_000);
    let soon = (30_000..32_000)
        .step_by(50)
        .filter(|now| silence.should_probe(*now))
        .count();
    expect_that!(soon, ge(2));
    let mut runners = Runners::default();
    let entry = runner("a", "east", "l4");
    runners.put(&entry);
    let standing = runners.standing_mut(&entry.id).expect("known");
    let asked = (0..30_000)
        .step_by(50)
        .filter(|now| standing.should_ask(*now, ASK_PAUSE_MS))
        .count();
    expect_that!(asked, le(9));
    standing.asked_anew();
    expect_true!(standing.should_ask(31_000, ASK_PAUSE_MS));
}

/// Two chains with a dead part each: an idle one whose passes took 20 ms, and one that reads long
/// prompts, with passes of 80 to 120 ms. A fixed limit left the first one dead for five passes, or
/// asked the second at every pass. Each is asked after a pause that its own rhythm does not have.
#[gtest]
fn silence_is_measured_by_the_rhythm_of_the_chain() {
    let asked_after = |pauses: &[u64]| {
        let mut silence = SilenceDetector::new(EVENT_MS);
        (0..5).for_each(|_| silence.request_sent(0));
        let mut now = 0;
        let mut asked = 0;
        for pause in pauses.iter().cycle().take(200) {
            for at in now..now + pause {
                asked += usize::from(silence.should_probe(at));
            }
            now += pause;
            silence.bytes_received(now);
        }
        let last = (now..).find(|at| silence.should_probe(*at));
        (asked, last.map_or(0, |at| at - now))
    };
    let (asked, after_ms) = asked_after(&[20, 21, 19]);
    expect_that!(asked, eq(0));
    expect_that!(after_ms, le(60));
    let (asked, after_ms) = asked_after(&[80, 120, 95, 100]);
    expect_that!(asked, le(2));
    expect_that!(after_ms, ge(121));
    expect_that!(after_ms, le(250));
}

/// The processor or the link of a small instance is used up for 50 ms beside a large configuration.
/// No part of its chains answers within the usual few milliseconds; by a fixed time it found all of
/// them dead, told sixty others so, and streams were cut all over the fleet for seconds.
#[gtest]
fn an_instance_that_is_held_up_finds_nobody_dead() {
    let mut round = ProbeRound::new(10);
    expect_false!(round.indicates_dead(29));
    for ms in [24, 26, 30, 31, 31] {
        round.answered(ms);
    }
    expect_false!(round.indicates_dead(60));
    expect_true!(round.indicates_dead(200));
    expect_false!(ProbeRound::new(10).indicates_dead(60_000));
}

/// One part of ten is dead and another answers slowly: the dead one is named while the slow one is
/// still awaited. Where only few have answered nothing is said.
#[gtest]
fn a_dead_part_is_named_by_the_answers_of_half_the_others() {
    let mut round = ProbeRound::new(10);
    for ms in [3, 3, 4, 4] {
        round.answered(ms);
    }
    expect_false!(round.indicates_dead(29));
    round.answered(5);
    expect_true!(round.indicates_dead(29));
    expect_false!(ProbeRound::new(1).indicates_dead(29));
}

/// A runner turns slow and an instance tells the others. A word that took long on its way must not
/// undo what the runner has said since, and what did not change is not told again.
#[gtest]
fn the_newest_word_on_a_pace_holds() {
    let mut runners = Runners::default();
    let entry = runner("a", "east", "l4");
    runners.put(&entry);
    let standing = runners.standing_mut(&entry.id).expect("known");
    expect_true!(standing.set_pace(12.0, 2_000));
    expect_false!(standing.set_pace(1.0, 1_900));
    expect_that!(standing.slowness(), eq(12.0));
    expect_false!(standing.set_pace(12.1, 3_000));
    expect_that!(standing.pace_changed_since(2_500), none());
    expect_true!(standing.set_pace(1.0, 4_000));
    expect_that!(standing.pace_changed_since(3_900), some(eq((1.0, 4_000))));
    // Somebody asked a moment ago and told: no question of one's own is due.
    expect_false!(standing.should_ask(4_300, ASK_PAUSE_MS));
    expect_true!(standing.should_ask(4_700, ASK_PAUSE_MS));
}

/// A runner that was cut off answers one instance again. The others ask as soon as they hear so,
/// though their own next question would be seconds away.
#[gtest]
fn a_runner_that_answers_another_instance_again_is_asked_soon() {
    let mut runners = Runners::default();
    let entry = runner("a", "east", "l4");
    runners.put(&entry);
    let standing = runners.standing_mut(&entry.id).expect("known");
    standing.dead = true;
    (0..5).for_each(|i| {
        standing.should_ask(i * 10_000, ASK_PAUSE_MS);
    });
    expect_false!(standing.should_ask(41_000, ASK_PAUSE_MS));
    standing.ask_soon();
    expect_true!(standing.should_ask(41_000, ASK_PAUSE_MS));
    standing.answers_again(41_010);
    expect_true!(standing.answers_since(41_000));
    expect_false!(standing.answers_since(41_500));
}

#[gtest]
fn only_gaps_far_above_the_declared_ones_are_asked_about() {
    let mut gaps = EventGaps::default();
    for _ in 0..200 {
        gaps.record(0, 60);
    }
    expect_false!(gaps.should_probe(0, 20.0));
    for _ in 0..200 {
        gaps.record(0, 400);
    }
    expect_true!(gaps.should_probe(0, 20.0));
    expect_false!(gaps.should_probe(100, 20.0));
}

/// Looks at a chain that dies after three seconds, until its parts are asked: when that is, and how
/// many looks it took. `next`: when to look again.
fn looks_until_asked(next: impl Fn(u64, Option<u64>) -> u64) -> (u64, usize) {
    const DIES_MS: u64 = 3_000;
    let mut silence = SilenceDetector::new(EVENT_MS);
    silence.request_sent(0);
    silence.request_sent(0);
    let (mut looks, mut look_at) = (0, 0);
    for now in 0..10_000 {
        if now % 60 == 0 && now < DIES_MS {
            silence.bytes_received(now);
        }
        if now >= look_at {
            looks += 1;
            if silence.should_probe(now) && now >= DIES_MS {
                return (now, looks);
            }
            look_at = next(now, silence.due_ms());
        }
    }
    (u64::MAX, looks)
}

/// An instance looks at its chains more often than events come to it.
#[gtest]
fn a_chain_is_looked_at_when_it_may_be_silent() {
    let (often, many) = looks_until_asked(|now, _| now + 8);
    let due = |now: u64, due: Option<u64>| due.unwrap_or(now + 100).clamp(now + 8, now + 100);
    let (when_due, few) = looks_until_asked(due);
    expect_that!(when_due, le(often + 8));
    expect_that!(few * 4, le(many));
    expect_that!(SilenceDetector::new(EVENT_MS).due_ms(), none());
}

/// A chain that got no new requests for its pauses never gets any again.
#[gtest]
fn a_pause_that_nothing_is_seen_of_fades() {
    let mut gaps = EventGaps::default();
    for i in 0..200 {
        gaps.record(i * 300, 300);
    }
    let last = 199 * 300;
    expect_that!(gaps.expected_ms(last), ge(280.0));
    expect_that!(gaps.expected_ms(last + 4_000), le(80.0));
}
