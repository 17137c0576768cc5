//! Semantic checks of a schema: names, references, limits and keys.
//!
//! The check does not stop at the first fault, so that an operator sees all of them at once. Each
//! finding names the faulty field and entity.

use std::collections::BTreeMap;

use super::{
    AcceleratorDecl, CallDecl, ENTRY_GROUP, ModelDecl, OrgDecl, PipelineDecl, Schema, Serves,
    ServiceDecl, UpstreamDecl, key,
};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of organisations: five times the number at the target size.
pub const MAX_ORGANISATIONS: usize = 100_000;
/// Maximum number of entries of any other list. Bounds the linear scans that resolve references.
pub const MAX_ENTRIES: usize = 1000;
pub use crate::layers::MAX_LAYERS;
/// Maximum value of a pipeline's `max_tokens`.
pub const MAX_TOKENS: u32 = 1_000_000;
/// Maximum default deadline, in milliseconds: one day.
pub const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
/// Maximum weight of an organisation.
pub const MAX_WEIGHT: u32 = 10_000;
/// Maximum number of API keys of one organisation.
pub const MAX_KEYS: usize = 32;
/// Maximum speed of an accelerator, in percent of the reference accelerator.
pub const MAX_SPEED_PERCENT: u32 = 100_000;

/// One fault of a schema, without its line number.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{field}: {message}")]
pub struct Finding {
    /// Path of the field, such as `models[0].layers`.
    pub field: String,
    /// Description of the fault, with the name of the entity.
    pub message: String,
}

/// Checks a schema and returns all faults; a schema without faults may be committed.
///
/// Only the list sizes are checked if any of them exceeds its limit, so that the other checks run
/// on bounded input.
pub fn verify(schema: &Schema) -> Vec<Finding> {
    let mut cx = Verifier {
        schema,
        findings: Vec::new(),
    };
    cx.check_list_sizes();
    if !cx.findings.is_empty() {
        return cx.findings;
    }
    cx.check_accelerators();
    cx.check_models();
    cx.check_pipelines();
    cx.check_services();
    cx.check_upstreams();
    cx.check_organisations();
    cx.findings
}

struct Verifier<'a> {
    schema: &'a Schema,
    findings: Vec<Finding>,
}

impl<'a> Verifier<'a> {
    fn check_list_sizes(&mut self) {
        let schema = self.schema;
        self.check_list_size("accelerators", schema.accelerators.len(), MAX_ENTRIES);
        self.check_list_size("models", schema.models.len(), MAX_ENTRIES);
        self.check_list_size("pipelines", schema.pipelines.len(), MAX_ENTRIES);
        self.check_list_size("services", schema.services.len(), MAX_ENTRIES);
        for (i, service) in schema.services.iter().enumerate() {
            self.check_list_size(
                &format!("services[{i}].calls"),
                service.calls.len(),
                MAX_ENTRIES,
            );
        }
        self.check_list_size("upstreams", schema.upstreams.len(), MAX_ENTRIES);
        self.check_list_size(
            "organisations",
            schema.organisations.len(),
            MAX_ORGANISATIONS,
        );
    }

    fn check_list_size(&mut self, list: &str, len: usize, most: usize) {
        if len > most {
            let message = format!("{len} entries, but {most} is the most");
            self.findings.push(Finding {
                field: list.to_owned(),
                message,
            });
        }
    }

    fn check_accelerators(&mut self) {
        let kinds = self.schema.accelerators.iter().map(|a| &*a.kind);
        self.check_names("accelerators", "kind", kinds);
        for (i, decl) in self.schema.accelerators.iter().enumerate() {
            self.check_accelerator(&format!("accelerators[{i}]"), decl);
        }
    }

    fn check_accelerator(&mut self, at: &str, decl: &AcceleratorDecl) {
        let entity = EntityLabel("accelerator", &decl.kind);
        let speed = u64::from(decl.speed_percent);
        self.check_range(
            at,
            "speed_percent",
            entity,
            speed,
            u64::from(MAX_SPEED_PERCENT),
        );
        self.check_range(at, "memory_bytes", entity, decl.memory_bytes, u64::MAX);
    }

    fn check_models(&mut self) {
        let names = self.schema.models.iter().map(|m| &*m.name);
        self.check_names("models", "name", names);
        for (i, decl) in self.schema.models.iter().enumerate() {
            self.check_model(&format!("models[{i}]"), decl);
        }
    }

