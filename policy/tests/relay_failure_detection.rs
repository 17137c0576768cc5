//! Failure detection by silence, slow events and probes.

#[path = "support/relay.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use googletest::prelude::*;
use jacinthweir_policy::relay::runners::{PROBE_INTERVAL_MS, Runners};
use jacinthweir_policy::relay::silence::{EventGaps, Evidence, ProbeRound, SilenceDetector};
use support::runner;

/// Declared interval between two events, in milliseconds.
const EVENT_MS: f64 = 20.0;

/// A runner of a chain fails. Callers count an answer as late after 200 ms without an event and
/// give up after two seconds, but the first runner reports its dead neighbour only after 2.5 s.
/// Silence of the whole chain while several requests wait must therefore trigger a probe. A chain
/// with bytes every 120 ms is slow, not dead, and is probed once at most.
#[gtest]
fn a_silent_chain_is_probed_at_once_and_a_slow_one_only_once() {
    let mut silent = SilenceDetector::new(EVENT_MS);
    let mut slow = SilenceDetector::new(EVENT_MS);
    for _ in 0..5 {
        silent.request_sent(0);
        slow.request_sent(0);
    }
    let mut probed_at = None;
    let mut slow_probes = 0;
    for now in (0..4_000).step_by(20) {
        if now % 120 == 0 {
            slow.bytes_received(now);
        }
        slow_probes += usize::from(slow.should_probe(now, Evidence::Usual));
        if silent.should_probe(now, Evidence::Usual) && probed_at.is_none() {
            probed_at = Some(now);
        }
    }
    expect_that!(probed_at, some(le(100)));
    expect_that!(slow_probes, le(1));
}

/// A chain pauses once for 400 ms because of a retransmitted packet, then a runner fails. The long
/// interval must not delay the probe by as much.
#[gtest]
fn one_long_interval_does_not_delay_the_next_detection() {
    let mut silence = SilenceDetector::new(EVENT_MS);
    (0..5).for_each(|_| silence.request_sent(0));
    silence.bytes_received(400);
    silence.bytes_received(430);
    let probed_at = (430..2_000).find(|now| silence.should_probe(*now, Evidence::Usual));
    expect_that!(probed_at, some(le(700)));
}

#[gtest]
fn a_single_waiting_request_gets_a_longer_limit_and_an_idle_chain_is_not_silent() {
    let mut silence = SilenceDetector::new(EVENT_MS);
    expect_false!(silence.should_probe(10_000, Evidence::Usual));
    silence.request_sent(10_000);
    expect_false!(silence.should_probe(10_300, Evidence::Usual));
    expect_true!(silence.should_probe(10_500, Evidence::Usual));
    expect_false!(silence.should_probe(10_600, Evidence::Usual));
    silence.request_ended();
    expect_false!(silence.should_probe(60_000, Evidence::Usual));
}

/// A single stream is left in a chain with passes of 100 ms when a runner exits. With a multiple of
/// the usual limit as the only bound, the chain was probed after 1,718 ms of silence and the stream
/// was cut at 1,744 ms. Callers wait two seconds for the next event; half of that must remain for a
/// new run.
#[gtest]
fn a_slow_chain_with_a_single_stream_is_probed_while_its_caller_waits() {
    let mut silence = SilenceDetector::new(EVENT_MS);
    silence.request_sent(0);
    let mut now = 0;
    for interval in [80, 120, 95, 150, 100].into_iter().cycle().take(100) {
        now += interval;
        silence.bytes_received(now);
    }
    let probed_at = (now..).find(|at| silence.should_probe(*at, Evidence::Usual));
    expect_that!(probed_at.map(|at| at - now), some(le(1_000)));
}

/// In a partition of a large fleet every instance finds chains silent and runners dead. Repeated
/// probes cost more than the requests served. Probes without an answer back off exponentially, and
/// an answer or bytes reset the backoff.
#[gtest]
fn probes_back_off_until_a_runner_answers() {
    let mut silence = SilenceDetector::new(EVENT_MS);
    (0..5).for_each(|_| silence.request_sent(0));
    let probes = (0..30_000)
        .step_by(50)
        .filter(|now| silence.should_probe(*now, Evidence::Usual))
        .count();
    expect_that!(probes, le(9));
    silence.bytes_received(30_000);
    let soon = (30_000..32_000)
        .step_by(50)
        .filter(|now| silence.should_probe(*now, Evidence::Usual))
        .count();
    expect_that!(soon, ge(2));
    let mut runners = Runners::default();
    let entry = runner("a", "east", "l4");
    runners.put(&entry);
    let health = runners.health_mut(&entry.id).expect("known");
    let probes = (0..30_000)
        .step_by(50)
        .filter(|now| health.should_probe(*now, PROBE_INTERVAL_MS))
        .count();
    expect_that!(probes, le(9));
    health.reset_probe_backoff();
    expect_true!(health.should_probe(31_000, PROBE_INTERVAL_MS));
}

