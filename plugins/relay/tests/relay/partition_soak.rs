//! Random cuts between instances and runners under a steady load and a flood of less urgent requests,
//! over many seeds.
//!
//! `JACINTHWEIR_PARTITION_SEEDS=FROM..TO` plays other seeds than the few of a usual run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use jacinthweir_relay::{Relay, RelaySettings};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::contention::{BATCH, FLOOD_TOKENS, configure};
use crate::standin::{
    Cluster, Cut, NewConnections, OpenConnections, Paths, Response, get, run_single_threaded,
    send_raw,
};
use crate::{LOOKUP, NOTES, PAY};

/// Seeds of a usual run.
const SEEDS: Range<u64> = 1..4;

/// Instances whose paths can be cut; one more always reaches the runners.
const MEMBERS: usize = 3;

/// Mean time between two requests.
const MEAN_GAP: Duration = Duration::from_millis(25);

/// When the cut begins.
const CUT_AT: Duration = Duration::from_millis(500);

/// Requests of the flood, and the prompt tokens of the usual ones.
const FLOOD: usize = 24;
const TOKENS: u32 = 10;

/// Time from which on callers count failures, after the beginning and the end of a cut.
const STABLE: Duration = Duration::from_secs(3);

/// Duration of a cut.
const CUT_FOR: Duration = Duration::from_secs(5);

/// Share of the success elsewhere that requests at cut instances have at least.
const MIN_RELATIVE_SUCCESS: f64 = 2.0 / 3.0;

struct Member {
    paths: Paths,
    settings: RelaySettings,
    _relay: Relay,
}

/// A request and what became of it.
struct Sent {
    id: String,
    line: &'static str,
    member: Option<usize>,
    at: Duration,
    response: Response,
}

impl Sent {
    fn is_served(&self) -> bool {
        self.response.status == 200 && self.response.complete
    }
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("JACINTHWEIR_PARTITION_SEEDS") else {
        return SEEDS;
    };
    let parse = |t: &str| t.trim().parse().expect("a number");
    let (from, to) = text.split_once("..").expect("FROM..TO");
    parse(from)..parse(to)
}

fn draw_cut(rng: &mut StdRng) -> Cut {
    Cut {
        new: *[NewConnections::Refused, NewConnections::Hang]
            .choose(rng)
            .expect("one"),
        open: *[
            OpenConnections::Reset,
            OpenConnections::Hang,
            OpenConnections::LiveOn,
        ]
        .choose(rng)
        .expect("one"),
    }
}

async fn send(callers: std::net::SocketAddr, line: &str, id: &str, tokens: u32) -> Response {
    let text = format!(
        "{line}\r\nHost: site.example\r\nX-Jacinthweir-Request-Id: {id}\r\n\
         X-Jacinthweir-Key: key\r\nX-Jacinthweir-Token-Counts: {tokens},6\r\n\
         Content-Length: 6\r\nConnection: close\r\n\r\nprompt"
    );
    send_raw(callers, text.as_bytes()).await
}

/// Sends requests of all kinds to random instances until `until`.
async fn load(
    cluster: &Cluster,
    members: &[Member],
    rng: &mut StdRng,
    until: Instant,
) -> Vec<Sent> {
    let began = Instant::now();
    let sent = Rc::new(RefCell::new(Vec::new()));
    let mut open: Vec<JoinHandle<()>> = Vec::new();
    let mut number = 0;
    while Instant::now() < until {
        let member = (0..=MEMBERS).choose(rng).filter(|i| *i < MEMBERS);
        let callers = member.map_or(cluster.callers(), |i| members[i].settings.listen.callers);
        let line = *[NOTES, NOTES, LOOKUP, PAY].choose(rng).expect("one");
        let (id, at, sent) = (format!("r{number}"), began.elapsed(), Rc::clone(&sent));
        number += 1;
        open.push(spawn_local(async move {
            let response = send(callers, line, &id, TOKENS).await;
            sent.borrow_mut().push(Sent {
                id,
                line,
                member,
                at,
                response,
            });
        }));
        sleep(MEAN_GAP.mul_f64(rng.random_range(0.0..2.0))).await;
    }
    for request in open {
        request.await.expect("it ends");
    }
    sent.take()
}

/// Sends a flood of less urgent streams to random instances during the cut. Every second one needs more
/// tokens than the chains have room for.
async fn flood(
    cluster: &Cluster,
    members: &[Member],
    rng: &mut StdRng,
    began: Instant,
) -> Vec<Sent> {
    let at = CUT_AT + CUT_FOR.mul_f64(rng.random_range(0.0..0.8));
    sleep_until(began + at).await;
    let sent = (0..FLOOD).map(|number| {
        let member = (0..=MEMBERS).choose(rng).filter(|i| *i < MEMBERS);
        let callers = member.map_or(cluster.callers(), |i| members[i].settings.listen.callers);
        let tokens = if number % 2 == 0 {
            FLOOD_TOKENS
        } else {
            TOKENS
        };
        let id = format!("f{number}");
        async move {
            let response = send(callers, BATCH, &id, tokens).await;
            Sent {
                id,
                line: BATCH,
                member,
                at,
                response,
            }
        }
    });
    let sent: Vec<_> = sent.collect();
    join_all(sent).await
}

