//! Measures the cost and detection time of membership and of the observation of upstreams.
//!
//! Fleets of instances are simulated in one process with the policy alone; every message is encoded
//! and decoded as between processes. For each fleet size it prints bytes and processor time per
//! instance and round of one second, resident memory per instance, rounds until a failure or a
//! leaving is known to all, and false suspicions under message loss. Rounds are simulated, so only
//! processor time and memory depend on the machine.
//!
//! `cargo run --release -p jacinthweir-testkit --example measure_membership [-- --seeds N] [--cost-only]`

#[path = "../../policy/tests/support/fleet.rs"]
#[allow(dead_code, reason = "the rest is used by the tests of the policy")]
mod fleet;

use argh::FromArgs;
use fleet::{Fleet, Message, ProcessState};
use jacinthweir_policy::membership::MembershipConfig;
use jacinthweir_policy::region::region_of;
use jacinthweir_policy::upstreams::Availability;
use jacinthweir_wire::peer::{Exchange, ExchangeAnswer, MemberDelta, MemberDigest};
use jacinthweir_wire::peer::{UpstreamDelta, UpstreamDigest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// Measures the cost and detection time of membership.
#[derive(FromArgs)]
struct Args {
    /// number of seeds for detection times and false suspicions
    #[argh(option, default = "5")]
    seeds: u64,
    /// measure bytes, processor time and memory only
    #[argh(switch)]
    cost_only: bool,
    /// file for the results as JSON
    #[argh(option)]
    json: Option<std::path::PathBuf>,
}

/// Numbers of instances, regions and runners of each fleet.
const FLEET_SIZES: [(usize, usize, usize); 4] =
    [(6, 1, 40), (24, 1, 160), (96, 3, 480), (340, 7, 1200)];
/// Rounds before any measurement.
const WARM_UP_ROUNDS: usize = 20;
/// Rounds before bytes and time are measured, by which all records have spread.
const COST_WARM_UP_ROUNDS: usize = 80;
/// Rounds over which bytes and time are averaged.
const MEASURED_ROUNDS: usize = 10;
/// Rounds with message loss.
const LOSSY_ROUNDS: usize = 60;
/// Maximum number of rounds to wait for a condition.
const MAX_ROUNDS: usize = 120;
/// Estimated size of the HTTP headers of a call and its answer, in bytes.
const HTTP_BYTES: usize = 330;

/// Results for one fleet size.
#[derive(Clone, Debug, Default, Serialize)]
struct Row {
    instances: usize,
    regions: usize,
    runners: usize,
    member_bytes_per_s: f64,
    upstream_bytes_per_s: f64,
    envelope_bytes_per_s: f64,
    poll_bytes_per_s: f64,
    total_bytes_per_s: f64,
    list_bytes: usize,
    cpu_us_per_round: f64,
    resident_kib: f64,
    load_age_s: f64,
    dead_first: Spread,
    dead_all: Spread,
    leaving_all: Spread,
    runner_dead_all: Spread,
    alarms_loss_1: f64,
    alarms_loss_5: f64,
}

/// Minimum, median and maximum over the seeds, in rounds.
#[derive(Clone, Debug, Default, Serialize)]
struct Spread {
    min: usize,
    median: usize,
    max: usize,
}

impl Spread {
    fn of(mut values: Vec<usize>) -> Spread {
        values.sort_unstable();
        Spread {
            min: values[0],
            median: values[values.len() / 2],
            max: values[values.len() - 1],
        }
    }
}

impl std::fmt::Display for Spread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(&format!("{} ({}-{})", self.median, self.min, self.max))
    }
}

/// Bytes of encoded messages by kind, and the number of messages.
#[derive(Default)]
struct Bytes {
    members: usize,
    upstreams: usize,
    messages: usize,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let mut rows = Vec::new();
    for (instances, regions, runners) in FLEET_SIZES {
        let mut row = Row {
            instances,
            regions,
            runners,
            ..Row::default()
        };
        measure_cost(&mut row);
        if !args.cost_only {
            measure_detection(&mut row, args.seeds);
            measure_false_suspicions(&mut row, args.seeds);
        }
        eprintln!("{instances} instances done");
        rows.push(row);
    }
    print_table(&rows);
    if let Some(path) = args.json {
        std::fs::write(path, serde_json::to_string_pretty(&rows)?)?;
    }
    Ok(())
}

