//! Identifies callers by their key and reads their request headers.

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::schema::OrgDecl;
use jacinthweir_policy::schema::key::KeyHash;
use jacinthweir_wire::caller::ErrorCode;
use jacinthweir_wire::header;
use salvo::Request;
use sha2::{Digest, Sha256};

use crate::auth::{bearer, unauthorized};
use crate::config::InForce;
use crate::reply::Refusal;

/// Longest deadline that a caller may set, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

/// A caller with a valid key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Organisation.
    pub org: OrgId,
    /// Organisation's name.
    pub organisation: Name,
    /// Priority class: the organisation's, or a lower one that the caller requested.
    pub priority: u8,
    /// Deadline in milliseconds after arrival, if the caller set one.
    pub deadline_ms: Option<u64>,
}

impl Caller {
    /// Looks up the organisation of the bearer key and reads the request headers.
    ///
    /// Keys are looked up by their SHA-256, so that the response time reveals nothing about a key.
    ///
    /// # Errors
    /// Returns `unauthorized`, or `bad_request` for an invalid header.
    pub fn identify(config: &InForce, req: &Request) -> Result<Caller, Refusal> {
        let key = bearer(req).ok_or_else(|| unauthorized("callers"))?;
        let hash: KeyHash = Sha256::digest(key.as_bytes()).into();
        let org = config.schema.org_by_key(&hash);
        let org = org.ok_or_else(|| unauthorized("callers"))?;
        let decl = &config.schema.orgs()[org];
        let requested = parse_number(req, header::PRIORITY, u64::from(OrgDecl::LOWEST_PRIORITY))?;
        let requested = requested.map_or(0, |p| p as u8);
        let deadline_ms = parse_number(req, header::DEADLINE_MS, MAX_DEADLINE_MS)?;
        if deadline_ms == Some(0) {
            return Err(invalid_header(
                header::DEADLINE_MS,
                "must be greater than 0",
            ));
        }
        Ok(Caller {
            org,
            organisation: decl.name.clone(),
            priority: decl.priority.max(requested),
            deadline_ms,
        })
    }
}

/// Parses a header as an integer of at most `max`.
fn parse_number(req: &Request, name: &'static str, max: u64) -> Result<Option<u64>, Refusal> {
    let Some(value) = req.headers().get(name) else {
        return Ok(None);
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|s| s.trim().parse::<u64>().ok());
    match parsed {
        Some(n) if n <= max => Ok(Some(n)),
        _ => Err(invalid_header(
            name,
            &format!("must be a whole number from 0 to {max}"),
        )),
    }
}

fn invalid_header(name: &str, msg: &str) -> Refusal {
    Refusal::not_run(ErrorCode::BadRequest, format!("header {name}: {msg}"))
}