/// Checks that no request of a flood was served that there is no room for, and that those refused have
/// been told when to retry.
fn expect_refused_in_time(flood: &[Sent], seed: u64) {
    for (number, s) in flood.iter().enumerate() {
        let status = s.response.status;
        expect_that!(
            number % 2 == 0 && s.is_served(),
            eq(false),
            "seed {seed}: {}",
            s.id
        );
        let retry_after = s.response.header("retry-after");
        expect_that!(
            retry_after.is_some(),
            eq(status == 503),
            "seed {seed}: {}",
            s.id
        );
    }
}

/// Returns how often runners began to run each request.
fn runs(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for runner in cluster.runners.iter().chain(&cluster.plain) {
        for received in runner.received.borrow().iter() {
            let id = received.header("x-jacinthweir-request-id").expect("an id");
            *runs.entry(id.to_owned()).or_default() += 1;
        }
    }
    runs
}

fn expect_truthful(sent: &[Sent], runs: &BTreeMap<String, usize>, seed: u64) {
    for s in sent {
        let runs = runs.get(&s.id).copied().unwrap_or(0);
        let status = s.response.status;
        if status == 503 {
            expect_that!(runs, eq(0), "seed {seed}: {} was refused and has run", s.id);
        }
        if s.line == PAY {
            expect_that!(runs, le(1), "seed {seed}: {} ran twice", s.id);
        }
        if s.is_served() && [NOTES, BATCH].contains(&s.line) {
            let ids = s.response.event_ids();
            expect_that!(ids, eq(&[1, 2, 3, 4, 5, 6]), "seed {seed}: {}", s.id);
        }
    }
}

/// Returns the share of requests that were served.
fn success<'a>(sent: impl Iterator<Item = &'a Sent> + Clone) -> f64 {
    let all = sent.clone().count().max(1);
    sent.filter(|s| s.is_served()).count() as f64 / all as f64
}

async fn is_flagged(settings: &RelaySettings, flag: &str) -> bool {
    let dump = get(settings.listen.operators, "GET /dump HTTP/1.1").await;
    dump.body.contains(&format!("\"{flag}\": true"))
}

async fn play(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let cluster = Cluster::with_long_timeouts(|_| {}).await;
    configure(&cluster, 3, true).await;
    let mut members = Vec::new();
    for i in 0..MEMBERS {
        let paths = Paths::open(&cluster).await;
        let (settings, _relay) = cluster
            .start_instance_behind(&format!("m{i}"), &paths)
            .await;
        members.push(Member {
            paths,
            settings,
            _relay,
        });
    }
    let count = rng.random_range(1..=MEMBERS);
    let cut_off = (0..MEMBERS).sample(&mut rng, count);
    let cut = draw_cut(&mut rng);
    let began = Instant::now();
    let load = load(
        &cluster,
        &members,
        &mut rng,
        began + CUT_AT + CUT_FOR + STABLE,
    );
    let cutting = async {
        sleep_until(began + CUT_AT).await;
        cut_off.iter().for_each(|i| members[*i].paths.cut(cut));
        sleep_until(began + CUT_AT + CUT_FOR - Duration::from_millis(200)).await;
        for member in &members {
            expect_false!(is_flagged(&member.settings, "dead").await, "seed {seed}");
        }
        sleep_until(began + CUT_AT + CUT_FOR).await;
        cut_off.iter().for_each(|i| members[*i].paths.restore());
    };
    let mut flood_rng = StdRng::seed_from_u64(!seed);
    let flood = flood(&cluster, &members, &mut flood_rng, began);
    let (sent, (), flood) = tokio::join!(load, cutting, flood);
    expect_truthful(&sent, &runs(&cluster), seed);
    expect_truthful(&flood, &runs(&cluster), seed);
    expect_refused_in_time(&flood, seed);
    let stable = CUT_AT + STABLE..CUT_AT + CUT_FOR;
    let counted = || sent.iter().filter(|s| stable.contains(&s.at));
    let is_cut = |s: &&Sent| s.member.is_some_and(|m| cut_off.contains(&m));
    let at_cut = success(counted().filter(is_cut));
    let elsewhere = success(counted().filter(|s| !is_cut(s)));
    expect_that!(
        at_cut,
        ge(elsewhere * MIN_RELATIVE_SUCCESS),
        "seed {seed}: {cut:?} of {cut_off:?}"
    );
    expect_that!(elsewhere, gt(0.9), "seed {seed}: {cut:?} of {cut_off:?}");
    for member in &members {
        let is_avoiding = is_flagged(&member.settings, "unreachable").await;
        expect_false!(is_avoiding, "seed {seed}: {cut:?}");
    }
}

/// Guards against instances that fail their callers, run work twice or call living runners dead while
/// some or all instances of a failure domain have lost their paths to the runners.
#[gtest]
fn callers_are_served_during_random_cuts() {
    for seed in seeds() {
        run_single_threaded(play(seed));
    }
}