fn fleet_of(row: &Row, seed: u64) -> Fleet {
    let cfg = MembershipConfig::default();
    let mut fleet = Fleet::new(row.instances, row.regions, seed, &cfg);
    fleet.add_runners(row.runners);
    fleet.rounds(WARM_UP_ROUNDS);
    fleet
}

fn measure_cost(row: &mut Row) {
    let before = resident_kib();
    let mut fleet = fleet_of(row, 1);
    fleet.rounds(COST_WARM_UP_ROUNDS - WARM_UP_ROUNDS);
    row.resident_kib = (resident_kib() - before) / row.instances as f64;
    row.load_age_s = load_age_s(&fleet);
    row.list_bytes = serde_json::to_vec(&fleet.list()).map_or(0, |v| v.len());
    let bytes = Rc::new(RefCell::new(Bytes::default()));
    let counted = Rc::clone(&bytes);
    fleet.meter = Some(Box::new(move |_, _, msg| count_message(&counted, msg)));
    fleet.polls = 0;
    let start = Instant::now();
    fleet.rounds(MEASURED_ROUNDS);
    let instance_rounds = (row.instances * MEASURED_ROUNDS) as f64;
    row.cpu_us_per_round = start.elapsed().as_secs_f64() * 1e6 / instance_rounds;
    let bytes = bytes.borrow();
    // Each byte is sent by one instance and received by another, and both are counted.
    let each = |n: usize| 2.0 * n as f64 / instance_rounds;
    row.member_bytes_per_s = each(bytes.members);
    row.upstream_bytes_per_s = each(bytes.upstreams);
    // Each call has two messages, and those of members and upstreams share a call.
    row.envelope_bytes_per_s = each(bytes.messages / 4 * (HTTP_BYTES + envelope_bytes()));
    row.poll_bytes_per_s = fleet.polls as f64 * poll_bytes(&fleet) as f64 / instance_rounds;
    row.total_bytes_per_s = row.member_bytes_per_s
        + row.upstream_bytes_per_s
        + row.envelope_bytes_per_s
        + row.poll_bytes_per_s;
}

/// Returns the mean age of the load reports of runners in the own region, over all instances.
fn load_age_s(fleet: &Fleet) -> f64 {
    let mut ages = Vec::new();
    for node in &fleet.instances {
        let region = region_of(&node.membership.own().state.domain);
        let regional = node.upstreams.all();
        let regional = regional.filter(|u| region_of(&u.listed().domain) == region);
        let loads = regional.filter_map(|u| u.load);
        ages.extend(loads.map(|l| (fleet.now.mono_ms - l.sampled_ms) as f64 / 1e3));
    }
    ages.iter().sum::<f64>() / ages.len() as f64
}

fn count_message(bytes: &RefCell<Bytes>, msg: &Message<'_>) {
    let mut bytes = bytes.borrow_mut();
    bytes.messages += 1;
    match msg {
        Message::Digest(m) => bytes.members += round_trip(*m),
        Message::Delta(m) => bytes.members += round_trip(*m),
        Message::UpstreamDigest(m) => bytes.upstreams += round_trip(*m),
        Message::UpstreamDelta(m) => bytes.upstreams += round_trip(*m),
    }
}

/// Encodes and decodes a message, for the processor time, and returns its encoded size.
fn round_trip<T: Serialize + DeserializeOwned>(msg: &T) -> usize {
    let encoded = rmp_serde::to_vec_named(msg).unwrap_or_default();
    let decoded: Result<T, _> = rmp_serde::from_slice(&encoded);
    assert!(decoded.is_ok(), "a message that was encoded can be decoded");
    encoded.len()
}

/// Returns the size of an exchange and its answer without digests and deltas.
fn envelope_bytes() -> usize {
    let exchange = Exchange {
        from: fleet::name(0).into(),
        members: MemberDigest::default(),
        upstreams: UpstreamDigest::default(),
        crashes: Vec::new(),
    };
    let answer = ExchangeAnswer {
        from: fleet::name(1).into(),
        members: MemberDelta::default(),
        upstreams: UpstreamDelta::default(),
        crashes: Vec::new(),
    };
    let inner = encoded_size(&exchange.members) + encoded_size(&exchange.upstreams);
    let inner = inner + encoded_size(&answer.members) + encoded_size(&answer.upstreams);
    encoded_size(&exchange) + encoded_size(&answer) - inner
}