/// A runner fails in an idle chain with passes of 20 ms, and in one in prefill with passes of 80 to
/// 120 ms. A fixed limit detected the first failure only after five passes, or probed the second
/// chain at every pass. Each chain must be probed after an interval that is unusual for it.
#[gtest]
fn the_limit_follows_the_pass_interval_of_the_chain() {
    let probed_after = |intervals: &[u64]| {
        let mut silence = SilenceDetector::new(EVENT_MS);
        (0..5).for_each(|_| silence.request_sent(0));
        let mut now = 0;
        let mut probes = 0;
        for interval in intervals.iter().cycle().take(200) {
            for at in now..now + interval {
                probes += usize::from(silence.should_probe(at, Evidence::Usual));
            }
            now += interval;
            silence.bytes_received(now);
        }
        let last = (now..).find(|at| silence.should_probe(*at, Evidence::Usual));
        (probes, last.map_or(0, |at| at - now))
    };
    let (probes, after_ms) = probed_after(&[20, 21, 19]);
    expect_that!(probes, eq(0));
    expect_that!(after_ms, le(60));
    let (probes, after_ms) = probed_after(&[80, 120, 95, 100]);
    expect_that!(probes, le(2));
    expect_that!(after_ms, ge(121));
    expect_that!(after_ms, le(250));
}

/// The CPU or link of a small instance is saturated for 50 ms by a large configuration, and no
/// runner answers within the usual few milliseconds. With a fixed timeout the instance found all of
/// them dead and reported them to sixty others, and streams were cut all over the fleet for
/// seconds.
#[gtest]
fn an_overloaded_instance_finds_no_runner_dead() {
    let mut round = ProbeRound::new(10);
    expect_false!(round.indicates_dead(29));
    for ms in [24, 26, 30, 31, 31] {
        round.answered(ms);
    }
    expect_false!(round.indicates_dead(60));
    expect_true!(round.indicates_dead(200));
    expect_false!(ProbeRound::new(10).indicates_dead(60_000));
}

/// One runner of ten is dead and another one slow: the dead one must be found while the answer of
/// the slow one is still outstanding. With too few answers no runner is found dead.
#[gtest]
fn answers_of_half_the_runners_reveal_a_dead_one() {
    let mut round = ProbeRound::new(10);
    for ms in [3, 3, 4, 4] {
        round.answered(ms);
    }
    expect_false!(round.indicates_dead(29));
    round.answered(5);
    expect_true!(round.indicates_dead(29));
    expect_false!(ProbeRound::new(1).indicates_dead(29));
}

/// A runner turns slow and an instance reports it. A delayed report must not overwrite a newer
/// pace, and an unchanged pace is not reported again.
#[gtest]
fn the_newest_report_of_a_pace_wins() {
    let mut runners = Runners::default();
    let entry = runner("a", "east", "l4");
    runners.put(&entry);
    let health = runners.health_mut(&entry.id).expect("known");
    expect_true!(health.set_pace(12.0, 2_000));
    expect_false!(health.set_pace(1.0, 1_900));
    expect_that!(health.slowness(), eq(12.0));
    expect_false!(health.set_pace(12.1, 3_000));
    expect_that!(health.pace_changed_since(2_500), none());
    expect_true!(health.set_pace(1.0, 4_000));
    expect_that!(health.pace_changed_since(3_900), some(eq((1.0, 4_000))));
    // Another instance probed it a moment ago and shared the result, so no probe is due.
    expect_false!(health.should_probe(4_300, PROBE_INTERVAL_MS));
    expect_true!(health.should_probe(4_700, PROBE_INTERVAL_MS));
}

/// A runner that was partitioned answers one instance again. The others must probe it as soon as
/// they learn of that, although their own next probe would be seconds away.
#[gtest]
fn a_runner_that_recovered_elsewhere_is_probed_soon() {
    let mut runners = Runners::default();
    let entry = runner("a", "east", "l4");
    runners.put(&entry);
    let health = runners.health_mut(&entry.id).expect("known");
    health.dead = true;
    (0..5).for_each(|i| {
        health.should_probe(i * 10_000, PROBE_INTERVAL_MS);
    });
    expect_false!(health.should_probe(41_000, PROBE_INTERVAL_MS));
    health.probe_soon();
    expect_true!(health.should_probe(41_000, PROBE_INTERVAL_MS));
    health.mark_recovered(41_010);
    expect_true!(health.recovered_since(41_000));
    expect_false!(health.recovered_since(41_500));
}

#[gtest]
fn only_gaps_far_above_the_declared_ones_trigger_a_probe() {
    let mut gaps = EventGaps::default();
    for _ in 0..200 {
        gaps.record(0, 60);
    }
    expect_false!(gaps.should_probe(0, 20.0, Evidence::Usual));
    for _ in 0..200 {
        gaps.record(0, 400);
    }
    expect_true!(gaps.should_probe(0, 20.0, Evidence::Usual));
    expect_false!(gaps.should_probe(100, 20.0, Evidence::Usual));
}

