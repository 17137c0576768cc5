//! Checks what the types of a schema cannot: names, references, limits and keys.
//!
//! The whole schema is checked, so that an operator sees every fault at once and not the first
//! alone. Each finding names the field and the entity at fault.

use std::collections::BTreeMap;

use super::{
    AcceleratorDecl, CallDecl, ENTRY_GROUP, ModelDecl, OrgDecl, PipelineDecl, Schema, Serves,
    ServiceDecl, UpstreamDecl, key,
};

/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The most organisations: five times the number that the target size asks for.
pub const MAX_ORGANISATIONS: usize = 100_000;
/// The most entries of any other list. References are looked up by a scan, which this bounds.
pub const MAX_ENTRIES: usize = 1000;
/// The most layers of a model.
pub const MAX_LAYERS: u32 = 10_000;
/// The most tokens one request may be allowed to generate.
pub const MAX_TOKENS: u32 = 1_000_000;
/// The longest default deadline, in milliseconds: a day.
pub const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;
/// The greatest weight of an organisation.
pub const MAX_WEIGHT: u32 = 10_000;
/// The most keys of one organisation.
pub const MAX_KEYS: usize = 32;
/// The greatest speed of an accelerator, in percent of the reference.
pub const MAX_SPEED_PERCENT: u32 = 100_000;

/// One fault of a schema, before it has a line.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{field}: {message}")]
pub struct Finding {
    /// Path of the field, as `models[0].layers`.
    pub field: String,
    /// What is wrong, with the name of the entity.
    pub message: String,
}

/// Checks a whole schema; no finding: it may be committed.
pub fn verify(schema: &Schema) -> Vec<Finding> {
    let mut cx = Verifier {
        schema,
        findings: Vec::new(),
    };
    cx.sizes();
    if !cx.findings.is_empty() {
        return cx.findings;
    }
    cx.accelerators();
    cx.models();
    cx.pipelines();
    cx.services();
    cx.upstreams();
    cx.organisations();
    cx.findings
}

struct Verifier<'a> {
    schema: &'a Schema,
    findings: Vec<Finding>,
}

impl<'a> Verifier<'a> {
    fn sizes(&mut self) {
        let schema = self.schema;
        self.size("accelerators", schema.accelerators.len(), MAX_ENTRIES);
        self.size("models", schema.models.len(), MAX_ENTRIES);
        self.size("pipelines", schema.pipelines.len(), MAX_ENTRIES);
        self.size("services", schema.services.len(), MAX_ENTRIES);
        for (i, service) in schema.services.iter().enumerate() {
            self.size(
                &format!("services[{i}].calls"),
                service.calls.len(),
                MAX_ENTRIES,
            );
        }
        self.size("upstreams", schema.upstreams.len(), MAX_ENTRIES);
        self.size(
            "organisations",
            schema.organisations.len(),
            MAX_ORGANISATIONS,
        );
    }

    fn size(&mut self, list: &str, len: usize, most: usize) {
        if len > most {
            let message = format!("{len} entries, but {most} is the most");
            self.findings.push(Finding {
                field: list.to_owned(),
                message,
            });
        }
    }

    fn accelerators(&mut self) {
        let kinds = self.schema.accelerators.iter().map(|a| &*a.kind);
        self.names("accelerators", "kind", kinds);
        for (i, decl) in self.schema.accelerators.iter().enumerate() {
            self.accelerator(&format!("accelerators[{i}]"), decl);
        }
    }

    fn accelerator(&mut self, at: &str, decl: &AcceleratorDecl) {
        let who = Who("accelerator", &decl.kind);
        let speed = u64::from(decl.speed_percent);
        self.within(
            at,
            "speed_percent",
            who,
            speed,
            u64::from(MAX_SPEED_PERCENT),
        );
        self.within(at, "memory_bytes", who, decl.memory_bytes, u64::MAX);
    }

