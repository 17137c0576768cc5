//! Measures the scaling factors of docs/CAPACITY.md that no other benchmark covers: configuration,
//! admission and records by size, and the cost of a request and of a token on a live instance.
//!
//! `cargo run --release -p jacinthweir-testkit --example measure_capacity [-- --json FILE]`

use std::time::{Duration, Instant};

use argh::FromArgs;
use futures::StreamExt;
use jacinthweir_policy::admission::{Admission, AdmissionConfig, Measurement, Slot, Ticket, Work};
use jacinthweir_policy::config::parts;
use jacinthweir_policy::journal::{End, Event, Idempotency, Journal};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::schema::{CompiledSchema, OrgDecl, Schema, parse_schema};
use jacinthweir_testkit::bench::counting_allocator;
use jacinthweir_testkit::caller::ModelCall;
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::operator::Applied;
use jacinthweir_testkit::{Fleet, FleetCfg};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::sync::Arc;

#[global_allocator]
static ALLOCATOR: counting_allocator::CountingAllocator = counting_allocator::CountingAllocator;

/// Numbers of organisations: four sizes, and the target size.
const ORGANISATIONS: [usize; 5] = [10, 1_000, 5_000, 10_000, 19_000];
/// Numbers of retained records of finished requests.
const RECORDS: [usize; 4] = [1_000, 2_500, 5_000, 10_000];
/// Numbers of concurrent streams on a live instance.
const STREAMS: [usize; 4] = [8, 32, 64, 128];
/// Requests per number of organisations in the admission benchmark.
const ADMISSION_REQUESTS: u64 = 200_000;
/// Concurrency levels of one-token requests.
const SHORT_CONCURRENCY: [usize; 4] = [1, 4, 8, 16];
/// One-token requests per row.
const SHORT_REQUESTS: usize = 2_000;
/// Tokens per stream.
const STREAM_TOKENS: u32 = 100;
/// Changes applied per schema size.
const CHANGES_PER_SIZE: usize = 4;
/// Clock ticks per second of the CPU times in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// Page size of the memory figures in `/proc`, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// Measure the resource cost of an instance by size.
#[derive(FromArgs)]
struct Args {
    /// output file for the results as JSON
    #[argh(option)]
    json: Option<std::path::PathBuf>,
}

#[derive(Debug, Default, Serialize)]
struct Results {
    configuration: Vec<ConfigurationRow>,
    admission: Vec<AdmissionRow>,
    records: Vec<RecordsRow>,
    live: Vec<LiveRow>,
    short: Vec<ShortRow>,
    in_force: Vec<InForceRow>,
}

#[derive(Debug, Serialize)]
struct ConfigurationRow {
    organisations: usize,
    text_bytes: usize,
    parts: usize,
    largest_part_bytes: usize,
    compiled_bytes: u64,
    parse_verify_ms: f64,
    compile_ms: f64,
}

#[derive(Debug, Serialize)]
struct AdmissionRow {
    organisations: usize,
    offer_and_release_ns: f64,
    bytes: u64,
}

#[derive(Debug, Serialize)]
struct RecordsRow {
    records: usize,
    bytes_each: f64,
}

/// Cost of one-token requests: the cost of a request apart from its tokens.
#[derive(Debug, Serialize)]
struct ShortRow {
    at_once: usize,
    requests: usize,
    answered: usize,
    cpu_us_per_request: f64,
    requests_per_s_and_core: f64,
}

/// Memory of live instances after a schema of the given size came into force.
#[derive(Debug, Serialize)]
struct InForceRow {
    organisations: usize,
    applies: usize,
    applying_mb: f64,
    following_mb: f64,
}

#[derive(Debug, Serialize)]
struct LiveRow {
    streams: usize,
    tokens: usize,
    cpu_us_per_token: f64,
    resident_mb: f64,
    tokens_per_s: f64,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let results = Results {
        configuration: ORGANISATIONS.into_iter().map(configuration).collect(),
        admission: ORGANISATIONS.into_iter().map(admission).collect(),
        records: RECORDS.into_iter().map(records).collect(),
        live: measure_streams().await?,
        short: measure_short_requests().await?,
        in_force: measure_in_force().await?,
    };
    results.configuration.iter().for_each(|r| println!("{r:?}"));
    results.admission.iter().for_each(|r| println!("{r:?}"));
    results.records.iter().for_each(|r| println!("{r:?}"));
    results.live.iter().for_each(|r| println!("{r:?}"));
    results.short.iter().for_each(|r| println!("{r:?}"));
    results.in_force.iter().for_each(|r| println!("{r:?}"));
    if let Some(path) = args.json {
        std::fs::write(path, serde_json::to_string_pretty(&results)? + "\n")?;
    }
    Ok(())
}