/// Checks a chain that fails after three seconds until its stages are probed. Returns when that is,
/// and the number of checks. `next` returns the time of the next check.
fn checks_until_probed(next: impl Fn(u64, Option<u64>) -> u64) -> (u64, usize) {
    const FAILS_MS: u64 = 3_000;
    let mut silence = SilenceDetector::new(EVENT_MS);
    silence.request_sent(0);
    silence.request_sent(0);
    let (mut checks, mut check_at) = (0, 0);
    for now in 0..10_000 {
        if now % 60 == 0 && now < FAILS_MS {
            silence.bytes_received(now);
        }
        if now >= check_at {
            checks += 1;
            if silence.should_probe(now, Evidence::Usual) && now >= FAILS_MS {
                return (now, checks);
            }
            check_at = next(now, silence.due_ms(Evidence::Usual));
        }
    }
    (u64::MAX, checks)
}

/// Guards against an instance checking its chains more often than events arrive.
#[gtest]
fn a_chain_is_checked_only_when_it_may_be_silent() {
    let (polled_ms, polled_checks) = checks_until_probed(|now, _| now + 8);
    let due = |now: u64, due: Option<u64>| due.unwrap_or(now + 100).clamp(now + 8, now + 100);
    let (due_ms, due_checks) = checks_until_probed(due);
    expect_that!(due_ms, le(polled_ms + 8));
    expect_that!(due_checks * 4, le(polled_checks));
    expect_that!(
        SilenceDetector::new(EVENT_MS).due_ms(Evidence::Usual),
        none()
    );
}

/// Guards against a chain that gets no requests because of its gaps never getting any again.
#[gtest]
fn the_expected_gap_decays_without_events() {
    let mut gaps = EventGaps::default();
    for i in 0..200 {
        gaps.record(i * 300, 300);
    }
    let last = 199 * 300;
    expect_that!(gaps.expected_ms(last), ge(280.0));
    expect_that!(gaps.expected_ms(last + 4_000), le(80.0));
}

/// Evidence for a chain of an overloaded service, with a declared gap of 60 ms at its occupancy.
const OVERLOAD: Evidence = Evidence::Overload {
    occupied_gap_ms: 60.0,
};

/// Returns the silence after which a chain with passes of 20 ms and `waiting` requests is probed.
fn probed_after_ms(waiting: usize, evidence: Evidence) -> u64 {
    let mut silence = SilenceDetector::new(EVENT_MS);
    (0..waiting).for_each(|_| silence.request_sent(0));
    for now in (20..=2_000).step_by(20) {
        silence.bytes_received(now);
    }
    let probed_at = (2_000..).find(|at| silence.should_probe(*at, evidence));
    probed_at.map_or(0, |at| at - 2_000)
}

/// Guards against probes of the living runners of full chains, which add to an overload, and against a
/// dead runner that is found only after the callers of its chain have left.
#[gtest]
fn a_silence_is_twice_as_long_in_overload_and_still_ends_in_a_probe() {
    let usual = probed_after_ms(5, Evidence::Usual);
    let overload = probed_after_ms(5, OVERLOAD);
    expect_that!(overload, eq(usual * 2));
    expect_that!(overload, le(200));
    // A single request may wait through the prefill of others, but its caller does not wait longer.
    expect_that!(probed_after_ms(1, OVERLOAD), le(600));
}

/// Guards against connections over a lost path that are kept longer because the service is overloaded.
#[gtest]
fn overload_does_not_delay_the_interruption_on_a_lost_path() {
    let mut silence = SilenceDetector::new(EVENT_MS);
    (0..5).for_each(|_| silence.request_sent(0));
    expect_false!(silence.should_probe(90, OVERLOAD));
    expect_true!(silence.is_disconnected(250));
}

/// Guards against probes of full chains whose gaps are those declared for their occupancy.
#[gtest]
fn in_overload_gaps_are_compared_with_those_declared_for_the_occupancy() {
    let gaps_of = |ms: u64| {
        let mut gaps = EventGaps::default();
        (0..400).for_each(|_| gaps.record(0, ms));
        gaps
    };
    let (idle_ms, full) = (
        10.0,
        Evidence::Overload {
            occupied_gap_ms: 100.0,
        },
    );
    expect_true!(gaps_of(150).should_probe(0, idle_ms, Evidence::Usual));
    expect_false!(gaps_of(190).should_probe(0, idle_ms, full));
    expect_true!(gaps_of(210).should_probe(0, idle_ms, full));
    // An almost empty chain is not probed for less than without overload.
    let empty = Evidence::Overload {
        occupied_gap_ms: 20.0,
    };
    expect_false!(gaps_of(110).should_probe(0, 20.0, empty));
    expect_true!(gaps_of(130).should_probe(0, 20.0, empty));
}
