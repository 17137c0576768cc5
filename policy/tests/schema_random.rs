//! Property tests of schemas: a serialized schema parses to an equal one, its parts join to an
//! equal one, and differences are symmetric.

use std::collections::BTreeSet;
use std::sync::Arc;

use jacinthweir_policy::config::parts::{content_of, join, split};
use jacinthweir_policy::schema::{
    AcceleratorDecl, CallDecl, Change, CompiledSchema, ModelDecl, OrgDecl, PipelineDecl, Schema,
    ServiceDecl, diff, key, parse_schema, verify,
};
use jacinthweir_policy::time::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn deterministic() -> Config {
    Config {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    }
}

fn names() -> impl Strategy<Value = BTreeSet<Name>> {
    let name = prop_oneof!["[a-e]", "[A-Za-z0-9_-]{1,12}"];
    prop::collection::btree_set(name.prop_map(Name::from), 0..12)
}

fn schema() -> impl Strategy<Value = Schema> {
    let lists = (names(), names(), names(), 1u32..50, any::<bool>());
    lists.prop_map(|(models, services, organisations, number, flag)| Schema {
        accelerators: vec![accelerator(number)],
        pipelines: models.iter().map(|model| pipeline(model, number)).collect(),
        models: models.iter().map(|name| model(name, number)).collect(),
        services: services.iter().map(|name| service(name, flag)).collect(),
        upstreams: vec![],
        organisations: organisations
            .iter()
            .map(|name| organisation(name, number))
            .collect(),
    })
}

fn accelerator(number: u32) -> AcceleratorDecl {
    AcceleratorDecl {
        kind: "k".into(),
        speed_percent: number,
        memory_bytes: 1 << 40,
    }
}

fn model(name: &Name, number: u32) -> ModelDecl {
    ModelDecl {
        name: name.clone(),
        layers: number,
        bytes_per_layer: 1,
        nanos_per_layer: 1,
        activation_bytes: 1,
    }
}

fn pipeline(name: &Name, number: u32) -> PipelineDecl {
    let (max_tokens, default_deadline_ms) = (number, 1);
    PipelineDecl {
        name: name.clone(),
        model: name.clone(),
        max_tokens,
        default_deadline_ms,
    }
}

fn service(name: &Name, idempotent: bool) -> ServiceDecl {
    let call = CallDecl {
        name: "c".into(),
        idempotent,
        default_deadline_ms: 1,
    };
    ServiceDecl {
        name: name.clone(),
        calls: vec![call],
    }
}

fn organisation(name: &Name, number: u32) -> OrgDecl {
    OrgDecl {
        name: name.clone(),
        priority: (number % 10) as u8,
        weight: number,
        key_sha256: vec![hex::encode(key::hash(name)).into()],
        max_in_flight: (number > 25).then_some(number),
    }
}

proptest! {
    #![proptest_config(deterministic())]

    /// A schema that an operator reads back with `jwctl` equals the one that was applied.
    #[test]
    fn serialized_schema_parses_to_an_equal_schema(schema in schema()) {
        prop_assert_eq!(verify(&schema), vec![]);
        let text = serde_json::to_string_pretty(&schema).unwrap();
        prop_assert_eq!(&parse_schema(&text).unwrap(), &schema);
        let compiled = CompiledSchema::compile(Arc::new(schema.clone())).unwrap();
        for decl in &schema.organisations {
            let org = compiled.org_by_key(&key::hash(&decl.name)).unwrap();
            prop_assert_eq!(&compiled.orgs()[org].name, &decl.name);
        }
    }

    /// An instance that joins the parts obtains the committed schema, and the order of declarations
    /// does not affect the content hash.
    #[test]
    fn parts_join_to_an_equal_schema(schema in schema()) {
        let parts = split(&schema).unwrap();
        let refs: Vec<_> = parts.iter().map(|part| part.part.clone()).collect();
        let text_of = |hash: &str| parts.iter().find(|p| &*p.part.hash == hash).map(|p| &*p.text);
        prop_assert_eq!(diff(&schema, &join(&refs, text_of).unwrap()), vec![]);
        let mut reversed = schema;
        reversed.models.reverse();
        reversed.organisations.reverse();
        let again: Vec<_> = split(&reversed).unwrap().into_iter().map(|p| p.part).collect();
        prop_assert_eq!(content_of(&again), content_of(&refs));
    }

    /// Entities added in one direction are removed in the other, and equal contents have no
    /// difference.
    #[test]
    fn diff_is_symmetric(old in schema(), new in schema()) {
        let (forward, backward) = (diff(&old, &new), diff(&new, &old));
        let named = |changes: &[Change], which: fn(&Change) -> Option<String>| {
            changes.iter().filter_map(which).collect::<Vec<_>>()
        };
        prop_assert_eq!(named(&forward, added), named(&backward, removed));
        prop_assert_eq!(named(&forward, removed), named(&backward, added));
        prop_assert_eq!(forward.len(), backward.len());
        prop_assert_eq!(forward.is_empty(), content(&old) == content(&new));
    }
}

fn added(change: &Change) -> Option<String> {
    match change {
        Change::Added { what, .. } => Some(what.to_string()),
        Change::Removed { .. } | Change::Altered { .. } => None,
    }
}

fn removed(change: &Change) -> Option<String> {
    match change {
        Change::Removed { what } => Some(what.to_string()),
        Change::Added { .. } | Change::Altered { .. } => None,
    }
}

fn content(schema: &Schema) -> Name {
    let parts: Vec<_> = split(schema).unwrap().into_iter().map(|p| p.part).collect();
    content_of(&parts)
}