fn schema(organisations: usize) -> Schema {
    let text = std::fs::read_to_string(Deployment::Associacao.schema()).unwrap_or_default();
    let mut schema = parse_schema(&text).unwrap_or_default();
    schema.organisations = (0..organisations).map(organisation).collect();
    schema
}

fn organisation(i: usize) -> OrgDecl {
    OrgDecl {
        name: format!("organisation-{i:05}").into(),
        priority: (i % 10) as u8,
        weight: 1 + (i % 7) as u32,
        key_sha256: vec![format!("{i:064x}").into()],
        max_in_flight: Some(64),
    }
}

fn configuration(organisations: usize) -> ConfigurationRow {
    let text = serde_json::to_string(&schema(organisations)).unwrap_or_default();
    let started = Instant::now();
    let parsed = parse_schema(&text).unwrap_or_default();
    let parse_verify_ms = started.elapsed().as_secs_f64() * 1e3;
    let split = parts::split(&parsed).unwrap_or_default();
    let before = counting_allocator::live_bytes();
    let started = Instant::now();
    let compiled = CompiledSchema::compile(Arc::new(parsed.clone()));
    let compile_ms = started.elapsed().as_secs_f64() * 1e3;
    let compiled_bytes = counting_allocator::live_bytes().saturating_sub(before);
    drop(compiled);
    ConfigurationRow {
        organisations,
        text_bytes: text.len(),
        parts: split.len(),
        largest_part_bytes: split.iter().map(|p| p.text.len()).max().unwrap_or(0),
        compiled_bytes,
        parse_verify_ms,
        compile_ms,
    }
}

fn admission(organisations: usize) -> AdmissionRow {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let before = counting_allocator::live_bytes();
    let mut admission = Admission::new(AdmissionConfig::default());
    let pipeline = PipelineId::from_u32(0);
    admission.set_capacity(0, pipeline, 1e6, 100_000);
    let started = Instant::now();
    for n in 0..ADMISSION_REQUESTS {
        let slot = Slot(n);
        let ticket = Ticket {
            slot,
            org: OrgId::from_u32((n % organisations as u64) as u32),
            weight: 1,
            pipeline,
            priority: 3,
            cost_tokens: 256,
            deadline: n + 10_000,
            work: Work::New,
        };
        let _ = admission.offer(n / 1_000, ticket, &mut rng);
        let measurement = Measurement {
            latency_ms: 1_000,
            tokens: 128,
        };
        admission.release(n / 1_000, slot, measurement);
    }
    let offer_and_release_ns = started.elapsed().as_secs_f64() * 1e9 / ADMISSION_REQUESTS as f64;
    let bytes = counting_allocator::live_bytes().saturating_sub(before);
    AdmissionRow {
        organisations,
        offer_and_release_ns,
        bytes,
    }
}

fn records(count: usize) -> RecordsRow {
    let before = counting_allocator::live_bytes();
    let retained: Vec<Journal> = (0..count).map(journal).collect();
    let bytes = counting_allocator::live_bytes().saturating_sub(before);
    drop(retained);
    RecordsRow {
        records: count,
        bytes_each: bytes as f64 / count as f64,
    }
}

/// Returns the journal of a typical answered request over four stages.
fn journal(i: usize) -> Journal {
    let mut journal = Journal::open(
        format!("recife-1.{i:032x}").into(),
        Idempotency::Idempotent,
        0,
    );
    let upstream = "runner-a 0..8, runner-b 8..16, runner-c 16..24, runner-d 24..32";
    let events = [
        Event::Admitted,
        Event::Dispatched {
            attempt: 1,
            upstream: upstream.into(),
        },
        Event::Ended {
            attempt: 1,
            tokens: 0,
        },
    ];
    for event in events {
        let _ = journal.record(1, event);
    }
    let _ = journal.close(2, End::Complete);
    journal
}

/// Runs concurrent streams on one instance with fast runners; measures tokens, CPU time and memory.
async fn measure_streams() -> eyre::Result<Vec<LiveRow>> {
    let mut cfg = FleetCfg::small(Deployment::Associacao);
    cfg.instances = 1;
    cfg.speed = 20.0;
    let fleet = Fleet::start(cfg).await?;
    fleet.apply().await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut rows = Vec::new();
    for streams in STREAMS {
        rows.push(streams_row(&fleet, streams).await?);
    }
    fleet.stop().await?;
    Ok(rows)
}

/// Runs concurrent one-token requests on one instance with fast runners.
async fn measure_short_requests() -> eyre::Result<Vec<ShortRow>> {
    let mut cfg = FleetCfg::small(Deployment::Associacao);
    cfg.instances = 1;
    cfg.speed = 20.0;
    let fleet = Fleet::start(cfg).await?;
    fleet.apply().await?;
    let mut rows = Vec::new();
    for at_once in SHORT_CONCURRENCY {
        rows.push(short_row(&fleet, at_once).await?);
    }
    fleet.stop().await?;
    Ok(rows)
}