    fn models(&mut self) {
        let names = self.schema.models.iter().map(|m| &*m.name);
        self.names("models", "name", names);
        for (i, decl) in self.schema.models.iter().enumerate() {
            self.model(&format!("models[{i}]"), decl);
        }
    }

    fn model(&mut self, at: &str, decl: &ModelDecl) {
        let who = Who("model", &decl.name);
        self.within(
            at,
            "layers",
            who,
            u64::from(decl.layers),
            u64::from(MAX_LAYERS),
        );
        self.within(at, "bytes_per_layer", who, decl.bytes_per_layer, u64::MAX);
        self.within(at, "nanos_per_layer", who, decl.nanos_per_layer, u64::MAX);
        self.within(at, "activation_bytes", who, decl.activation_bytes, u64::MAX);
        let largest = self
            .schema
            .accelerators
            .iter()
            .map(|a| a.memory_bytes)
            .max();
        if largest.is_some_and(|memory| memory < decl.bytes_per_layer) {
            self.push(
                at,
                "bytes_per_layer",
                who,
                "no accelerator has the memory for one layer",
            );
        }
    }

    fn pipelines(&mut self) {
        let names = self.schema.pipelines.iter().map(|p| &*p.name);
        self.names("pipelines", "name", names);
        for (i, decl) in self.schema.pipelines.iter().enumerate() {
            self.pipeline(&format!("pipelines[{i}]"), decl);
        }
    }

    fn pipeline(&mut self, at: &str, decl: &PipelineDecl) {
        let who = Who("pipeline", &decl.name);
        if !self.schema.models.iter().any(|m| m.name == decl.model) {
            self.dangling(at, "model", who, "model", &decl.model);
        }
        self.within(
            at,
            "max_tokens",
            who,
            u64::from(decl.max_tokens),
            u64::from(MAX_TOKENS),
        );
        self.deadline(at, who, decl.default_deadline_ms);
    }

    fn deadline(&mut self, at: &str, who: Who<'_>, ms: u64) {
        self.within(at, "default_deadline_ms", who, ms, MAX_DEADLINE_MS);
    }

    fn services(&mut self) {
        let names = self.schema.services.iter().map(|s| &*s.name);
        self.names("services", "name", names);
        for (i, decl) in self.schema.services.iter().enumerate() {
            self.service(&format!("services[{i}]"), decl);
        }
    }

    fn service(&mut self, at: &str, decl: &ServiceDecl) {
        let who = Who("service", &decl.name);
        if decl.calls.is_empty() {
            self.push(at, "calls", who, "a service needs at least one call");
        }
        self.names(
            &format!("{at}.calls"),
            "name",
            decl.calls.iter().map(|c| &*c.name),
        );
        for (i, call) in decl.calls.iter().enumerate() {
            self.call(&format!("{at}.calls[{i}]"), call);
        }
    }

    fn call(&mut self, at: &str, decl: &CallDecl) {
        let who = Who("call", &decl.name);
        self.deadline(at, who, decl.default_deadline_ms);
    }

    fn upstreams(&mut self) {
        let groups = self.schema.upstreams.iter().map(|u| &*u.group);
        self.names("upstreams", "group", groups);
        for (i, decl) in self.schema.upstreams.iter().enumerate() {
            self.upstream(&format!("upstreams[{i}]"), decl);
        }
    }

