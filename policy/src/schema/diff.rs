//! The difference between two schemas, as a migration plan.

use std::collections::BTreeMap;
use std::fmt;

use super::{
    AcceleratorDecl, CallDecl, ModelDecl, OrgDecl, PipelineDecl, Schema, Serves, UpstreamDecl,
};
use crate::time::Name;

/// Number of digits shown of the hash of an API key.
const SHOWN_KEY_DIGITS: usize = 12;

/// Addition, removal or alteration of one entity.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Change {
    /// The entity exists only in the new schema.
    #[display("+ {what}{}", Parenthesized(fields))]
    Added {
        /// Kind and name.
        what: EntityName,
        /// All its fields.
        fields: Vec<Field>,
    },
    /// The entity exists only in the old schema.
    #[display("- {what}")]
    Removed {
        /// Kind and name.
        what: EntityName,
    },
    /// Some fields of the entity differ.
    #[display("~ {what}: {}", CommaSeparated(fields))]
    Altered {
        /// Kind and name.
        what: EntityName,
        /// Fields that differ.
        fields: Vec<FieldChange>,
    },
}

/// Kind and name of an entity; the name of a call is `service/call`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("{kind} {name}")]
pub struct EntityName {
    /// Kind.
    pub kind: Kind,
    /// Name.
    pub name: Name,
}

/// Kind of an entity, in the order in which a plan lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Kind {
    /// An accelerator kind.
    Accelerator,
    /// A model.
    Model,
    /// A pipeline.
    Pipeline,
    /// A plain service.
    Service,
    /// A call of a plain service.
    Call,
    /// A group of upstreams.
    Upstream,
    /// An organisation.
    Organisation,
}

/// A field with its value.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{name} {value}")]
pub struct Field {
    /// Name of the field in the schema.
    pub name: &'static str,
    /// Displayed value.
    pub value: String,
}

/// A field with its old and new value.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{name} {old} -> {new}")]
pub struct FieldChange {
    /// Name of the field in the schema.
    pub name: &'static str,
    /// Displayed old value.
    pub old: String,
    /// Displayed new value.
    pub new: String,
}

/// Returns the changes from `old` to `new`, sorted by kind and name.
///
/// The order of declarations has no meaning, so reordering alone is not a change.
pub fn diff(old: &Schema, new: &Schema) -> Vec<Change> {
    let old = entities(old);
    let new = entities(new);
    let removed = old.iter().filter(|(what, _)| !new.contains_key(what));
    let mut changes: Vec<(EntityName, Change)> = removed
        .map(|(what, _)| (what.clone(), Change::Removed { what: what.clone() }))
        .collect();
    for (what, entity) in &new {
        if let Some(change) = compare(what, old.get(what), entity) {
            changes.push((what.clone(), change));
        }
    }
    changes.sort_by(|a, b| a.0.cmp(&b.0));
    changes.into_iter().map(|(_, change)| change).collect()
}

fn compare(what: &EntityName, old: Option<&Entity<'_>>, new: &Entity<'_>) -> Option<Change> {
    let what = what.clone();
    let Some(old) = old else {
        return Some(Change::Added {
            what,
            fields: new.fields(),
        });
    };
    if old == new {
        return None;
    }
    let pairs = old.fields().into_iter().zip(new.fields());
    let fields: Vec<FieldChange> = pairs
        .filter(|(old, new)| old != new)
        .map(|(old, new)| FieldChange {
            name: new.name,
            old: old.value,
            new: new.value,
        })
        .collect();
    (!fields.is_empty()).then_some(Change::Altered { what, fields })
}