    fn check_model(&mut self, at: &str, decl: &ModelDecl) {
        let entity = EntityLabel("model", &decl.name);
        self.check_range(
            at,
            "layers",
            entity,
            u64::from(decl.layers),
            u64::from(MAX_LAYERS),
        );
        self.check_range(
            at,
            "bytes_per_layer",
            entity,
            decl.bytes_per_layer,
            u64::MAX,
        );
        self.check_range(
            at,
            "nanos_per_layer",
            entity,
            decl.nanos_per_layer,
            u64::MAX,
        );
        self.check_range(
            at,
            "activation_bytes",
            entity,
            decl.activation_bytes,
            u64::MAX,
        );
        let largest = self
            .schema
            .accelerators
            .iter()
            .map(|a| a.memory_bytes)
            .max();
        if largest.is_some_and(|memory| memory < decl.bytes_per_layer) {
            self.push_finding(
                at,
                "bytes_per_layer",
                entity,
                "no accelerator has the memory for one layer",
            );
        }
    }

    fn check_pipelines(&mut self) {
        let names = self.schema.pipelines.iter().map(|p| &*p.name);
        self.check_names("pipelines", "name", names);
        for (i, decl) in self.schema.pipelines.iter().enumerate() {
            self.check_pipeline(&format!("pipelines[{i}]"), decl);
        }
    }

    fn check_pipeline(&mut self, at: &str, decl: &PipelineDecl) {
        let entity = EntityLabel("pipeline", &decl.name);
        if !self.schema.models.iter().any(|m| m.name == decl.model) {
            self.push_dangling_reference(at, "model", entity, "model", &decl.model);
        }
        self.check_range(
            at,
            "max_tokens",
            entity,
            u64::from(decl.max_tokens),
            u64::from(MAX_TOKENS),
        );
        self.check_deadline(at, entity, decl.default_deadline_ms);
    }

    fn check_deadline(&mut self, at: &str, entity: EntityLabel<'_>, ms: u64) {
        self.check_range(at, "default_deadline_ms", entity, ms, MAX_DEADLINE_MS);
    }

    fn check_services(&mut self) {
        let names = self.schema.services.iter().map(|s| &*s.name);
        self.check_names("services", "name", names);
        for (i, decl) in self.schema.services.iter().enumerate() {
            self.check_service(&format!("services[{i}]"), decl);
        }
    }

    fn check_service(&mut self, at: &str, decl: &ServiceDecl) {
        let entity = EntityLabel("service", &decl.name);
        if decl.calls.is_empty() {
            self.push_finding(at, "calls", entity, "a service needs at least one call");
        }
        self.check_names(
            &format!("{at}.calls"),
            "name",
            decl.calls.iter().map(|c| &*c.name),
        );
        for (i, call) in decl.calls.iter().enumerate() {
            self.check_call(&format!("{at}.calls[{i}]"), call);
        }
    }

    fn check_call(&mut self, at: &str, decl: &CallDecl) {
        let entity = EntityLabel("call", &decl.name);
        self.check_deadline(at, entity, decl.default_deadline_ms);
    }

    fn check_upstreams(&mut self) {
        let groups = self.schema.upstreams.iter().map(|u| &*u.group);
        self.check_names("upstreams", "group", groups);
        for (i, decl) in self.schema.upstreams.iter().enumerate() {
            self.check_upstream(&format!("upstreams[{i}]"), decl);
        }
    }

    fn check_upstream(&mut self, at: &str, decl: &UpstreamDecl) {
        let entity = EntityLabel("upstream group", &decl.group);
        if &*decl.group == ENTRY_GROUP {
            self.push_finding(
                at,
                "group",
                entity,
                "this name is that of the entry instances",
            );
        }
        match &decl.serves {
            Serves::Layers { accelerator } => {
                if !self
                    .schema
                    .accelerators
                    .iter()
                    .any(|a| a.kind == *accelerator)
                {
                    let field = "serves.layers.accelerator";
                    self.push_dangling_reference(at, field, entity, "accelerator", accelerator);
                }
            }
            Serves::Service { service } => {
                if !self.schema.services.iter().any(|s| s.name == *service) {
                    self.push_dangling_reference(
                        at,
                        "serves.service.service",
                        entity,
                        "service",
                        service,
                    );
                }
            }
        }
    }

    fn check_organisations(&mut self) {
        let names = self.schema.organisations.iter().map(|o| &*o.name);
        self.check_names("organisations", "name", names);
        let mut owners = BTreeMap::new();
        for (i, decl) in self.schema.organisations.iter().enumerate() {
            let at = format!("organisations[{i}]");
            self.check_organisation(&at, decl);
            self.check_keys(&at, decl, &mut owners);
        }
    }

