//! Simulations of chain selection among chains of unequal speed: who gets the work, and how it moves
//! when the speeds or the requests change.

use googletest::prelude::*;
use jacinthweir_policy::relay::chain_selection::{ChainCandidate, MAX_FILL, select_sampled};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two events of each chain without load, in milliseconds, and its failure domain.
const CHAINS: [(f64, usize); 11] = [
    (18.0, 0),
    (29.0, 0),
    (59.0, 0),
    (82.0, 0),
    (17.0, 1),
    (29.0, 1),
    (29.0, 1),
    (40.0, 1),
    (12.0, 2),
    (23.0, 2),
    (59.0, 2),
];

/// Room of a chain and size of a request, in tokens.
const ROOM: f64 = 107_000.0;
const TOKENS: f64 = 900.0;

/// Streams in a chain at which its events take twice as long as without load.
const DOUBLED_AT: f64 = 95.0;

const INSTANCES: usize = 90;
const DOMAINS: usize = 3;

/// Interval at which an instance receives the load of the others, in milliseconds.
const EXCHANGE_MS: u64 = 300;

/// Requests per second at the worst load, and events of a stream.
const RATE: u64 = 280;
const EVENTS: f64 = 46.0;

/// What instances assume of the time between two events of a chain.
#[derive(Clone, Copy, PartialEq)]
enum Known {
    /// The same for all chains.
    Nothing,
    /// The time under the load that they know of.
    Speed,
    /// The same, off by up to a fifth at random.
    NoisySpeed,
}

struct Fleet {
    rng: ChaCha8Rng,
    known: Known,
    /// Factor on the time between events of each chain, and the tokens of a new request.
    slowdown: [f64; CHAINS.len()],
    tokens: f64,
    /// Failure domain that is lost.
    lost: Option<usize>,
    /// Streams in flight: end, chain and tokens.
    running: Vec<(u64, usize, f64)>,
    used: [f64; CHAINS.len()],
    /// Load that each instance received last.
    received: Vec<[f64; CHAINS.len()]>,
    now: u64,
    sent: u64,
    refused: u64,
    taken: [u64; CHAINS.len()],
    /// Sum over milliseconds of the streams in flight, and the highest fill of a chain.
    stream_ms: usize,
    fullest: f64,
}

impl Fleet {
    fn new(known: Known) -> Fleet {
        Fleet {
            rng: ChaCha8Rng::seed_from_u64(7),
            known,
            slowdown: [1.0; CHAINS.len()],
            tokens: TOKENS,
            lost: None,
            running: Vec::new(),
            used: [0.0; CHAINS.len()],
            received: vec![[0.0; CHAINS.len()]; INSTANCES],
            now: 0,
            sent: 0,
            refused: 0,
            taken: [0; CHAINS.len()],
            stream_ms: 0,
            fullest: 0.0,
        }
    }

    fn event_ms(&self, chain: usize, used: f64) -> f64 {
        CHAINS[chain].0 * self.slowdown[chain] * (1.0 + used / TOKENS / DOUBLED_AT)
    }

    /// Simulates `ms` milliseconds, and counts anew.
    fn run(&mut self, ms: u64) {
        (self.refused, self.stream_ms, self.fullest) = (0, 0, 0.0);
        self.taken = [0; CHAINS.len()];
        for _ in 0..ms {
            self.end_streams();
            self.exchange();
            if self.now * RATE / 1_000 > self.sent {
                self.sent += 1;
                self.request();
            }
            self.stream_ms += self.running.len();
            let fullest = self.used.iter().copied().fold(0.0, f64::max) / ROOM;
            self.fullest = self.fullest.max(fullest);
            self.now += 1;
        }
    }

    fn end_streams(&mut self) {
        let now = self.now;
        let ended = self.running.extract_if(.., |(ends, ..)| *ends <= now);
        for (_, chain, tokens) in ended {
            self.used[chain] -= tokens;
        }
    }

    fn exchange(&mut self) {
        for (i, received) in self.received.iter_mut().enumerate() {
            if (self.now + i as u64 * 7).is_multiple_of(EXCHANGE_MS) {
                *received = self.used;
            }
        }
    }

    fn request(&mut self) {
        let instance = self.rng.random_range(0..INSTANCES);
        let left = |chain: &usize| Some(CHAINS[*chain].1) != self.lost;
        let chains: Vec<usize> = (0..CHAINS.len()).filter(left).collect();
        let candidates: Vec<ChainCandidate> = chains
            .into_iter()
            .map(|chain| self.candidate(instance, chain))
            .collect();
        let rng = &mut self.rng;
        let draw = || rng.random();
        let chosen = select_sampled(&candidates, self.tokens, MAX_FILL, INSTANCES, draw);
        let Some(chain) = chosen else {
            self.refused += 1;
            return;
        };
        self.used[chain] += self.tokens;
        self.received[instance][chain] += self.tokens;
        self.taken[chain] += 1;
        let takes_ms = EVENTS * self.event_ms(chain, self.used[chain]);
        self.running
            .push((self.now + takes_ms as u64, chain, self.tokens));
    }

