//! Tests of the evidence on which an upstream counts as ended under a run.

use std::sync::Arc;

use googletest::prelude::*;
use jacinthweir_kernel::{Kernel, Settings};
use jacinthweir_policy::fingerprint::Fingerprint;
use jacinthweir_policy::listed::{ListedInstance, ListedState};
use jacinthweir_policy::member::{MemberState, Phase};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::prompt_part::PromptPart;
use jacinthweir_policy::quarantine::{BrokenRun, CRASH_THRESHOLD, RunSubject};
use jacinthweir_policy::upstreams::{
    Availability, ConfirmOutcome, Poll, PollKind, PollOutcome, UpstreamsConfig,
};

const GROUP: &str = "runners";
const DOMAIN: &str = "here";
const INCARNATION: u64 = 1;

fn settings() -> Settings {
    let settings = serde_json::json!({
        "name": "one",
        "failure_domain": DOMAIN,
        "listen": { "callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3" },
        "platform": { "address": "127.0.0.1:4" },
        "tokens": { "operators_sha256": "00", "peers": "peers" },
    });
    serde_json::from_value(settings).expect("settings")
}

/// Returns another instance, which observes the same upstreams.
fn observer() -> MemberState {
    let address = "127.0.0.1:5".parse().expect("an address");
    MemberState {
        name: "two".into(),
        incarnation: INCARNATION,
        heartbeat: 0,
        callers: address,
        peers: address,
        operators: address,
        domain: DOMAIN.into(),
        phase: Phase::Serving,
        revision: 0,
        revision_since_ms: 0,
        in_flight: 0,
        capacity: 1_000,
    }
}

fn runner(n: usize, incarnation: u64) -> ListedInstance {
    ListedInstance {
        name: format!("runner-{n}").into(),
        incarnation,
        group: GROUP.into(),
        address: "127.0.0.1:6".parse().expect("an address"),
        domain: DOMAIN.into(),
        state: ListedState::Live,
    }
}

/// Returns an instance with a peer, which knows as many runners as crashes quarantine a message.
fn open_kernel() -> Arc<Kernel> {
    let cx = Kernel::open(settings()).expect("a kernel");
    let list: Vec<ListedInstance> = (0..CRASH_THRESHOLD)
        .map(|n| runner(n, INCARNATION))
        .collect();
    {
        let mut upstreams = cx.upstreams();
        upstreams.set_groups([(GROUP.into(), PollKind::Load)].into());
        upstreams.set_live([observer()].iter());
        upstreams.listed(cx.clock.reading(), &list);
    }
    cx
}

/// Returns the `n`-th request, all of which share a message.
fn subject(n: usize) -> RunSubject {
    let prompt = format!("prompt {n}");
    RunSubject {
        request: Fingerprint::of(None, "", "pipeline", prompt.as_bytes()),
        parts: [PromptPart::named("message")].into(),
    }
}

/// Records that the run of the `n`-th request through the `n`-th runner ended without an answer.
fn break_run(cx: &Kernel, n: usize) {
    let at_ms = 10 * n as Millis;
    cx.record_broken_run(BrokenRun {
        subject: subject(n),
        through: vec![cx.lifetime(&runner(n, INCARNATION).name)],
        seen_by: cx.settings.name.clone(),
        sent_ms: at_ms,
        ran_ms: Some(1),
        at_ms: at_ms + 1,
    });
}

/// Makes two observers suspect the `n`-th runner, whose polls end in `outcome`.
fn suspect(cx: &Kernel, n: usize, outcome: &PollOutcome) {
    let listed = runner(n, INCARNATION);
    let now = cx.clock.reading();
    let poll = Poll {
        name: listed.name.clone(),
        incarnation: INCARNATION,
        address: listed.address,
        kind: PollKind::Load,
        started_ms: now.mono_ms,
    };
    let mut upstreams = cx.upstreams();
    for _ in 0..UpstreamsConfig::default().max_failures {
        for confirm in upstreams.polled(now, &poll, outcome) {
            let peers = ConfirmOutcome::Polled(outcome.clone());
            upstreams.confirmed(now, &confirm, &peers);
        }
    }
    let known = upstreams.get(&listed.name).expect("it is listed");
    expect_that!(upstreams.availability(known), eq(Availability::Suspected));
}

/// Returns whether a new request with the message may be sent.
async fn is_served(cx: &Kernel) -> bool {
    let deadline = cx.clock.now();
    let subject = subject(CRASH_THRESHOLD);
    cx.quarantined_ms(&subject, deadline).await.is_none()
}

/// Guards against counting the silence of sound runners, which two observers suspect meanwhile, as crashes:
/// sound requests with the same message would be refused.
#[gtest]
#[tokio::test]
async fn three_silences_under_a_message_quarantine_nothing() {
    let cx = open_kernel();
    for n in 0..CRASH_THRESHOLD {
        break_run(&cx, n);
        suspect(&cx, n, &PollOutcome::Failed);
    }
    cx.evaluate_quarantine();
    expect_that!(is_served(&cx).await, eq(true));
}

/// Guards against sending a message on to further runners after three that it silenced came back anew.
#[gtest]
#[tokio::test]
async fn three_restarts_under_a_message_quarantine_it() {
    let cx = open_kernel();
    for n in 0..CRASH_THRESHOLD {
        break_run(&cx, n);
        suspect(&cx, n, &PollOutcome::Failed);
    }
    let restarted: Vec<ListedInstance> = (0..CRASH_THRESHOLD)
        .map(|n| runner(n, INCARNATION + 1))
        .collect();
    cx.upstreams().listed(cx.clock.reading(), &restarted);
    cx.evaluate_quarantine();
    expect_that!(is_served(&cx).await, eq(false));
}

/// Guards against sending a message on to further runners after the processes of three have ended under it.
#[gtest]
#[tokio::test]
async fn three_ended_processes_under_a_message_quarantine_it() {
    let cx = open_kernel();
    for n in 0..CRASH_THRESHOLD {
        break_run(&cx, n);
        suspect(&cx, n, &PollOutcome::Refused);
    }
    cx.evaluate_quarantine();
    expect_that!(is_served(&cx).await, eq(false));
}

/// Guards against missing the end of a process that was silent when observers first suspected it.
#[gtest]
#[tokio::test]
async fn processes_that_end_after_a_silence_count_as_crashed() {
    let cx = open_kernel();
    for n in 0..CRASH_THRESHOLD {
        break_run(&cx, n);
        suspect(&cx, n, &PollOutcome::Failed);
        suspect(&cx, n, &PollOutcome::Refused);
    }
    cx.evaluate_quarantine();
    expect_that!(is_served(&cx).await, eq(false));
}