    fn check_organisation(&mut self, at: &str, decl: &OrgDecl) {
        let entity = EntityLabel("organisation", &decl.name);
        if decl.priority > OrgDecl::LOWEST_PRIORITY {
            let most = OrgDecl::LOWEST_PRIORITY;
            self.push_finding(
                at,
                "priority",
                entity,
                &format!("{} is beyond 0 to {most}", decl.priority),
            );
        }
        self.check_range(
            at,
            "weight",
            entity,
            u64::from(decl.weight),
            u64::from(MAX_WEIGHT),
        );
        if decl.max_in_flight == Some(0) {
            let message = "0 would refuse every request; to suspend it, list no keys";
            self.push_finding(at, "max_in_flight", entity, message);
        }
    }

    fn check_keys(
        &mut self,
        at: &str,
        decl: &'a OrgDecl,
        owners: &mut BTreeMap<key::KeyHash, &'a str>,
    ) {
        let entity = EntityLabel("organisation", &decl.name);
        if decl.key_sha256.len() > MAX_KEYS {
            let message = format!("{} keys, but {MAX_KEYS} is the most", decl.key_sha256.len());
            self.push_finding(at, "key_sha256", entity, &message);
        }
        for (i, digits) in decl.key_sha256.iter().enumerate().take(MAX_KEYS) {
            let field = format!("key_sha256[{i}]");
            let Some(hash) = key::parse(digits) else {
                self.push_finding(at, &field, entity, "not a SHA-256 of 64 hexadecimal digits");
                continue;
            };
            if hash == key::hash("") {
                self.push_finding(at, &field, entity, "the hash of an empty key");
            }
            if let Some(owner) = owners.insert(hash, &decl.name) {
                let message = format!("this key is also one of organisation `{owner}`");
                self.push_finding(at, &field, entity, &message);
            }
        }
    }

    /// Checks that each name of a list is well-formed and unique.
    fn check_names<'n>(&mut self, list: &str, field: &str, names: impl Iterator<Item = &'n str>) {
        let mut first = BTreeMap::new();
        for (i, name) in names.enumerate() {
            let at = format!("{list}[{i}]");
            if let Some(message) = name_fault(name) {
                self.findings.push(Finding {
                    field: format!("{at}.{field}"),
                    message,
                });
            } else if let Some(earlier) = first.get(name) {
                let message = format!("`{name}` is also the {field} of {list}[{earlier}]");
                self.findings.push(Finding {
                    field: format!("{at}.{field}"),
                    message,
                });
            } else {
                first.insert(name, i);
            }
        }
    }

    fn check_range(
        &mut self,
        at: &str,
        field: &str,
        entity: EntityLabel<'_>,
        value: u64,
        most: u64,
    ) {
        if value == 0 {
            self.push_finding(at, field, entity, "must be more than 0");
        } else if value > most {
            self.push_finding(at, field, entity, &format!("{value} is more than {most}"));
        }
    }

    fn push_dangling_reference(
        &mut self,
        at: &str,
        field: &str,
        entity: EntityLabel<'_>,
        kind: &str,
        name: &str,
    ) {
        self.push_finding(at, field, entity, &format!("there is no {kind} `{name}`"));
    }

    fn push_finding(&mut self, at: &str, field: &str, entity: EntityLabel<'_>, message: &str) {
        let field = format!("{at}.{field}");
        let message = format!("{entity}: {message}");
        self.findings.push(Finding { field, message });
    }
}

/// Kind and name of an entity, for messages.
#[derive(Clone, Copy, derive_more::Display)]
#[display("{_0} `{_1}`")]
struct EntityLabel<'a>(&'static str, &'a str);

/// Returns the reason why a name is invalid, if it is.
///
/// Names are used in URL paths, headers, metrics and object keys, so they are limited to the
/// characters that need no escaping in any of them.
pub fn name_fault(name: &str) -> Option<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if name.is_empty() {
        return Some("a name must not be empty".into());
    }
    if name.len() > MAX_NAME_BYTES {
        return Some(format!(
            "a name of {} bytes, but {MAX_NAME_BYTES} is the most",
            name.len()
        ));
    }
    if let Some(c) = name.chars().find(|c| !is_allowed(*c)) {
        return Some(format!(
            "`{name}` has `{c}`; a name has letters, digits, `.`, `_` and `-`"
        ));
    }
    // Clients remove `.` and `..` when they normalise a URL path, which would change its target.
    if name.chars().all(|c| c == '.') {
        return Some(format!("`{name}` can't stand in a path"));
    }
    None
}
