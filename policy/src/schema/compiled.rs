//! A verified schema in the form that decisions use.
//!
//! Names are resolved to dense indices once, when a revision takes effect. An index is valid for
//! one `CompiledSchema` only: another revision may assign a different index to the same
//! organisation, so state that outlives a revision is keyed by name.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use cranelift_entity::PrimaryMap;

use super::key::{self, KeyHash};
use super::verify::{Finding, verify};
use super::{AcceleratorDecl, CallDecl, ModelDecl, Schema, Serves};
use crate::entity::{ModelId, OrgId, PipelineId, ServiceId};
use crate::time::Name;

/// A pipeline: a model under a public name.
#[derive(Clone, Debug, PartialEq)]
pub struct Pipeline {
    /// Public name.
    pub name: Name,
    /// The model that it runs.
    pub model: ModelId,
    /// Maximum number of tokens that one request may generate.
    pub max_tokens: u32,
    /// Deadline of a request that does not specify one, in milliseconds.
    pub default_deadline_ms: u64,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Its calls by name.
    pub calls: BTreeMap<Name, CallDecl>,
}

/// An organisation, without its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Org {
    /// Name.
    pub name: Name,
    /// Priority class: 0 is served first.
    pub priority: u8,
    /// Weight for fair sharing among the organisations of the same priority.
    pub weight: u32,
    /// Maximum number of requests in flight over all instances; absent: no limit.
    pub max_in_flight: Option<u32>,
}

/// A group of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Name, as in the platform's list of instances.
    pub name: Name,
    /// What its instances serve.
    pub serves: GroupServes,
    /// Whether its instances refuse an order with an outdated fencing token.
    pub checks_fencing: bool,
}

/// What the instances of a group serve.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupServes {
    /// Layer ranges of models, on accelerators of one kind.
    Layers(AcceleratorDecl),
    /// The calls of a plain service.
    Service(ServiceId),
}

/// A verified schema with its names resolved.
#[derive(Debug, Default)]
pub struct CompiledSchema {
    source: Arc<Schema>,
    accelerators: BTreeMap<Name, AcceleratorDecl>,
    models: PrimaryMap<ModelId, ModelDecl>,
    pipelines: PrimaryMap<PipelineId, Pipeline>,
    services: PrimaryMap<ServiceId, Service>,
    orgs: PrimaryMap<OrgId, Org>,
    groups: BTreeMap<Name, Group>,
    // Only looked up, never iterated: decisions must not depend on hash map iteration order.
    models_by_name: HashMap<Name, ModelId>,
    pipelines_by_name: HashMap<Name, PipelineId>,
    services_by_name: HashMap<Name, ServiceId>,
    orgs_by_name: HashMap<Name, OrgId>,
    orgs_by_key: HashMap<KeyHash, OrgId>,
}

impl CompiledSchema {
    /// Verifies a schema and resolves its names.
    ///
    /// # Errors
    ///
    /// Returns all findings of [`verify`].
    pub fn compile(source: Arc<Schema>) -> Result<Self, Vec<Finding>> {
        let findings = verify(&source);
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut compiled = Self {
            source: source.clone(),
            ..Self::default()
        };
        compiled.add_models(&source);
        compiled.add_pipelines(&source);
        compiled.add_services(&source);
        compiled.add_groups(&source);
        compiled.add_orgs(&source);
        compiled.source = source;
        Ok(compiled)
    }

    fn add_models(&mut self, source: &Schema) {
        for decl in &source.accelerators {
            self.accelerators.insert(decl.kind.clone(), decl.clone());
        }
        for decl in &source.models {
            let id = self.models.push(decl.clone());
            self.models_by_name.insert(decl.name.clone(), id);
        }
    }

    fn add_pipelines(&mut self, source: &Schema) {
        for decl in &source.pipelines {
            let id = self.pipelines.push(Pipeline {
                name: decl.name.clone(),
                model: self.models_by_name[&decl.model],
                max_tokens: decl.max_tokens,
                default_deadline_ms: decl.default_deadline_ms,
            });
            self.pipelines_by_name.insert(decl.name.clone(), id);
        }
    }

    fn add_services(&mut self, source: &Schema) {
        for decl in &source.services {
            let calls = decl
                .calls
                .iter()
                .map(|call| (call.name.clone(), call.clone()));
            let service = Service {
                name: decl.name.clone(),
                calls: calls.collect(),
            };
            let id = self.services.push(service);
            self.services_by_name.insert(decl.name.clone(), id);
        }
    }