    fn candidate(&mut self, instance: usize, chain: usize) -> ChainCandidate {
        let used_tokens = self.received[instance][chain];
        let event_ms = match self.known {
            Known::Nothing => 40.0,
            Known::Speed => self.event_ms(chain, used_tokens),
            Known::NoisySpeed => {
                self.event_ms(chain, used_tokens) * self.rng.random_range(0.8..1.2)
            }
        };
        ChainCandidate {
            chain,
            near: CHAINS[chain].1 == instance % DOMAINS,
            room_tokens: ROOM,
            used_tokens,
            silent_ms: 0,
            backing_off: false,
            gap_share: 0.0,
            event_ms,
        }
    }

    /// Returns the share of the requests that a chain took.
    fn share(&self, chain: usize) -> f64 {
        self.taken[chain] as f64 / self.taken.iter().sum::<u64>() as f64
    }
}

/// Streams in flight when all instances are lost are late. Slow chains that were filled as far as
/// fast ones kept twice as many streams in flight as the load needs.
#[gtest]
fn fewer_streams_are_in_flight_when_fast_chains_are_preferred() {
    let in_flight = |known: Known| {
        let mut fleet = Fleet::new(known);
        fleet.run(10_000);
        fleet.run(20_000);
        expect_that!(fleet.refused, eq(0));
        expect_that!(fleet.fullest, le(MAX_FILL));
        fleet.stream_ms
    };
    let (by_room, by_speed) = (in_flight(Known::Nothing), in_flight(Known::Speed));
    expect_that!(by_speed as f64, le(by_room as f64 * 0.8));
}

/// The fastest chain becomes five times slower in the middle of the day. Its streams would be in
/// flight for as long as those of the slowest chains, and most new ones would follow them.
#[gtest]
fn work_leaves_a_chain_that_becomes_slow_and_returns_to_it() {
    let mut fleet = Fleet::new(Known::Speed);
    fleet.run(10_000);
    let fast = fleet.share(8);
    fleet.slowdown[8] = 5.0;
    fleet.run(2_000);
    expect_that!(fleet.share(8), le(fast / 3.0));
    fleet.slowdown[8] = 1.0;
    fleet.run(5_000);
    fleet.run(5_000);
    expect_that!(fleet.share(8), ge(fast * 0.8));
}

/// Prompts and answers become half as long again in the middle of the day: more room for as many
/// requests. The fast chains must not be filled beyond their room for it.
#[gtest]
fn longer_requests_spread_to_slower_chains() {
    let mut fleet = Fleet::new(Known::Speed);
    fleet.run(10_000);
    let slow = fleet.share(3) + fleet.share(10);
    fleet.tokens = 1.5 * TOKENS;
    fleet.run(10_000);
    expect_that!(fleet.refused, eq(0));
    expect_that!(fleet.fullest, le(MAX_FILL));
    expect_that!(fleet.share(3) + fleet.share(10), ge(slow));
}

/// A failure domain is lost under high load, and the others need nearly all their room. Work that
/// preferred fast chains must not overfill them, since loads are known late, while slow ones have
/// room left.
#[gtest]
fn fast_chains_are_not_overfilled_when_a_domain_is_lost() {
    let after_loss = |known: Known| {
        let mut fleet = Fleet::new(known);
        fleet.run(10_000);
        fleet.lost = Some(2);
        fleet.run(15_000);
        expect_that!(fleet.refused, eq(0));
        fleet.fullest
    };
    let (by_room, by_speed) = (after_loss(Known::Nothing), after_loss(Known::Speed));
    expect_that!(by_speed, le(MAX_FILL));
    expect_that!(by_speed, le(by_room));
}

/// Guards against work that prefers a fast chain although all room is needed: it would be full for
/// the callers of its own domain.
#[gtest]
fn the_preference_for_fast_chains_fades_as_the_chains_fill_up() {
    let fast_share = |fill: f64| {
        let candidate = |chain: usize| ChainCandidate {
            chain,
            near: true,
            room_tokens: ROOM,
            used_tokens: fill * ROOM,
            silent_ms: 0,
            backing_off: false,
            gap_share: 0.0,
            event_ms: [20.0, 60.0][chain],
        };
        let candidates = [candidate(0), candidate(1)];
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut select = || select_sampled(&candidates, TOKENS, MAX_FILL, 90, || rng.random());
        let fast = (0..10_000).filter_map(|_| select()).filter(|c| *c == 0);
        fast.count() as f64 / 10_000.0
    };
    expect_that!(fast_share(0.1), ge(0.9));
    expect_that!(fast_share(0.95), le(0.6));
}

/// The measured time between events varies by a fifth although nothing changes. Work that followed
/// the noise would move between the chains of a domain, and with it the room that is left there.
#[gtest]
fn noise_in_the_speed_does_not_move_the_work() {
    let shares = |known: Known| {
        let mut fleet = Fleet::new(known);
        fleet.run(5_000);
        fleet.run(20_000);
        (0..CHAINS.len())
            .map(|c| fleet.share(c))
            .collect::<Vec<f64>>()
    };
    let (quiet, noisy) = (shares(Known::Speed), shares(Known::NoisySpeed));
    for (chain, (quiet, noisy)) in quiet.iter().zip(&noisy).enumerate() {
        expect_that!((quiet - noisy).abs(), le(0.02), "chain {chain}");
    }
}
