//! Case-file tests: results of the route verifier, and throughput bounds computed by hand.

use std::path::Path;

use googletest::prelude::*;
use jacinthweir_policy::layers::LayerRange;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::route::{
    CloseReason, HeldRange, LinkEnds, LinkObservation, ModelSpec, RouteStage, Router, RouterConfig,
    RunnerReport, verify_route,
};

/// Returns the name, input lines and expected lines of each case in `tests/cases/{folder}`, sorted.
fn cases(folder: &str) -> Vec<(String, Vec<String>, Vec<String>)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/cases")
        .join(folder);
    let files = std::fs::read_dir(root)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let mut cases: Vec<_> = files
        .map(|file| {
            let text = std::fs::read_to_string(&file).unwrap();
            let lines: Vec<String> = text.lines().map(str::to_string).collect();
            let mut halves = lines.split(|line| line == "---").map(<[String]>::to_vec);
            let name = file.file_stem().unwrap().to_string_lossy().into_owned();
            (name, halves.next().unwrap(), halves.next().unwrap())
        })
        .collect();
    cases.sort();
    cases
}

fn range(text: &str) -> LayerRange {
    let (start, end) = text.split_once("..").unwrap();
    LayerRange::new(start.parse().unwrap(), end.parse().unwrap())
}

fn runner(text: &str) -> RunnerId {
    RunnerId::from_u32(text.strip_prefix("runner").unwrap().parse().unwrap())
}

fn stage(text: &str) -> RouteStage {
    let (name, layers) = text.trim().split_once(' ').unwrap();
    RouteStage {
        runner: runner(name),
        incarnation: 1,
        name: name.into(),
        address: ([127, 0, 0, 1], 1).into(),
        layers: range(layers),
    }
}

fn verify_case(input: &[String]) -> String {
    let (mut layers, mut held, mut stages) = (0, Vec::new(), Vec::new());
    for line in input {
        if let Some(count) = line.strip_prefix("layers ") {
            layers = count.parse().unwrap();
        } else if let Some(route) = line.strip_prefix("route ") {
            stages = route.split(',').map(stage).collect();
        } else {
            let (name, holds) = line.split_once(" holds ").unwrap();
            held.push((runner(name), range(holds)));
        }
    }
    let holds = |r, layers| {
        held.iter()
            .any(|(id, range)| *id == r && range.covers(layers))
    };
    match verify_route(layers, &stages, holds) {
        Ok(()) => "ok".into(),
        Err(fault) => fault.to_string(),
    }
}

#[gtest]
fn verifier_reports_the_expected_fault() {
    for (name, input, expected) in cases("route") {
        expect_that!(vec![verify_case(&input)], eq(&expected), "{name}");
    }
}

/// Size of one token's activations in the bound cases, in bytes.
const ACTIVATION_BYTES: u64 = 16_384;

fn observe(router: &mut Router, words: &[&str]) {
    match words {
        ["layers", layers] => router.set_models(&[ModelSpec {
            name: "m".into(),
            layers: layers.parse().unwrap(),
            nanos_per_layer: 1,
            activation_bytes: ACTIVATION_BYTES,
        }]),
        ["runner", name, layers, "speed", speed, "in", domain] => {
            let report = RunnerReport {
                name: (*name).into(),
                incarnation: 1,
                number: 1,
                address: ([127, 0, 0, 1], 1).into(),
                domain: (*domain).into(),
                accelerator: "kind".into(),
                holds: vec![HeldRange {
                    model: "m".into(),
                    layers: range(layers),
                }],
                token_layers_per_s: speed.parse().unwrap(),
                running: 0,
                queued: 0,
                leaving: false,
                age_ms: 0,
            };
            router.observe(0, &report);
        }
        ["link", a, b, bytes_per_s] => router.observe_link(
            0,
            &LinkObservation {
                ends: LinkEnds::Domains((*a).into(), (*b).into()),
                latency_us: 300,
                bytes_per_s: bytes_per_s.parse().unwrap(),
            },
        ),
        ["close", name] => router.close(0, name, CloseReason::Gone),
        _ => panic!("no such line: {words:?}"),
    }
}

#[gtest]
fn bounds_match_hand_computed_values() {
    for (name, input, expected) in cases("bound") {
        let mut router = Router::new(RouterConfig::default());
        for line in &input {
            observe(&mut router, &line.split(' ').collect::<Vec<_>>());
        }
        router.replan(0);
        let plan = router.plan(ModelId::from_u32(0)).unwrap();
        let tight: Vec<String> = plan.tight.iter().map(ToString::to_string).collect();
        let mut lines = vec![
            format!("bound {:.1}", plan.bound),
            format!("planned {:.1}", plan.planned),
            format!("tight {}", tight.join(", ")),
        ];
        lines.extend(plan.uncovered.map(|layers| format!("uncovered {layers}")));
        expect_that!(lines, eq(&expected), "{name}");
    }
}