    fn upstream(&mut self, at: &str, decl: &UpstreamDecl) {
        let who = Who("upstream group", &decl.group);
        if &*decl.group == ENTRY_GROUP {
            self.push(at, "group", who, "this name is that of the entry instances");
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
                    self.dangling(at, field, who, "accelerator", accelerator);
                }
            }
            Serves::Service { service } => {
                if !self.schema.services.iter().any(|s| s.name == *service) {
                    self.dangling(at, "serves.service.service", who, "service", service);
                }
            }
        }
    }

    fn organisations(&mut self) {
        let names = self.schema.organisations.iter().map(|o| &*o.name);
        self.names("organisations", "name", names);
        let mut owners = BTreeMap::new();
        for (i, decl) in self.schema.organisations.iter().enumerate() {
            let at = format!("organisations[{i}]");
            self.organisation(&at, decl);
            self.keys(&at, decl, &mut owners);
        }
    }

    fn organisation(&mut self, at: &str, decl: &OrgDecl) {
        let who = Who("organisation", &decl.name);
        if decl.priority > OrgDecl::LOWEST_PRIORITY {
            let most = OrgDecl::LOWEST_PRIORITY;
            self.push(
                at,
                "priority",
                who,
                &format!("{} is beyond 0 to {most}", decl.priority),
            );
        }
        self.within(
            at,
            "weight",
            who,
            u64::from(decl.weight),
            u64::from(MAX_WEIGHT),
        );
        if decl.max_in_flight == Some(0) {
            let message = "0 would refuse every request; to suspend it, list no keys";
            self.push(at, "max_in_flight", who, message);
        }
    }

    fn keys(&mut self, at: &str, decl: &'a OrgDecl, owners: &mut BTreeMap<key::KeyHash, &'a str>) {
        let who = Who("organisation", &decl.name);
        if decl.key_sha256.len() > MAX_KEYS {
            let message = format!("{} keys, but {MAX_KEYS} is the most", decl.key_sha256.len());
            self.push(at, "key_sha256", who, &message);
        }
        for (i, digits) in decl.key_sha256.iter().enumerate().take(MAX_KEYS) {
            let field = format!("key_sha256[{i}]");
            let Some(hash) = key::parse(digits) else {
                self.push(at, &field, who, "not a SHA-256 of 64 hexadecimal digits");
                continue;
            };
            if hash == key::hash("") {
                self.push(at, &field, who, "the hash of an empty key");
            }
            if let Some(owner) = owners.insert(hash, &decl.name) {
                let message = format!("this key is also one of organisation `{owner}`");
                self.push(at, &field, who, &message);
            }
        }
    }

    /// Checks the form of each name of a list, and that none stands twice.
    fn names<'n>(&mut self, list: &str, field: &str, names: impl Iterator<Item = &'n str>) {
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

    fn within(&mut self, at: &str, field: &str, who: Who<'_>, value: u64, most: u64) {
        if value == 0 {
            self.push(at, field, who, "must be more than 0");
        } else if value > most {
            self.push(at, field, who, &format!("{value} is more than {most}"));
        }
    }

    fn dangling(&mut self, at: &str, field: &str, who: Who<'_>, kind: &str, name: &str) {
        self.push(at, field, who, &format!("there is no {kind} `{name}`"));
    }

    fn push(&mut self, at: &str, field: &str, who: Who<'_>, message: &str) {
        let field = format!("{at}.{field}");
        let message = format!("{who}: {message}");
        self.findings.push(Finding { field, message });
    }
}

/// Kind and name of an entity.
#[derive(Clone, Copy, derive_more::Display)]
#[display("{_0} `{_1}`")]
struct Who<'a>(&'static str, &'a str);

/// What is wrong with a name. Names stand in URL paths, headers, metrics and object keys, so
/// they keep to the characters that need no escape in any of them.
pub fn name_fault(name: &str) -> Option<String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if name.is_empty() {
        return Some("a name must not be empty".into());
    }
    if name.len() > MAX_NAME_BYTES {
        return Some(format!(
            "a name of {} bytes, but {MAX_NAME_BYTES} is the most",
            name.len()
        ));
    }
    if let Some(c) = name.chars().find(|c| !fits(*c)) {
        return Some(format!(
            "`{name}` has `{c}`; a name has letters, digits, `.`, `_` and `-`"
        ));
    }
    // Clients resolve these two away in a URL path, so the path would name something else.
    if name.chars().all(|c| c == '.') {
        return Some(format!("`{name}` can't stand in a path"));
    }
    None
}
