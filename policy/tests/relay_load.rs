//! Simulations of overload: queueing, refusals, retry delays and chain selection.

use std::collections::VecDeque;

use googletest::prelude::*;
use jacinthweir_policy::relay::chain_selection::{
    ChainCandidate, MAX_FILL, select, select_sampled,
};
use jacinthweir_policy::relay::load_shedding::{ReleaseRate, Shortage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Room of a chain and size of a request in tokens, and its run time and maximum waiting time in
/// milliseconds.
const ROOM: f64 = 100_000.0;
const TOKENS: f64 = 900.0;
const RUNS_MS: u64 = 2_000;
const WAITS_MS: u64 = 250;

/// Result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    refused: usize,
    /// Total waiting time of refused requests.
    waited_ms: u64,
}

/// Simulates one request every `every_ms` for 20 s. With `foresee`, a request that would wait in vain is
/// refused at once.
fn simulate(every_ms: u64, foresee: bool) -> Outcome {
    let mut flow = ReleaseRate::default();
    let mut running: VecDeque<u64> = VecDeque::new();
    let mut queue: VecDeque<u64> = VecDeque::new();
    let mut outcome = Outcome::default();
    for now in 0..20_000 {
        while running.front().is_some_and(|ends| *ends <= now) {
            running.pop_front();
            flow.record_released(now, TOKENS);
        }
        while queue.front().is_some_and(|came| now >= came + WAITS_MS) {
            queue.pop_front();
            outcome.refused += 1;
            outcome.waited_ms += WAITS_MS;
        }
        if now % every_ms == 0 {
            let ahead = queue.len() as f64 * TOKENS;
            if foresee && ahead > flow.expected_release(now, WAITS_MS) {
                outcome.refused += 1;
            } else {
                queue.push_back(now);
            }
        }
        while !queue.is_empty() && (running.len() + 1) as f64 * TOKENS <= ROOM {
            queue.pop_front();
            running.push_back(now + RUNS_MS);
            outcome.served += 1;
        }
    }
    outcome
}

/// Requests arrive at twice the rate that the chains can serve, for 20 s. Without foresight every request
/// waits for half of the latency objective, and most are refused only then. With foresight as many are
/// served, and refused requests have waited for less than half as long.
#[gtest]
fn under_twice_the_load_no_request_waits_in_vain() {
    let blind = simulate(9, false);
    let foreseen = simulate(9, true);
    expect_that!(foreseen.served * 100, ge(blind.served * 98));
    let mean = |o: &Outcome| o.waited_ms as f64 / o.refused.max(1) as f64;
    expect_that!(mean(&blind), ge(200.0));
    expect_that!(mean(&foreseen), le(mean(&blind) / 2.0));
}

/// Below capacity no request is refused, with foresight or without.
#[gtest]
fn below_capacity_no_request_is_refused() {
    expect_that!(simulate(20, true).refused, eq(0));
    expect_that!(simulate(20, false).refused, eq(0));
}

/// A failure domain is lost for 6 s and callers retry once. With a constant retry delay of 1 s to 2 s,
/// callers that are refused in the first 4 s retry during the same shortage and fail. So the delay grows
/// with the shortage, has jitter, and starts again from the minimum with a new shortage.
#[gtest]
fn retry_delays_grow_with_a_shortage() {
    let mut shortage = Shortage::default();
    let first = shortage.record_refused(10_000, 0.0);
    let mut last = first;
    for now in (10_000..16_000).step_by(100) {
        let delay = shortage.record_refused(now, 0.0);
        expect_that!(delay, ge(last));
        last = delay;
    }
    expect_that!(last, ge(2 * first));
    expect_that!(shortage.record_refused(16_000, 0.9), gt(last));
    // A third of the time that a caller has in total.
    expect_that!(last, le(6_600));
    expect_that!(shortage.record_refused(30_000, 0.0), eq(first));
}

/// Chains of each remaining domain, number of remaining domains, and number of domains with callers.
const CHAINS: usize = 4;
const DOMAINS_LEFT: usize = 3;
const DOMAINS: usize = 5;

/// Number of instances, and the interval at which each receives the load of the others, in milliseconds.
const INSTANCES: usize = 300;
const EXCHANGE_MS: u64 = 1_000;

