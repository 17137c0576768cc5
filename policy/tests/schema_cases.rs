//! Tests of schema verification and differences by case files. Each file has its input, a line
//! `---`, and the expected output lines.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use googletest::prelude::*;
use jacinthweir_policy::schema::{CompiledSchema, diff, key, parse_schema};

/// Returns the files of a directory below `tests/cases`, sorted by name.
fn cases(dir: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/cases")
        .join(dir);
    let mut files: Vec<PathBuf> = std::fs::read_dir(root)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    files
}

fn sections(file: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(file).unwrap();
    let mut sections = vec![String::new()];
    for line in text.lines() {
        match line {
            "---" => sections.push(String::new()),
            line => sections.last_mut().unwrap().extend([line, "\n"]),
        }
    }
    sections
}

#[gtest]
fn faulty_schemas_give_the_expected_faults() {
    for file in cases("schema") {
        let sections = sections(&file);
        let faults = parse_schema(&sections[0]).err().unwrap_or_default();
        let lines: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
        expect_that!(lines, eq(&sections[1]), "{}", file.display());
    }
}

#[gtest]
fn diff_lists_the_expected_changes() {
    for file in cases("diff") {
        let sections = sections(&file);
        let old = parse_schema(&sections[0]).unwrap();
        let new = parse_schema(&sections[1]).unwrap();
        let lines: String = diff(&old, &new)
            .iter()
            .map(|change| format!("{change}\n"))
            .collect();
        expect_that!(lines, eq(&sections[2]), "{}", file.display());
        expect_that!(diff(&new, &new), is_empty(), "{}", file.display());
    }
}

#[gtest]
fn compiled_schema_resolves_names_and_keys() {
    let file = cases("schema")
        .into_iter()
        .find(|file| file.ends_with("whole.txt"))
        .unwrap();
    let schema = parse_schema(&sections(&file)[0]).unwrap();
    let compiled = CompiledSchema::compile(Arc::new(schema)).unwrap();
    let org = compiled.org_by_key(&key::hash("key-one")).unwrap();
    expect_that!(&*compiled.orgs()[org].name, eq("atelier-olinda"));
    expect_that!(compiled.org_named("atelier-olinda"), some(eq(org)));
    expect_that!(compiled.org_by_key(&key::hash("key-two")), none());
    let pipeline = compiled.pipeline_named("notas").unwrap();
    expect_that!(
        compiled.pipelines()[pipeline].model,
        eq(compiled.model_named("sonora").unwrap())
    );
    let service = compiled.service_named("pedidos").unwrap();
    expect_that!(
        compiled.call(service, "reservar").unwrap().idempotent,
        eq(false)
    );
    expect_that!(compiled.call(service, "apagar"), none());
    expect_that!(
        compiled.to_string(),
        contains_substring("model0 sonora: 24 layers")
    );
    expect_that!(
        compiled.to_string(),
        contains_substring("group orders: service0")
    );
}

#[gtest]
fn a_faulty_schema_does_not_compile() {
    let mut schema = parse_schema("{}").unwrap();
    schema
        .organisations
        .push(jacinthweir_policy::schema::OrgDecl {
            name: "a b".into(),
            priority: 0,
            weight: 1,
            key_sha256: vec![],
            max_in_flight: None,
        });
    expect_that!(
        CompiledSchema::compile(Arc::new(schema)).unwrap_err(),
        len(eq(1))
    );
}

#[gtest]
fn number_of_entries_is_bounded() {
    let accelerator = r#"{"kind": "k", "speed_percent": 1, "memory_bytes": 1}"#;
    let text = format!(
        r#"{{"accelerators": [{}]}}"#,
        vec![accelerator; 1001].join(",")
    );
    let faults = parse_schema(&text).unwrap_err();
    let expected = "line 1: accelerators: 1001 entries, but 1000 is the most";
    expect_that!(faults[0].to_string(), eq(expected));
    expect_that!(faults, len(eq(1)));
}
