//! Admission: who goes on, who waits, who is refused.

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
fn one_goes_on_the_next_waits_and_one_too_late_is_refused() {
    let (mut admission, mut rng) = open(100.0, 1);
    let first = admission.offer(0, ticket(1, 0, 10_000), &mut rng);
    let second = admission.offer(0, ticket(2, 0, 10_000), &mut rng);
    // Two requests of 100 tokens at 100 tokens a second: 2 s, beyond a deadline of 1.5 s.
    let third = admission.offer(0, ticket(3, 0, 1_500), &mut rng);
    expect_that!(first, eq(Decision::Admit));
    expect_that!(second, eq(Decision::Queue));
    let Decision::Refuse(refusal) = third else {
        return fail!("expected a refusal, got {third:?}").unwrap();
    };
    expect_that!(refusal.code, eq(RefuseCode::Overloaded));
    expect_that!(refusal.retry_after_ms, ge(2_000));
    let seen = Seen {
        latency_ms: 1_000,
        tokens: 100,
    };
    admission.release(1_000, Slot(1), seen);
    expect_that!(
        admission.poll(1_000, &mut rng),
        elements_are![eq(&Action::Admit(Slot(2)))]
    );
}

#[gtest]
fn a_waiting_request_is_refused_once_its_deadline_is_out_of_reach() {
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