async fn short_row(fleet: &Fleet, at_once: usize) -> eyre::Result<ShortRow> {
    let pid = fleet.instances[0].process.id().unwrap_or_default();
    let caller = fleet.caller(Deployment::Associacao.organisations()[0])?;
    let at = fleet.entries()[0];
    let call = ModelCall {
        pipeline: Deployment::Associacao.pipeline().into(),
        prompt: "Is billet 7 dry?".to_owned(),
        max_tokens: 1,
        deadline_ms: Some(60_000),
    };
    let before = cpu_s(pid)?;
    let calls = (0..SHORT_REQUESTS).map(|_| caller.complete(at, &call));
    let seen: Vec<_> = futures::stream::iter(calls)
        .buffer_unordered(at_once)
        .collect()
        .await;
    let answered = seen.iter().filter(|s| s.answered()).count();
    let cpu_us = (cpu_s(pid)? - before) * 1e6 / SHORT_REQUESTS as f64;
    Ok(ShortRow {
        at_once,
        requests: SHORT_REQUESTS,
        answered,
        cpu_us_per_request: cpu_us,
        requests_per_s_and_core: 1e6 / cpu_us,
    })
}

async fn streams_row(fleet: &Fleet, streams: usize) -> eyre::Result<LiveRow> {
    let pid = fleet.instances[0].process.id().unwrap_or_default();
    let caller = fleet.caller(Deployment::Associacao.organisations()[0])?;
    let at = fleet.entries()[0];
    let before = cpu_s(pid)?;
    let started = Instant::now();
    let calls = (0..streams).map(|i| {
        let caller = &caller;
        async move {
            let call = ModelCall {
                pipeline: Deployment::Associacao.pipeline().into(),
                prompt: format!("A long assessment of billet {i}. #len={STREAM_TOKENS}"),
                max_tokens: STREAM_TOKENS,
                deadline_ms: Some(60_000),
            };
            caller.complete(at, &call).await.token_us.len()
        }
    });
    let all = futures::future::join_all(calls);
    let (tokens, resident_mb) = tokio::join!(all, async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        resident_mb(pid)
    });
    let took = started.elapsed().as_secs_f64();
    let tokens: usize = tokens.iter().sum();
    let cpu = cpu_s(pid)? - before;
    Ok(LiveRow {
        streams,
        tokens,
        cpu_us_per_token: cpu * 1e6 / tokens.max(1) as f64,
        resident_mb: resident_mb?,
        tokens_per_s: tokens as f64 / took,
    })
}

/// Applies a schema of each size several times at the first of two instances.
async fn measure_in_force() -> eyre::Result<Vec<InForceRow>> {
    let mut cfg = FleetCfg::small(Deployment::Associacao);
    cfg.instances = 2;
    cfg.runners = 0;
    cfg.services = 0;
    let fleet = Fleet::start(cfg).await?;
    fleet.apply().await?;
    let mut rows = Vec::new();
    for organisations in ORGANISATIONS {
        rows.push(in_force_row(&fleet, organisations).await?);
    }
    fleet.stop().await?;
    Ok(rows)
}

async fn in_force_row(fleet: &Fleet, organisations: usize) -> eyre::Result<InForceRow> {
    let operators = [
        fleet.instances[0].operator()?,
        fleet.instances[1].operator()?,
    ];
    let mut schema = schema(organisations);
    let mut revision = operators[0].schema().await?.revision;
    for i in 0..CHANGES_PER_SIZE {
        schema.organisations[0].weight = 100 + i as u32;
        let text = serde_json::to_string(&schema)?;
        let change = format!("size-{organisations}-{i}");
        match operators[0].apply(&text, revision, &change).await {
            Applied::Committed(reply) => revision = reply.revision,
            other => eyre::bail!("not applied: {other:?}"),
        }
        while operators[1].schema().await?.revision < revision {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let resident = |i: usize| resident_mb(fleet.instances[i].process.id().unwrap_or_default());
    Ok(InForceRow {
        organisations,
        applies: CHANGES_PER_SIZE,
        applying_mb: resident(0)?,
        following_mb: resident(1)?,
    })
}

/// Returns the CPU time of a process, in seconds.
fn cpu_s(pid: u32) -> eyre::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    Ok((ticks(11) + ticks(12)) / TICKS_PER_S)
}

/// Returns the resident memory of a process, in megabytes.
fn resident_mb(pid: u32) -> eyre::Result<f64> {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages = statm.split_whitespace().nth(1).unwrap_or("0");
    Ok(pages.parse::<f64>()? * PAGE_BYTES / 1e6)
}
