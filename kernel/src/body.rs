//! Reads request bodies under a size limit and a time-out.

use std::time::Duration;

use bytes::Bytes;
use jacinthweir_wire::caller::ErrorCode;
use salvo::Request;
use salvo::http::ParseError;
use serde::de::DeserializeOwned;

use crate::reply::Refusal;

/// Reads a whole body.
///
/// # Errors
/// Returns a refusal with `too_large`, `request_timeout` or `bad_request`.
pub async fn read(req: &mut Request, limit: usize, timeout_ms: u64) -> Result<Bytes, Refusal> {
    if content_length(req) > limit as u64 {
        return Err(too_large(limit));
    }
    let timeout = Duration::from_millis(timeout_ms);
    let read = tokio::time::timeout(timeout, req.payload_with_max_size(limit)).await;
    match read {
        Ok(Ok(bytes)) => Ok(bytes.clone()),
        Ok(Err(ParseError::PayloadTooLarge)) => Err(too_large(limit)),
        Ok(Err(e)) => Err(Refusal::not_run(
            ErrorCode::BadRequest,
            format!("body: {e}"),
        )),
        Err(_) => {
            let msg = format!("the body did not arrive whole within {timeout_ms} ms");
            Err(Refusal::not_run(ErrorCode::RequestTimeout, msg))
        }
    }
}

/// Reads a whole body as JSON.
///
/// # Errors
/// As [`read`], and `bad_request` naming the invalid field.
pub async fn read_json<T: DeserializeOwned>(
    req: &mut Request,
    limit: usize,
    timeout_ms: u64,
) -> Result<T, Refusal> {
    let bytes = read(req, limit, timeout_ms).await?;
    let de = &mut serde_json::Deserializer::from_slice(&bytes);
    let value = serde_path_to_error::deserialize(&mut *de);
    let value = value.map_err(|e| Refusal::not_run(ErrorCode::BadRequest, describe(&e)))?;
    de.end()
        .map_err(|e| Refusal::not_run(ErrorCode::BadRequest, e.to_string()))?;
    Ok(value)
}

fn describe(e: &serde_path_to_error::Error<serde_json::Error>) -> String {
    let path = e.path().to_string();
    if path == "." {
        return e.inner().to_string();
    }
    format!("{path}: {}", e.inner())
}

fn content_length(req: &Request) -> u64 {
    req.header::<u64>("content-length").unwrap_or(0)
}

fn too_large(limit: usize) -> Refusal {
    Refusal::not_run(
        ErrorCode::TooLarge,
        format!("the body exceeds {limit} bytes"),
    )
}
