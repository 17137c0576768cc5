//! Authentication: operators and peers each share one bearer token; callers use a key of their
//! organisation.
//!
//! Tokens are compared by their SHA-256 in constant time, since a comparison that stops at the
//! first differing byte would let a caller guess a token byte by byte from the response time.

use jacinthweir_wire::caller::ErrorCode;
use salvo::prelude::*;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::Kernel;
use crate::reply::Refusal;

/// Returns the SHA-256 of a secret as hexadecimal digits.
#[must_use]
pub fn fingerprint(secret: &str) -> String {
    hex::encode(Sha256::digest(secret.as_bytes()))
}

/// Returns the bearer token of a request.
#[must_use]
pub fn bearer(req: &Request) -> Option<&str> {
    let value = req.headers().get("authorization")?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ")?;
    Some(token.trim())
}

/// Returns the refusal for a missing or wrong secret and counts it by listener.
#[must_use]
pub fn unauthorized(listener: &'static str) -> Refusal {
    metrics::counter!("jacinthweir_unauthorized_total", "face" => listener).increment(1);
    Refusal::not_run(ErrorCode::Unauthorized, "missing or wrong bearer token")
}

/// Middleware that rejects requests without the listener's bearer token.
pub struct BearerOnly {
    listener: &'static str,
    /// SHA-256 of the token, as hexadecimal digits in lower case.
    expected: String,
}

impl BearerOnly {
    pub(crate) fn peers(cx: &Kernel) -> BearerOnly {
        BearerOnly {
            listener: "peers",
            expected: fingerprint(&cx.settings.tokens.peers),
        }
    }

    pub(crate) fn operators(cx: &Kernel) -> BearerOnly {
        BearerOnly {
            listener: "operators",
            expected: cx.settings.tokens.operators_sha256.to_lowercase(),
        }
    }
}

#[handler]
impl BearerOnly {
    async fn handle(&self, req: &mut Request, res: &mut Response, ctrl: &mut FlowCtrl) {
        let presented = bearer(req).map(fingerprint);
        let equal = presented.is_some_and(|s| s.as_bytes().ct_eq(self.expected.as_bytes()).into());
        if !equal {
            unauthorized(self.listener).write(res, None);
            ctrl.skip_rest();
        }
    }
}
