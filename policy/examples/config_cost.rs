//! Measures the cost of a configuration by its number of organisations.
//!
//! `cargo run --release -p jacinthweir-policy --example config_cost -- [SIZE ...]`
//!
//! The memory figure is valid only for the first size of a run, because freed memory is reused.
//!
//! Prints one line per size: the file size, the stored parts, the bytes written when one
//! organisation changes, the time of each step and the memory used by a revision in force. Times
//! are the minimum of several runs, to reduce the influence of other load on the machine.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use jacinthweir_policy::config::commit::{Decision, Proposal, decide};
use jacinthweir_policy::config::parts::{PartText, join, split};
use jacinthweir_policy::head::Head;
use jacinthweir_policy::schema::{CompiledSchema, OrgDecl, Schema, diff, key, parse_schema};

const SIZES: [usize; 5] = [10, 100, 1_000, 10_000, 19_000];
const RUNS: u32 = 5;
/// Number of commits made, so that the measured head has a full history.
const COMMITS: u64 = 64;

fn main() {
    println!(
        "{:>6} {:>9} {:>6} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "orgs",
        "file_kB",
        "parts",
        "largest_B",
        "change_B",
        "head_B",
        "parse_ms",
        "split_ms",
        "diff_ms",
        "force_ms",
        "mem_kB"
    );
    let given: Vec<usize> = std::env::args()
        .filter_map(|size| size.parse().ok())
        .collect();
    let sizes = if given.is_empty() {
        SIZES.to_vec()
    } else {
        given
    };
    for orgs in sizes {
        row(orgs);
    }
}

fn row(orgs: usize) {
    let schema = schema(orgs);
    let text = serde_json::to_string(&schema).expect("serialises");
    let mut changed = schema.clone();
    changed.organisations[orgs / 2].weight += 1;
    let (before, after) = (parts(&schema), parts(&changed));
    let fresh = after.iter().filter(|part| !before.contains(part));
    let change: usize = fresh.map(|part| part.text.len()).sum();
    let largest = before.iter().map(|part| part.text.len()).max().unwrap_or(0);
    let held = resident_kb();
    let in_force = put_in_force(&before);
    let memory = resident_kb().saturating_sub(held);
    println!(
        "{orgs:>6} {:>9} {:>6} {largest:>9} {change:>9} {:>8} {:>8.2} {:>8.2} {:>8.2} {:>8.2} {memory:>8}",
        text.len() / 1000,
        before.len(),
        serde_json::to_string(&head(&schema))
            .expect("serialises")
            .len(),
        min_time_ms(|| parse_schema(&text).expect("valid")),
        min_time_ms(|| parts(&schema)),
        min_time_ms(|| diff(&schema, &changed)),
        min_time_ms(|| put_in_force(&before)),
    );
    drop(in_force);
}

fn schema(orgs: usize) -> Schema {
    let organisations = (0..orgs).map(|n| OrgDecl {
        name: format!("organisation-{n:05}").into(),
        priority: (n % 10) as u8,
        weight: 10,
        key_sha256: [1, 2]
            .map(|k| hex::encode(key::hash(&format!("{n} {k}"))).into())
            .into(),
        max_in_flight: (n % 3 == 0).then_some(16),
    });
    Schema {
        organisations: organisations.collect(),
        ..Schema::default()
    }
}

fn parts(schema: &Schema) -> Vec<PartText> {
    split(schema).expect("parts within the size limit")
}

fn put_in_force(parts: &[PartText]) -> CompiledSchema {
    let refs: Vec<_> = parts.iter().map(|part| part.part.clone()).collect();
    let text_of = |hash: &str| {
        let found = parts.iter().find(|part| &*part.part.hash == hash);
        found.map(|part| &*part.text)
    };
    let schema = join(&refs, text_of).expect("all parts present");
    CompiledSchema::compile(Arc::new(schema)).expect("valid")
}

fn head(schema: &Schema) -> Head {
    let mut head = None;
    let refs: Vec<_> = parts(schema).into_iter().map(|part| part.part).collect();
    for base in 0..COMMITS {
        // Alternate the content, since an unchanged one would not be committed.
        let selected = refs[..refs.len() - (base % 2) as usize].to_vec();
        let proposal = Proposal {
            base,
            change: format!("01a23925-0148-70b1-bf77-{base:012}").into(),
            operator: "operator".into(),
            at_ms: 1_800_000_000_000,
            parts: selected,
            summary: vec!["~ organisation organisation-00042: weight 10 -> 11".into()],
        };
        if let Decision::Commit(next) = decide(head.as_ref(), &proposal) {
            head = Some(next);
        }
    }
    head.unwrap_or_default()
}

fn min_time_ms<T>(run: impl Fn() -> T) -> f64 {
    let times = (0..RUNS).map(|_| {
        let start = Instant::now();
        black_box(run());
        start.elapsed().as_secs_f64() * 1000.0
    });
    times.fold(f64::INFINITY, f64::min)
}

/// Returns the resident memory of this process, in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}