/// Returns the maximum fill of any chain, as a share of its room, if each instance selects by the load that
/// it received last; 400 requests per second arrive, three fifths of the capacity.
fn fullest(mut choice: impl FnMut(&[ChainCandidate]) -> Option<usize>) -> f64 {
    let chains = CHAINS * DOMAINS_LEFT;
    let mut used = vec![0.0; chains];
    let mut known = vec![used.clone(); INSTANCES];
    let mut running: VecDeque<(u64, usize)> = VecDeque::new();
    let mut fullest: f64 = 0.0;
    let mut came = 0;
    for now in 0..20_000 {
        while running.front().is_some_and(|(ends, _)| *ends <= now) {
            let (_, chain) = running.pop_front().expect("a request");
            used[chain] -= TOKENS;
        }
        for (i, view) in known.iter_mut().enumerate() {
            if (now + i as u64 * 7).is_multiple_of(EXCHANGE_MS) {
                view.clone_from(&used);
            }
        }
        while came < now * 400 / 1_000 {
            came += 1;
            let instance = came as usize * 7 % INSTANCES;
            let room = |chain: usize| ChainCandidate {
                chain,
                near: chain / CHAINS == instance % DOMAINS,
                room_tokens: ROOM,
                used_tokens: known[instance][chain],
                silent_ms: 0,
                backing_off: false,
                gap_share: 0.0,
                event_ms: 50.0,
            };
            let candidates: Vec<ChainCandidate> = (0..chains).map(room).collect();
            if let Some(chain) = choice(&candidates) {
                used[chain] += TOKENS;
                known[instance][chain] += TOKENS;
                running.push_back((now + RUNS_MS, chain));
            }
        }
        let now_fullest = used.iter().copied().fold(0.0, f64::max) / ROOM;
        fullest = fullest.max(now_fullest);
    }
    fullest
}

/// Instances that learn each other's load late would fill one chain beyond its room while others are half
/// empty.
#[gtest]
fn many_instances_do_not_all_select_the_least_loaded_chain() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let least_loaded = fullest(|candidates| select(candidates, TOKENS, MAX_FILL));
    let sampled =
        fullest(|candidates| select_sampled(candidates, TOKENS, MAX_FILL, 300, || rng.random()));
    expect_that!(least_loaded, ge(1.5));
    expect_that!(sampled, le(1.0));
}

/// A small fleet has to select the least loaded chain, not a random one.
#[gtest]
fn few_instances_select_the_least_loaded_chain() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for used in 1..20 {
        let room = |chain: usize| ChainCandidate {
            chain,
            near: chain == 0,
            room_tokens: ROOM,
            used_tokens: 4_000.0 * ((chain * used) % 7) as f64,
            silent_ms: 0,
            backing_off: false,
            gap_share: 0.0,
            event_ms: 50.0,
        };
        let candidates: Vec<ChainCandidate> = (0..8).map(room).collect();
        let sampled = select_sampled(&candidates, TOKENS, MAX_FILL, 6, || rng.random());
        expect_that!(sampled, eq(select(&candidates, TOKENS, MAX_FILL)));
    }
}

/// Returns the inter-token gap of a chain with `streams` concurrent streams, in milliseconds; every third
/// chain is three times slower than the others.
fn gap_ms(chain: usize, streams: usize) -> f64 {
    let alone = if chain.is_multiple_of(3) { 170.0 } else { 55.0 };
    alone * (1.0 + streams as f64 / 50.0)
}

/// Gap objective in milliseconds, and number of events of a stream.
const LATE_MS: f64 = 300.0;
const EVENTS: f64 = 40.0;

/// Returns the share of streams that exceed the gap objective, with 120 streams per second to twelve chains
/// for 20 s. With `gaps_known`, selection knows the gaps, with a delay of 0.5 s.
fn late_share(gaps_known: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let chains = CHAINS * DOMAINS_LEFT;
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut streams = vec![0; chains];
    let mut known_gaps = vec![0.0; chains];
    let (mut came, mut late) = (0_u32, 0_u32);
    for now in 0..20_000_u64 {
        running.retain(|(ends, chain)| {
            let over = *ends <= now;
            streams[*chain] -= usize::from(over);
            !over
        });
        if now.is_multiple_of(500) && gaps_known {
            known_gaps = (0..chains).map(|c| gap_ms(c, streams[c])).collect();
        }
        if now * 120 / 1_000 == u64::from(came) {
            continue;
        }
        came += 1;
        let room = |chain: usize| ChainCandidate {
            chain,
            near: chain / CHAINS == came as usize % DOMAINS,
            room_tokens: ROOM,
            used_tokens: streams[chain] as f64 * TOKENS,
            silent_ms: 0,
            backing_off: false,
            gap_share: known_gaps[chain] / LATE_MS,
            event_ms: 50.0,
        };
        let candidates: Vec<ChainCandidate> = (0..chains).map(room).collect();
        if let Some(chain) = select_sampled(&candidates, TOKENS, MAX_FILL, 300, || rng.random()) {
            streams[chain] += 1;
            let gap = gap_ms(chain, streams[chain]);
            late += u32::from(gap > LATE_MS);
            running.push((now + (gap * EVENTS) as u64, chain));
        }
    }
    f64::from(late) / f64::from(came)
}

/// A slow chain that is filled as far as fast ones exceeds the gap objective on nearly all of its streams.
#[gtest]
fn a_slow_chain_gets_no_more_than_it_serves_in_time() {
    let by_room = late_share(false);
    let by_gap = late_share(true);
    expect_that!(by_room, ge(0.1));
    expect_that!(by_gap, le(by_room / 4.0));
}
