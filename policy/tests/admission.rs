//! Tests of admission control: which requests are admitted, queued and refused.

use cranelift_entity::EntityRef;
use googletest::prelude::*;
use jacinthweir_policy::admission::*;
use jacinthweir_policy::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn ticket(slot: u64, org: usize, deadline: Millis) -> Ticket {
    Ticket {
        slot: Slot(slot),
        org: OrgId::new(org),
        weight: 1,
        pipeline: PipelineId::new(0),
        priority: 3,
        cost_tokens: 100,
        deadline,
        work: Work::New,
    }
}

fn open(tokens_per_s: f64, in_flight: u32) -> (Admission, ChaCha8Rng) {
    let mut admission = Admission::new(AdmissionConfig::default());
    admission.set_capacity(0, PipelineId::new(0), tokens_per_s, in_flight);
    (admission, ChaCha8Rng::seed_from_u64(1))
}

#[gtest]
fn requests_are_admitted_queued_or_refused_by_limit_and_deadline() {
    let (mut admission, mut rng) = open(100.0, 1);
    let first = admission.offer(0, ticket(1, 0, 10_000), &mut rng);
    let second = admission.offer(0, ticket(2, 0, 10_000), &mut rng);
    // Two requests of 100 tokens at 100 tokens per second take 2 s, beyond the deadline of 1.5 s.
    let third = admission.offer(0, ticket(3, 0, 1_500), &mut rng);
    expect_that!(first, eq(Decision::Admit));
    expect_that!(second, eq(Decision::Queue));
    let Decision::Refuse(refusal) = third else {
        return fail!("expected a refusal, got {third:?}").unwrap();
    };
    expect_that!(refusal.code, eq(RefuseCode::Overloaded));
    expect_that!(refusal.retry_after_ms, ge(2_000));
    let measurement = Measurement {
        latency_ms: 1_000,
        tokens: 100,
    };
    admission.release(1_000, Slot(1), measurement);
    expect_that!(
        admission.poll(1_000, &mut rng),
        elements_are![eq(&Action::Admit(Slot(2)))]
    );
}

#[gtest]
fn a_queued_request_is_refused_once_it_cannot_meet_its_deadline() {
    let (mut admission, mut rng) = open(100.0, 1);
    let _ = admission.offer(0, ticket(1, 0, 10_000), &mut rng);
    let _ = admission.offer(0, ticket(2, 0, 5_000), &mut rng);
    expect_that!(admission.poll(5_000, &mut rng), is_empty());
    expect_that!(admission.next_poll(), some(eq(5_001)));
    let actions = admission.poll(5_001, &mut rng);
    expect_that!(
        actions,
        elements_are![matches_pattern!(Action::Refuse {
            slot: eq(&Slot(2)),
            ..
        })]
    );
    expect_that!(admission.queued(), eq(0));
}

/// Half of a pipeline's runners fail while requests are queued. Requests that can't meet their
/// deadlines any more are refused at once, not at their deadlines; the rest stays queued.
#[gtest]
fn a_reduced_bound_refuses_infeasible_requests_at_once() {
    let (mut admission, mut rng) = open(100.0, 1);
    for slot in 1..=6 {
        let _ = admission.offer(0, ticket(slot, 0, 6_500), &mut rng);
    }
    expect_that!(admission.queued(), eq(5));
    admission.set_capacity(0, PipelineId::new(0), 50.0, 1);
    let refused: Vec<Slot> = admission
        .poll(0, &mut rng)
        .iter()
        .filter_map(|action| match action {
            Action::Refuse { slot, .. } => Some(*slot),
            Action::Admit(_) => None,
        })
        .collect();
    expect_that!(refused, elements_are![eq(&Slot(6))]);
}

/// Work that is resumed after a failover takes precedence over new work of any priority, and is not
/// counted against its organisation's limit again.
#[gtest]
fn resumed_work_is_admitted_first() {
    let (mut admission, mut rng) = open(100.0, 1);
    let urgent = Ticket {
        priority: 0,
        ..ticket(2, 0, 60_000)
    };
    let resumed = Ticket {
        work: Work::Resumed,
        priority: 9,
        ..ticket(3, 1, 60_000)
    };
    admission.set_share(OrgId::new(1), Some(0));
    let _ = admission.offer(0, ticket(1, 0, 60_000), &mut rng);
    expect_that!(admission.offer(0, urgent, &mut rng), eq(Decision::Queue));
    expect_that!(admission.offer(0, resumed, &mut rng), eq(Decision::Queue));
    admission.release(10, Slot(1), Measurement::default());
    expect_that!(
        admission.poll(10, &mut rng),
        elements_are![eq(&Action::Admit(Slot(3)))]
    );
}

/// A hundred callers are refused at the same moment. Their retry times are spread over the time
/// that their own work takes.
#[gtest]
fn retries_of_refused_callers_are_spread() {
    let (mut admission, mut rng) = open(100.0, 1);
    let _ = admission.offer(0, ticket(0, 0, 60_000), &mut rng);
    let mut times = Vec::new();
    for slot in 1..=100 {
        if let Decision::Refuse(refusal) = admission.offer(0, ticket(slot, 0, 900), &mut rng) {
            times.push(refusal.retry_after_ms);
        }
    }
    expect_that!(times, len(eq(100)));
    times.sort_unstable();
    let max_per_second = times
        .iter()
        .map(|t| {
            times
                .iter()
                .filter(|u| **u >= *t && **u < t + 1_000)
                .count()
        })
        .max();
    expect_that!(max_per_second, some(le(15)));
}

/// With the same demand figures, the shares of six instances add up to an organisation's limit
/// within one request each. An instance that knows only its own demand takes the whole limit.
#[gtest]
fn shares_add_up_to_the_limit() {
    let demands = [0, 0, 1, 5, 20, 40];
    let all: u32 = demands.iter().sum();
    let demand = |own| Demand {
        own,
        all,
        instances: 6,
    };
    let sum: u32 = demands.iter().map(|own| share_of(60, demand(*own))).sum();
    expect_that!(sum, all![ge(54), le(66)]);
    let alone = Demand {
        own: 9,
        all: 9,
        instances: 1,
    };
    expect_that!(share_of(60, alone), eq(60));
}
