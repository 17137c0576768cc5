//! Path and query of a request, assembled from parts that somebody else may have named.
//!
//! A name may hold any character. Put into an address as it is, a `?` or `#` ends the path, a `/` or `&`
//! begins another part, and a `+` is read as a space by a server that decodes the query as a form, so that
//! the request asks for something else. Each part is therefore escaped where it is added: all bytes but
//! letters, digits and `-._~`, which stand for themselves in every part of an address.

use derive_more::{Display, Error};
use http::Uri;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// Bytes that are escaped in a part of an address.
const ESCAPED: AsciiSet = NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Maximum length of a target, in bytes. Servers refuse longer ones.
pub const MAX_TARGET_BYTES: usize = 6 << 10;

/// The target cannot be sent.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("an address of {bytes} bytes")]
pub struct TargetTooLong {
    /// Length of the escaped target, in bytes.
    pub bytes: usize,
}

/// Path and query of a request.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{text}")]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// Returns the target with the path `path`, which is sent as it is: it begins with a slash and has no
    /// character that needs an escape.
    #[must_use]
    pub fn new(path: &'static str) -> Target {
        Target {
            text: path.to_owned(),
            has_query: false,
        }
    }

    /// Appends a part to the path, after a slash.
    #[must_use]
    pub fn segment(mut self, part: &str) -> Target {
        self.text.push('/');
        self.text.extend(utf8_percent_encode(part, &ESCAPED));
        self
    }

    /// Appends a field to the query.
    #[must_use]
    pub fn field(mut self, name: &'static str, value: &(impl ToString + ?Sized)) -> Target {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.text.push_str(name);
        self.text.push('=');
        let value = value.to_string();
        self.text.extend(utf8_percent_encode(&value, &ESCAPED));
        self
    }

    /// Returns the target as the address of a request.
    ///
    /// # Errors
    /// Returns an error if it is longer than [`MAX_TARGET_BYTES`].
    pub fn to_uri(&self) -> Result<Uri, TargetTooLong> {
        let bytes = self.text.len();
        let too_long = TargetTooLong { bytes };
        if bytes > MAX_TARGET_BYTES {
            return Err(too_long);
        }
        // What is escaped is an address, so that only its length can be at fault.
        self.text.parse().map_err(|_| too_long)
    }
}
