//! From the text of a schema file to a verified schema.

use jacinthweir_document::{Document, Fault, MAX_FAULTS};

use super::Schema;
use super::verify::verify;

/// Reads and verifies the text of a schema file.
///
/// # Errors
///
/// The faults of the text's form; where it has none, those of its content, each with its line
/// ([`MAX_FAULTS`] at most).
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