fn encoded_size<T: Serialize>(msg: &T) -> usize {
    rmp_serde::to_vec_named(msg).map_or(0, |v| v.len())
}

fn poll_bytes(fleet: &Fleet) -> usize {
    let report = fleet.sample_report();
    HTTP_BYTES + serde_json::to_vec(&report).map_or(0, |v| v.len())
}

/// Runs rounds until a condition holds, at most [`MAX_ROUNDS`], and returns their number.
fn rounds_until(fleet: &mut Fleet, done: impl Fn(&Fleet) -> bool) -> usize {
    (0..MAX_ROUNDS)
        .find(|_| {
            let done = done(fleet);
            if !done {
                fleet.round();
            }
            done
        })
        .unwrap_or(MAX_ROUNDS)
}

fn measure_detection(row: &mut Row, seeds: u64) {
    let mut times: [Vec<usize>; 4] = Default::default();
    for seed in 1..=seeds {
        let mut fleet = fleet_of(row, seed);
        let others = row.instances - 1;
        fleet.instances[3].run = ProcessState::Dead;
        let first = rounds_until(&mut fleet, |f| f.suspecting(3) > 0);
        let rest = rounds_until(&mut fleet, |f| f.suspecting(3) == others);
        times[0].push(first);
        times[1].push(first + rest);
        fleet.runners[7].leaving = true;
        let leaving = |f: &Fleet| f.seeing(7, Availability::Leaving) == others;
        times[2].push(rounds_until(&mut fleet, leaving));
        fleet.runners[9].run = ProcessState::Dead;
        let dead = |f: &Fleet| f.seeing(9, Availability::Suspected) == others;
        times[3].push(rounds_until(&mut fleet, dead));
    }
    let [first, all, leaving, dead] = times.map(Spread::of);
    row.dead_first = first;
    row.dead_all = all;
    row.leaving_all = leaving;
    row.runner_dead_all = dead;
}

fn measure_false_suspicions(row: &mut Row, seeds: u64) {
    let per_hour = |loss: f64| {
        let mut alarms = 0;
        for seed in 1..=seeds {
            let cfg = MembershipConfig::default();
            let mut fleet = Fleet::new(row.instances, row.regions, seed, &cfg);
            fleet.rounds(WARM_UP_ROUNDS);
            let before = fleet.suspicions();
            fleet.loss = loss;
            fleet.rounds(LOSSY_ROUNDS);
            alarms += fleet.suspicions() - before;
        }
        alarms as f64 * 3600.0 / (seeds as f64 * LOSSY_ROUNDS as f64 * row.instances as f64)
    };
    row.alarms_loss_1 = per_hour(0.01);
    row.alarms_loss_5 = per_hour(0.05);
}

fn resident_kib() -> f64 {
    const PAGE_KIB: f64 = 4.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_KIB
}

fn print_table(rows: &[Row]) {
    println!("bytes sent and received by an instance a second, rounds of 1 s:");
    println!("instances runners  members upstreams envelope    polls    total  the list once");
    for r in rows {
        println!(
            "{:9} {:7} {:8.0} {:9.0} {:8.0} {:8.0} {:8.0} {:14}",
            r.instances,
            r.runners,
            r.member_bytes_per_s,
            r.upstream_bytes_per_s,
            r.envelope_bytes_per_s,
            r.poll_bytes_per_s,
            r.total_bytes_per_s,
            r.list_bytes
        );
    }
    println!(
        "\nan instance's processor time a round, its memory, and alarms an hour by lost messages:"
    );
    println!("instances runners   us a round  % of a core  KiB  load age s  1% lost  5% lost");
    for r in rows {
        println!(
            "{:9} {:7} {:12.0} {:12.3} {:4.0} {:11.2} {:8.2} {:8.2}",
            r.instances,
            r.runners,
            r.cpu_us_per_round,
            r.cpu_us_per_round / 1e4,
            r.resident_kib,
            r.load_age_s,
            r.alarms_loss_1,
            r.alarms_loss_5
        );
    }
    println!("\nrounds until known, median (least-greatest):");
    println!("instances runners   dead: first   dead: all    runner leaving  runner dead");
    for r in rows {
        println!(
            "{:9} {:7}   {:13} {:12} {:15} {:12}",
            r.instances, r.runners, r.dead_first, r.dead_all, r.leaving_all, r.runner_dead_all
        );
    }
}
