//! Splitting a schema into immutable, content-addressed parts.
//!
//! The core part contains everything except the organisations, which are divided into slices by the
//! hash of their name. A change to one organisation therefore rewrites one slice of about a
//! hundredth of the total, and no part comes close to the platform's limit of 1 MB. Texts are
//! canonical (lists sorted by name, fields in a fixed order), so equal schemas produce equal hashes
//! regardless of the order in the file.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::head::PartRef;
use crate::schema::{
    AcceleratorDecl, ModelDecl, OrgDecl, PipelineDecl, Schema, ServiceDecl, UpstreamDecl,
};
use crate::time::Name;

/// Number of organisation slices. With 19,000 organisations of 250 bytes, a change writes a slice
/// of 37 kB and a head of 12 kB; fewer slices enlarge the slice, and more slices enlarge the head.
pub const SLICES: u32 = 128;

/// Maximum size of a part in bytes: the platform's limit of 1 MB, less room for the envelope and
/// its escape sequences.
pub const MAX_PART_BYTES: usize = 900_000;

/// A part with its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartText {
    /// Reference with hash and size.
    pub part: PartRef,
    /// Canonical JSON.
    pub text: Name,
}

/// The content of a part.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Part {
    Core(Core),
    Organisations(Slice),
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Core {
    accelerators: Vec<AcceleratorDecl>,
    models: Vec<ModelDecl>,
    pipelines: Vec<PipelineDecl>,
    services: Vec<ServiceDecl>,
    upstreams: Vec<UpstreamDecl>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Slice {
    slice: u32,
    organisations: Vec<OrgDecl>,
}

/// An error that prevents a schema from being stored.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum SplitError {
    /// A part exceeds [`MAX_PART_BYTES`].
    #[display("{what} would take {bytes} bytes, but {MAX_PART_BYTES} is the most")]
    TooLarge {
        /// Description of the part.
        what: String,
        /// Size in bytes.
        bytes: usize,
    },
}

/// An error that prevents parts from being joined into a schema.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum JoinError {
    /// A part is missing.
    #[display("part {hash} is missing")]
    Missing {
        /// Hash of the part.
        hash: Name,
    },
    /// A text does not match the hash of its part.
    #[display("part {hash}: the text has another hash")]
    WrongHash {
        /// Expected hash.
        hash: Name,
    },
    /// A text cannot be parsed; a newer release may have written it.
    #[display("part {hash}: {cause}")]
    Unreadable {
        /// Hash of the part.
        hash: Name,
        /// Parse error.
        cause: String,
    },
    /// There is not exactly one core part.
    #[display("{found} core parts instead of one")]
    Cores {
        /// Number of core parts.
        found: usize,
    },
}

/// Splits a schema into its parts: the core first, then the non-empty slices.
///
/// # Errors
///
/// Returns an error if a part would exceed [`MAX_PART_BYTES`].
pub fn split(schema: &Schema) -> Result<Vec<PartText>, SplitError> {
    let mut parts = vec![encode("the core part", &Part::Core(core(schema)))?];
    let mut slices: BTreeMap<u32, Vec<OrgDecl>> = BTreeMap::new();
    for decl in &schema.organisations {
        slices
            .entry(slice_of(&decl.name))
            .or_default()
            .push(decl.clone());
    }
    for (slice, mut organisations) in slices {
        organisations.sort_by(|a, b| a.name.cmp(&b.name));
        let what = format!("slice {slice} of the organisations");
        parts.push(encode(
            &what,
            &Part::Organisations(Slice {
                slice,
                organisations,
            }),
        )?);
    }
    Ok(parts)
}

/// Joins parts into a schema; its lists are sorted by name.
///
/// # Errors
///
/// Returns an error if a part is missing, altered or unreadable, or if there is not exactly one
/// core part.
pub fn join<'a>(
    parts: &[PartRef],
    text_of: impl Fn(&str) -> Option<&'a str>,
) -> Result<Schema, JoinError> {
    let mut schema = Schema::default();
    let mut cores = 0;
    for part in parts {
        let hash = &part.hash;
        let text = text_of(hash).ok_or_else(|| JoinError::Missing { hash: hash.clone() })?;
        if !is_text_of(part, text) {
            return Err(JoinError::WrongHash { hash: hash.clone() });
        }
        match decode(part, text)? {
            Part::Core(core) => {
                cores += 1;
                set_core(&mut schema, core);
            }
            Part::Organisations(slice) => schema.organisations.extend(slice.organisations),
        }
    }
    if cores != 1 {
        return Err(JoinError::Cores { found: cores });
    }
    schema.organisations.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(schema)
}

/// Returns whether a text matches the size and hash of a part.
pub fn is_text_of(part: &PartRef, text: &str) -> bool {
    part.bytes == text.len() as u64 && *part.hash == *hash_of(text.as_bytes())
}

/// Returns one hash over a list of parts, which identifies the content of a whole schema.
pub fn content_of(parts: &[PartRef]) -> Name {
    let hashes: Vec<&str> = parts.iter().map(|part| &*part.hash).collect();
    hash_of(hashes.join("\n").as_bytes()).into()
}

fn hash_of(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

fn slice_of(name: &str) -> u32 {
    let [a, b, c, d, ..] = <[u8; 32]>::from(Sha256::digest(name.as_bytes()));
    u32::from_be_bytes([a, b, c, d]) % SLICES
}

fn core(schema: &Schema) -> Core {
    let mut core = Core {
        accelerators: schema.accelerators.clone(),
        models: schema.models.clone(),
        pipelines: schema.pipelines.clone(),
        services: schema.services.clone(),
        upstreams: schema.upstreams.clone(),
    };
    core.accelerators.sort_by(|a, b| a.kind.cmp(&b.kind));
    core.models.sort_by(|a, b| a.name.cmp(&b.name));
    core.pipelines.sort_by(|a, b| a.name.cmp(&b.name));
    core.services.sort_by(|a, b| a.name.cmp(&b.name));
    for service in &mut core.services {
        service.calls.sort_by(|a, b| a.name.cmp(&b.name));
    }
    core.upstreams.sort_by(|a, b| a.group.cmp(&b.group));
    core
}

fn set_core(schema: &mut Schema, core: Core) {
    schema.accelerators = core.accelerators;
    schema.models = core.models;
    schema.pipelines = core.pipelines;
    schema.services = core.services;
    schema.upstreams = core.upstreams;
}

fn encode(what: &str, part: &Part) -> Result<PartText, SplitError> {
    let text = serde_json::to_string(part).expect("declarations always serialise");
    let bytes = text.len();
    if bytes > MAX_PART_BYTES {
        return Err(SplitError::TooLarge {
            what: what.to_owned(),
            bytes,
        });
    }
    let hash = hash_of(text.as_bytes()).into();
    Ok(PartText {
        part: PartRef {
            hash,
            bytes: bytes as u64,
        },
        text: text.into(),
    })
}

fn decode(part: &PartRef, text: &str) -> Result<Part, JoinError> {
    serde_json::from_str(text).map_err(|e| JoinError::Unreadable {
        hash: part.hash.clone(),
        cause: e.to_string(),
    })
}