/// An entity borrowed from its schema.
#[derive(PartialEq)]
enum Entity<'a> {
    Accelerator(&'a AcceleratorDecl),
    Model(&'a ModelDecl),
    Pipeline(&'a PipelineDecl),
    Service,
    Call(&'a CallDecl),
    Upstream(&'a UpstreamDecl),
    Organisation(&'a OrgDecl),
}

fn entities(schema: &Schema) -> BTreeMap<EntityName, Entity<'_>> {
    let mut all = BTreeMap::new();
    let mut insert = |kind: Kind, name: &Name, entity| {
        all.insert(
            EntityName {
                kind,
                name: name.clone(),
            },
            entity,
        );
    };
    for decl in &schema.accelerators {
        insert(Kind::Accelerator, &decl.kind, Entity::Accelerator(decl));
    }
    for decl in &schema.models {
        insert(Kind::Model, &decl.name, Entity::Model(decl));
    }
    for decl in &schema.pipelines {
        insert(Kind::Pipeline, &decl.name, Entity::Pipeline(decl));
    }
    for decl in &schema.services {
        insert(Kind::Service, &decl.name, Entity::Service);
        for call in &decl.calls {
            let name = format!("{}/{}", decl.name, call.name).into();
            insert(Kind::Call, &name, Entity::Call(call));
        }
    }
    for decl in &schema.upstreams {
        insert(Kind::Upstream, &decl.group, Entity::Upstream(decl));
    }
    for decl in &schema.organisations {
        insert(Kind::Organisation, &decl.name, Entity::Organisation(decl));
    }
    all
}

impl Entity<'_> {
    /// Returns every field except the name, in a fixed order.
    fn fields(&self) -> Vec<Field> {
        match self {
            Entity::Accelerator(a) => vec![
                field("speed_percent", a.speed_percent),
                field("memory_bytes", a.memory_bytes),
            ],
            Entity::Model(m) => vec![
                field("layers", m.layers),
                field("bytes_per_layer", m.bytes_per_layer),
                field("nanos_per_layer", m.nanos_per_layer),
                field("activation_bytes", m.activation_bytes),
            ],
            Entity::Pipeline(p) => vec![
                field("model", &p.model),
                field("max_tokens", p.max_tokens),
                field("default_deadline_ms", p.default_deadline_ms),
            ],
            Entity::Service => Vec::new(),
            Entity::Call(c) => vec![
                field("idempotent", c.idempotent),
                field("default_deadline_ms", c.default_deadline_ms),
            ],
            Entity::Upstream(u) => vec![
                field("serves", serves(&u.serves)),
                field("checks_fencing", u.checks_fencing),
            ],
            Entity::Organisation(o) => vec![
                field("priority", o.priority),
                field("weight", o.weight),
                field("max_in_flight", limit(o.max_in_flight)),
                field("key_sha256", keys(&o.key_sha256)),
            ],
        }
    }
}

fn field(name: &'static str, value: impl fmt::Display) -> Field {
    Field {
        name,
        value: value.to_string(),
    }
}

fn serves(serves: &Serves) -> String {
    match serves {
        Serves::Layers { accelerator } => format!("layers on {accelerator}"),
        Serves::Service { service } => format!("service {service}"),
    }
}

fn limit(limit: Option<u32>) -> String {
    limit.map_or_else(|| "unlimited".into(), |limit| limit.to_string())
}

fn keys(keys: &[Name]) -> String {
    let shown = |key: &Name| key.chars().take(SHOWN_KEY_DIGITS).collect::<String>();
    let shown: Vec<String> = keys.iter().map(shown).collect();
    format!("[{}]", shown.join(" "))
}

/// Displays fields as ` (a 1, b 2)`, or as an empty string if there are none.
struct Parenthesized<'a>(&'a [Field]);

impl fmt::Display for Parenthesized<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            [] => Ok(()),
            fields => write!(f, " ({})", CommaSeparated(fields)),
        }
    }
}

/// Displays items separated by commas.
struct CommaSeparated<'a, T>(&'a [T]);

impl<T: fmt::Display> fmt::Display for CommaSeparated<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, item) in self.0.iter().enumerate() {
            let comma = if i == 0 { "" } else { ", " };
            write!(f, "{comma}{item}")?;
        }
        Ok(())
    }
}
