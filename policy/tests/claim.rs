//! Tests of claims: keys, records, sweeping, and single runs of one claim. The exploration of all
//! interleavings is in `claim_interleavings.rs`.

use googletest::prelude::*;
use jacinthweir_policy::claim::*;
use jacinthweir_policy::prelude::*;

/// Creation time of [`UUID`], in Unix milliseconds.
const CREATED_MS: Millis = 0x0190_0000_0000;
const UUID: &str = "01900000-0000-7000-8000-00000000000A";

fn cfg() -> ClaimConfig {
    ClaimConfig::default()
}

fn at(ms: u64) -> Now {
    Now {
        mono_ms: ms,
        unix_ms: CREATED_MS + ms,
    }
}

fn open(deadline_ms: u64) -> (Claim, Vec<Action>) {
    let submission = Submission {
        key: ClaimKey::new("org".into(), UUID).unwrap(),
        claimant: "i".into(),
        incarnation: 1,
        nonce: "n".into(),
        request: "r".into(),
        call: "bookings/confirm".into(),
        body_sha256: "b".into(),
        deadline: at(deadline_ms),
    };
    Claim::open(cfg(), submission, at(0))
}

#[gtest]
fn keys_that_could_escape_the_path_of_the_organisation_are_refused() {
    let key = |text: &str| ClaimKey::new("org".into(), text);
    for bad in ["a/b", "a?b", "a b", "a%2fb", "..", ".", "ä", "a\nb"] {
        expect_that!(key(bad), err(eq(&KeyFault::BadCharacter)), "{bad}");
    }
    expect_that!(key(""), err(eq(&KeyFault::Empty)));
    expect_that!(
        key(&"a".repeat(MAX_KEY_BYTES + 1)),
        err(eq(&KeyFault::TooLong))
    );
    expect_that!(
        key("order-17:2").unwrap().to_string(),
        eq("claims/org/order-17:2")
    );
}

#[gtest]
fn a_uuid_has_one_claim_and_a_creation_time() {
    let key = ClaimKey::new("org".into(), UUID).unwrap();
    expect_that!(
        key.to_string(),
        eq(&format!("claims/org/{}", UUID.to_lowercase()))
    );
    expect_that!(key.created_ms(), some(eq(CREATED_MS)));
    let kept = cfg().retention_ms;
    expect_that!(key.is_expired(CREATED_MS + kept - 1, &cfg()), eq(false));
    expect_that!(key.is_expired(CREATED_MS + kept, &cfg()), eq(true));
    let deletable = CREATED_MS + kept + cfg().margin_ms;
    expect_that!(key.is_deletable(deletable - 1, &cfg()), eq(false));
    expect_that!(key.is_deletable(deletable, &cfg()), eq(true));
    let random = ClaimKey::new("org".into(), &UUID.replace("-7", "-4")).unwrap();
    expect_that!(random.is_deletable(u64::MAX, &cfg()), eq(false));
}

#[gtest]
fn a_sweep_lists_and_deletes_only_claims_of_its_span() {
    let kept = cfg().retention_ms + cfg().margin_ms;
    let now = CREATED_MS + kept + 2 * Sweep::SPAN_MS;
    let spans: Vec<Sweep> = std::iter::successors(Sweep::newest(now, &cfg()), |s| s.before())
        .take(3)
        .collect();
    let path = ClaimKey::new("org".into(), UUID).unwrap().to_string();
    let listed = spans.iter().filter(|s| path.starts_with(&s.prefix("org")));
    expect_that!(listed.count(), eq(1));
    expect_that!(Sweep::may_delete(&path, now, &cfg()), eq(true));
    expect_that!(
        Sweep::may_delete(&path, CREATED_MS + kept - 1, &cfg()),
        eq(false)
    );
    expect_that!(
        Sweep::may_delete("claims/org/019000-order", now, &cfg()),
        eq(false)
    );
    expect_that!(Sweep::may_delete("schema/head", now, &cfg()), eq(false));
}

#[gtest]
fn each_organisation_has_one_sweeper() {
    let instances: Vec<Name> = (0..6).map(|i| format!("entry-{i}").into()).collect();
    let mut counts = [0; 6];
    for org in 0..600 {
        let sweeper = sweeper_of(&format!("org-{org}"), &instances).unwrap();
        counts[instances.iter().position(|i| i == sweeper).unwrap()] += 1;
    }
    expect_that!(counts, each(all![gt(60), lt(140)]));
}

#[gtest]
fn a_record_has_the_whole_body_or_none() {
    let mut finished = Finished::without_answer(Outcome::Answered, "u".into(), 5);
    for body in [&b"plain"[..], &[0, 159, 146, 150][..]] {
        finished.set_body(body);
        let record = ClaimRecord {
            claimant: "i".into(),
            incarnation: 1,
            nonce: "n".into(),
            request: "r".into(),
            call: "c".into(),
            body_sha256: "b".into(),
            deadline_ms: 9,
            state: ClaimState::Finished(finished.clone()),
        };
        let read = ClaimRecord::parse(&record.to_text()).unwrap();
        expect_that!(read, eq(&record));
        expect_that!(finished.body(), some(eq(body)));
    }
    finished.set_body(&vec![b'a'; MAX_RECORDED_BODY_BYTES + 1]);
    expect_that!(finished.body(), none());
}

