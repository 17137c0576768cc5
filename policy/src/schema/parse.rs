//! Parsing of a schema file into a verified schema.

use jacinthweir_document::{Document, Fault, MAX_FAULTS};

use super::Schema;
use super::verify::verify;

/// Parses and verifies the text of a schema file.
///
/// # Errors
///
/// Returns the faults of syntax and types or, if there are none, those found by [`verify`], each
/// with its line. At most [`MAX_FAULTS`] faults are returned.
pub fn parse_schema(text: &str) -> Result<Schema, Vec<Fault>> {
    let doc = Document::parse(text)?;
    let schema: Schema = doc.read()?;
    let findings = verify(&schema);
    if findings.is_empty() {
        return Ok(schema);
    }
    let faults = findings
        .iter()
        .map(|finding| doc.fault_at(&finding.field, &finding.message));
    Err(faults.take(MAX_FAULTS).collect())
}