    fn add_groups(&mut self, source: &Schema) {
        for decl in &source.upstreams {
            let serves = match &decl.serves {
                Serves::Layers { accelerator } => {
                    GroupServes::Layers(self.accelerators[accelerator].clone())
                }
                Serves::Service { service } => GroupServes::Service(self.services_by_name[service]),
            };
            let name = decl.group.clone();
            let group = Group {
                name: name.clone(),
                serves,
                checks_fencing: decl.checks_fencing,
            };
            self.groups.insert(name, group);
        }
    }

    fn add_orgs(&mut self, source: &Schema) {
        for decl in &source.organisations {
            let id = self.orgs.push(Org {
                name: decl.name.clone(),
                priority: decl.priority,
                weight: decl.weight,
                max_in_flight: decl.max_in_flight,
            });
            self.orgs_by_name.insert(decl.name.clone(), id);
            let hashes = decl
                .key_sha256
                .iter()
                .filter_map(|digits| key::parse(digits));
            self.orgs_by_key.extend(hashes.map(|hash| (hash, id)));
        }
    }

    /// Returns the schema as declared.
    pub fn source(&self) -> &Arc<Schema> {
        &self.source
    }

    /// Returns the declaration of an accelerator kind.
    pub fn accelerator(&self, kind: &str) -> Option<&AcceleratorDecl> {
        self.accelerators.get(kind)
    }

    /// Returns the models in index order.
    pub fn models(&self) -> &PrimaryMap<ModelId, ModelDecl> {
        &self.models
    }

    /// Returns the pipelines in index order.
    pub fn pipelines(&self) -> &PrimaryMap<PipelineId, Pipeline> {
        &self.pipelines
    }

    /// Returns the plain services in index order.
    pub fn services(&self) -> &PrimaryMap<ServiceId, Service> {
        &self.services
    }

    /// Returns the organisations in index order.
    pub fn orgs(&self) -> &PrimaryMap<OrgId, Org> {
        &self.orgs
    }

    /// Returns the upstream groups by name.
    pub fn groups(&self) -> &BTreeMap<Name, Group> {
        &self.groups
    }

    /// Looks up an upstream group by name.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.get(name)
    }

    /// Looks up a model by name.
    pub fn model_named(&self, name: &str) -> Option<ModelId> {
        self.models_by_name.get(name).copied()
    }

    /// Looks up a pipeline by its public name.
    pub fn pipeline_named(&self, name: &str) -> Option<PipelineId> {
        self.pipelines_by_name.get(name).copied()
    }

    /// Looks up a plain service by name.
    pub fn service_named(&self, name: &str) -> Option<ServiceId> {
        self.services_by_name.get(name).copied()
    }

    /// Looks up a call of a plain service by name.
    pub fn call(&self, service: ServiceId, call: &str) -> Option<&CallDecl> {
        self.services[service].calls.get(call)
    }

    /// Looks up an organisation by name.
    pub fn org_named(&self, name: &str) -> Option<OrgId> {
        self.orgs_by_name.get(name).copied()
    }

    /// Looks up an organisation by the hash of one of its API keys.
    pub fn org_by_key(&self, hash: &KeyHash) -> Option<OrgId> {
        self.orgs_by_key.get(hash).copied()
    }
}

impl fmt::Display for CompiledSchema {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (id, model) in &self.models {
            writeln!(f, "{id} {}: {} layers", model.name, model.layers)?;
        }
        for (id, p) in &self.pipelines {
            writeln!(
                f,
                "{id} {}: {}, {} tokens at most",
                p.name, p.model, p.max_tokens
            )?;
        }
        for (id, service) in &self.services {
            writeln!(f, "{id} {}: {} calls", service.name, service.calls.len())?;
        }
        for group in self.groups.values() {
            writeln!(f, "group {}: {}", group.name, group.serves)?;
        }
        for (id, org) in &self.orgs {
            writeln!(
                f,
                "{id} {}: priority {}, weight {}",
                org.name, org.priority, org.weight
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for GroupServes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GroupServes::Layers(accelerator) => write!(f, "layers on {}", accelerator.kind),
            GroupServes::Service(id) => write!(f, "{id}"),
        }
    }
}