/// The platform refuses every write. The caller is answered "not run" after the platform time-out,
/// well before its deadline, and a dispatch is refused from then on.
#[gtest]
fn a_platform_outage_is_answered_after_the_timeout_and_fenced() {
    let (mut claim, mut todo) = open(60_000);
    let mut ms = 0;
    let answer = loop {
        match todo.remove(0) {
            Action::Create(_) => {
                todo = claim.step(at(ms), Event::Write(WriteAnswer::NoEffect));
            }
            Action::Pause(until) => {
                ms = until.mono_ms;
                todo = claim.step(at(ms), Event::Timer);
            }
            Action::Answer(answer) => break answer,
            other => panic!("unexpected {other:?}"),
        }
    };
    expect_that!(answer, eq(&Answer::NotRun(NotRunCause::PlatformDown)));
    expect_that!(ms, eq(cfg().platform_timeout_ms));
    expect_that!(claim.begin_dispatch(at(ms)), err(is_empty()));
}

/// An instance is suspended between claim and dispatch and resumes after the caller's deadline. One
/// of its clocks stood still or was set back; only the other one shows the delay. Nothing is sent,
/// the answer is "not run", and the claim is released so that the key can be used again.
#[gtest]
fn a_claimant_that_resumes_late_does_not_dispatch() {
    let resumed_at = [
        Now {
            mono_ms: 1,
            unix_ms: CREATED_MS + 10_000,
        },
        Now {
            mono_ms: 10_000,
            unix_ms: CREATED_MS,
        },
    ];
    for resumed in resumed_at {
        let (mut claim, _) = open(5_000);
        let todo = claim.step(at(1), Event::Write(WriteAnswer::Written(7)));
        expect_that!(todo, elements_are![eq(&Action::Dispatch)]);
        let actions = claim.begin_dispatch(resumed).unwrap_err();
        let not_run = Answer::NotRun(NotRunCause::DeadlinePassed);
        expect_that!(actions[0], eq(&Action::Answer(not_run)));
        let Action::Update { record, version } = &actions[1] else {
            panic!("the claim is not released: {actions:?}");
        };
        expect_that!(record.state, eq(&ClaimState::Released));
        expect_that!(*version, eq(7));
        expect_that!(claim.begin_dispatch(at(2)), err(is_empty()));
    }
}

/// Calls after which a test ends.
const ENDLESS_CALLS: usize = 10_000;

/// Returns the most calls that one claim may make in this time: three in each longest pause.
fn most_calls(ms: u64) -> usize {
    3 * usize::try_from(ms / cfg().max_backoff_ms).unwrap()
}

/// Runs a claim against a platform that answers at once: reads bring a released record of another submission,
/// `create` the given answer, and updates a conflict. Returns its calls.
fn calls_beside_a_stale_record(create: WriteAnswer, deadline_ms: u64) -> usize {
    let (mut claim, mut todo) = open(deadline_ms);
    let record = match &todo[0] {
        Action::Create(record) => ClaimRecord {
            nonce: "other".into(),
            state: ClaimState::Released,
            ..(**record).clone()
        },
        other => panic!("unexpected {other:?}"),
    };
    let (mut ms, mut calls) = (0, 0);
    while !todo.is_empty() && calls < ENDLESS_CALLS {
        let event = match todo.remove(0) {
            Action::Create(_) => Event::Write(create),
            Action::Update { .. } => Event::Write(WriteAnswer::Stale),
            Action::Read => Event::Read(ReadAnswer::Found {
                record: Box::new(record.clone()),
                version: 7,
                claimant_gone: true,
            }),
            Action::Pause(until) => {
                ms = until.mono_ms;
                Event::Timer
            }
            Action::Answer(_) | Action::Over | Action::Dispatch => continue,
        };
        calls += usize::from(!matches!(event, Event::Timer));
        todo.extend(claim.step(at(ms), event));
    }
    calls
}

/// Guards against thousands of calls a second for one claim while a platform answers with an older record.
#[gtest]
fn a_claim_that_gets_no_further_pauses_between_its_calls() {
    // A released claim that cannot be claimed again.
    let reclaims = calls_beside_a_stale_record(WriteAnswer::Stale, 30_000);
    expect_that!(reclaims, le(most_calls(30_000)));
    // A write without an answer that cannot be made void.
    let voids = calls_beside_a_stale_record(WriteAnswer::Lost, 10);
    expect_that!(voids, le(most_calls(cfg().record_timeout_ms)));
}
