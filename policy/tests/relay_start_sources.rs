//! Sources of the runners at the start of an instance, simulated with a virtual clock.

use std::net::SocketAddr;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::start_sources::{
    Ask, BUSY_WAIT_MS, FleetRole, NoCopy, PageMiss, Read, SEED_HEAD_START_MS, StartSources,
    WHOLE_LIST_JITTER_MS, WHOLE_LIST_MS,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEEDS: u64 = 200;

/// Interval between two copies that an instance sends.
const COPY_INTERVAL_MS: Millis = 100;

/// Time after which a start whose sources all fail has to end with a read of the whole list.
const END_MS: Millis = WHOLE_LIST_MS + WHOLE_LIST_JITTER_MS;

const SMALL: FleetRole = FleetRole {
    is_large: false,
    reads_for_domain: false,
};
const LARGE: FleetRole = FleetRole {
    is_large: true,
    reads_for_domain: false,
};
const LARGE_READER: FleetRole = FleetRole {
    is_large: true,
    reads_for_domain: true,
};

/// How an asked instance behaves.
#[derive(Clone, Copy, PartialEq)]
enum Instance {
    Busy,
    Nothing,
    /// Never answers.
    Silent,
    /// Answers as busy once, and never again.
    BusyThenSilent,
}

/// What the store does with a read of the first page.
#[derive(Clone, Copy)]
enum Store {
    Answers(PageMiss),
    Hangs,
}

/// What one start did, with the times.
#[derive(Default)]
struct Start {
    asked: Vec<(Millis, Ask)>,
    reads: Vec<(Millis, Read)>,
}

impl Start {
    fn first_read(&self) -> Option<(Millis, Read)> {
        self.reads.first().copied()
    }
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Plays a start until the whole list is read, or until its time is over. Every seed and every other instance
/// behaves as `instance` does.
fn play(instance: Instance, store: Store, role: FleetRole, seed: u64) -> Start {
    let mut rng = StdRng::seed_from_u64(seed);
    let seeds = [1, 2, 3].map(address);
    let mut sources = StartSources::new(0, seeds.to_vec(), rng.random());
    let mut start = Start::default();
    let mut to_answer = seeds.to_vec();
    let mut answered = Vec::new();
    let mut page_open = false;
    for now in 0..=END_MS {
        for address in std::mem::take(&mut to_answer) {
            let got = match instance {
                Instance::Busy => NoCopy::Busy,
                Instance::Nothing => NoCopy::Nothing,
                Instance::BusyThenSilent if !answered.contains(&address) => NoCopy::Busy,
                Instance::Silent | Instance::BusyThenSilent => continue,
            };
            answered.push(address);
            sources.record_no_copy(now, address, got, rng.random());
        }
        if let Some(ask) = sources.next_ask(now) {
            start.asked.push((now, ask));
            to_answer.push(match ask {
                Ask::Again(address) => address,
                _ => address(4 + rng.random_range(0..1_000)),
            });
        }
        if page_open {
            continue;
        }
        match sources.next_read(now, role) {
            None => {}
            Some(Read::WholeList) => {
                start.reads.push((now, Read::WholeList));
                return start;
            }
            Some(Read::FirstPage) => {
                start.reads.push((now, Read::FirstPage));
                match store {
                    Store::Answers(miss) => sources.record_page_miss(now, miss),
                    Store::Hangs => page_open = true,
                }
            }
        }
    }
    start
}

/// Guards against a start that waits for seeds which do not answer, while the store would.
#[gtest]
fn the_store_is_read_soon_if_no_instance_has_the_runners() {
    for seed in 0..SEEDS {
        let none = play(Instance::Nothing, Store::Hangs, SMALL, seed);
        expect_that!(none.first_read(), some(eq((0, Read::FirstPage))));
        let silent = play(Instance::Silent, Store::Hangs, LARGE, seed);
        let read = (SEED_HEAD_START_MS, Read::FirstPage);
        expect_that!(silent.first_read(), some(eq(read)));
    }
}

/// Guards against an instance of a small fleet that waits for seconds for a copy which never comes.
#[gtest]
fn a_small_fleet_reads_the_store_if_its_seeds_stay_busy() {
    for seed in 0..SEEDS {
        for instance in [Instance::Busy, Instance::BusyThenSilent] {
            let start = play(instance, Store::Hangs, SMALL, seed);
            let read = (BUSY_WAIT_MS, Read::FirstPage);
            expect_that!(start.first_read(), some(eq(read)));
        }
    }
}

/// Guards against a read of the store by each of a thousand instances while others have the runners: its
/// link would be occupied for seconds.
#[gtest]
fn a_large_fleet_leaves_the_store_alone_while_an_instance_has_the_runners() {
    let longer = Store::Answers(PageMiss::Longer);
    for seed in 0..SEEDS {
        let start = play(Instance::Busy, longer, LARGE, seed);
        let (read_ms, read) = start.first_read().expect("a read");
        expect_that!(read, eq(Read::WholeList));
        expect_that!(read_ms, ge(WHOLE_LIST_MS));
        let reader = play(Instance::Busy, longer, LARGE_READER, seed);
        let read = (BUSY_WAIT_MS, Read::FirstPage);
        expect_that!(reader.first_read(), some(eq(read)));
        expect_that!(reader.reads.len(), eq(2));
    }
}

/// Guards against a source without which a start never ends, whatever the instances do, and whatever the
/// store does before.
#[gtest]
fn every_start_reads_the_whole_list_in_the_end() {
    let instances = [
        Instance::Busy,
        Instance::Nothing,
        Instance::Silent,
        Instance::BusyThenSilent,
    ];
    let misses = [PageMiss::Longer, PageMiss::Failed];
    for seed in 0..SEEDS {
        for instance in instances {
            for role in [SMALL, LARGE, LARGE_READER] {
                for miss in misses {
                    let start = play(instance, Store::Answers(miss), role, seed);
                    let (read_ms, read) = *start.reads.last().expect("a read");
                    expect_that!(read, eq(Read::WholeList));
                    expect_that!(read_ms, le(END_MS));
                }
            }
        }
    }
}

/// Guards against instances that ask only each other while a third one has the runners: a busy instance
/// is asked again, and one that was not heard of before is asked as well.
#[gtest]
fn busy_instances_are_asked_again_and_others_are_asked_beside_them() {
    for seed in 0..SEEDS {
        let start = play(Instance::Busy, Store::Hangs, LARGE, seed);
        let again = |(_, ask): &&(Millis, Ask)| matches!(ask, Ask::Again(_));
        let elsewhere = |(_, ask): &&(Millis, Ask)| *ask == Ask::Elsewhere;
        let (first_ms, _) = start.asked.iter().find(again).expect("another request");
        expect_that!(*first_ms, ge(COPY_INTERVAL_MS));
        expect_that!(*first_ms, le(BUSY_WAIT_MS));
        let start = play(Instance::Nothing, Store::Hangs, LARGE, seed);
        expect_that!(start.asked.iter().find(elsewhere), some(anything()));
    }
}

/// Guards against an instance that lets the turn of its busy seed pass, since it looked for another instance
/// to ask and knows none.
#[gtest]
fn a_busy_seed_is_asked_on_time_by_an_instance_that_knows_no_other() {
    /// Time in which a busy instance is asked again three times: the delays of 150, 300 and 600 ms, with
    /// the jitter, of which a request may be 150 ms early.
    const THREE_REQUESTS_MS: Millis = 1_200;
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sources = StartSources::new(0, vec![address(1)], rng.random());
        sources.record_no_copy(0, address(1), NoCopy::Busy, rng.random());
        let mut again = 0;
        for now in 0..=THREE_REQUESTS_MS {
            match sources.next_ask(now) {
                Some(Ask::Again(seed)) => {
                    again += 1;
                    sources.record_no_copy(now, seed, NoCopy::Busy, rng.random());
                }
                Some(_) => sources.record_no_candidate(now),
                None => {}
            }
        }
        expect_that!(again, ge(3), "seed {seed}");
    }
}

/// Guards against a request to a busy instance in every moment: a thousand instances would keep it from its
/// callers.
#[gtest]
fn a_busy_instance_is_asked_less_and_less_often() {
    const MAX_REQUESTS: usize = 10;
    for seed in 0..SEEDS {
        let start = play(Instance::Busy, Store::Hangs, LARGE, seed);
        for port in [1, 2, 3] {
            let again = Ask::Again(address(port));
            let requests = start.asked.iter().filter(|(_, ask)| *ask == again);
            expect_that!(requests.count(), le(MAX_REQUESTS));
        }
    }
}

/// Guards against instances that read the first page again and again while the store does not answer.
#[gtest]
fn a_page_that_the_store_did_not_give_is_read_again_after_a_while() {
    let failed = Store::Answers(PageMiss::Failed);
    for seed in 0..SEEDS {
        let small = play(Instance::Nothing, failed, SMALL, seed);
        let reads = small.reads.windows(2);
        let gaps = reads.map(|pair| pair[1].0 - pair[0].0);
        let pages = small.reads.len() - 1;
        expect_that!(pages, gt(1));
        expect_that!(gaps.take(pages - 1).min(), some(ge(500)));
        let large = play(Instance::Nothing, failed, LARGE, seed);
        expect_that!(large.reads.len(), eq(2));
    }
}

/// Simulated fleet that starts at once, while one seed has the runners.
struct Fleet {
    instances: Vec<StartSources>,
    /// When each instance got the runners.
    got_ms: Vec<Option<Millis>>,
    /// When each instance last sent a copy; the seed comes last.
    sent_ms: Vec<Option<Millis>>,
    page_reads: usize,
    rng: StdRng,
}

impl Fleet {
    fn new(count: u16, seed: u64) -> Fleet {
        let mut rng = StdRng::seed_from_u64(seed);
        let seeds = vec![address(count)];
        let instances = (0..count)
            .map(|_| StartSources::new(0, seeds.clone(), rng.random()))
            .collect();
        let count = usize::from(count);
        Fleet {
            instances,
            got_ms: vec![None; count],
            sent_ms: vec![None; count + 1],
            page_reads: 0,
            rng,
        }
    }

    /// Lets instance `asking` ask instance `asked`.
    fn ask(&mut self, now: Millis, asking: usize, asked: usize) {
        let has = self.got_ms.get(asked).is_none_or(Option::is_some);
        let is_busy = self.sent_ms[asked].is_some_and(|at| now < at + COPY_INTERVAL_MS);
        let got = match (has, is_busy) {
            (false, _) => NoCopy::Nothing,
            (true, true) => NoCopy::Busy,
            (true, false) => {
                self.sent_ms[asked] = Some(now);
                self.got_ms[asking] = Some(now);
                return;
            }
        };
        let draw = self.rng.random();
        let from = address(asked as u16);
        self.instances[asking].record_no_copy(now, from, got, draw);
    }

    fn step(&mut self, now: Millis, role: FleetRole) {
        let count = self.instances.len();
        for index in 0..count {
            if self.got_ms[index].is_some() {
                continue;
            }
            let sources = &mut self.instances[index];
            let asked = match sources.next_ask(now) {
                Some(Ask::Again(address)) => Some(usize::from(address.port())),
                Some(_) => Some(self.rng.random_range(0..count)),
                None => None,
            };
            if sources.next_read(now, role).is_some() {
                self.page_reads += 1;
                self.got_ms[index] = Some(now);
                continue;
            }
            if let Some(asked) = asked {
                self.ask(now, index, asked);
            }
        }
    }

    /// Plays the start until all instances have the runners.
    fn play(mut self, role: FleetRole) -> Fleet {
        let seed = self.instances.len();
        (0..seed).for_each(|index| self.ask(0, index, seed));
        for now in 0..=END_MS {
            self.step(now, role);
        }
        self
    }
}

/// Guards against a fleet of a thousand instances in which each reads the store although one had the runners
/// from the start.
#[gtest]
fn a_thousand_instances_take_the_runners_over_from_one_without_the_store() {
    for seed in 0..10 {
        let fleet = Fleet::new(1_000, seed).play(LARGE);
        expect_that!(fleet.page_reads, eq(0));
        expect_that!(fleet.got_ms.iter().flatten().count(), eq(1_000));
    }
}

/// Guards against reads of the store by a small fleet that one seed can supply.
#[gtest]
fn six_instances_take_the_runners_over_from_one_without_the_store() {
    let mut reads = 0;
    for seed in 0..SEEDS {
        let fleet = Fleet::new(6, seed).play(SMALL);
        reads += fleet.page_reads;
        let last_ms = fleet.got_ms.iter().flatten().max();
        expect_that!(last_ms, some(le(&BUSY_WAIT_MS)));
    }
    expect_that!(reads, lt(SEEDS as usize));
}
