//! One bound on the memory of all bodies that the process holds as a whole.
//!
//! Each body has a limit of its own, but hundreds of them arrive at the same time. If each of many upstreams
//! sends a body as long as it may, they exceed the memory of a small instance, which is then killed with all
//! requests in progress. So every body that is read as a whole takes its memory from one pool, and is given
//! up if there is none left. Long requests and answers leave a part of the pool to short ones, and to what
//! instances need to work together: otherwise faulty upstreams would also cut an instance off from the store
//! and from the others.
//!
//! A reservation is released with the last reference to the bytes.

use std::error::Error as StdError;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::Body;
use http_body_util::BodyExt;

/// Default size of the pool, in bytes.
pub const DEFAULT_POOL_BYTES: usize = 48 << 20;

/// Length up to which a body is short, in bytes.
const SHORT_BYTES: usize = 16 << 10;

/// Divisor of the pool for the part that is left to short bodies and to control traffic.
const RESERVED_PART: usize = 4;

/// What a body is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Purpose {
    /// Requests of callers and answers to them.
    #[default]
    Data,
    /// Messages between instances, the store, reports and orders.
    Control,
}

static POOL_BYTES: AtomicUsize = AtomicUsize::new(DEFAULT_POOL_BYTES);
static RESERVED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Sets the size of the pool of this process, in bytes.
pub fn set_pool_bytes(bytes: usize) {
    POOL_BYTES.store(bytes, Ordering::Relaxed);
}

/// Returns the bytes that are reserved.
#[must_use]
pub fn reserved_bytes() -> usize {
    RESERVED_BYTES.load(Ordering::Relaxed)
}

/// The pool has no room.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no buffer left")]
pub struct PoolExhausted;

/// Reserved bytes of the pool; released when dropped.
#[derive(Debug, Default)]
pub struct Reservation {
    bytes: usize,
    purpose: Purpose,
}

impl Reservation {
    fn new(purpose: Purpose) -> Self {
        Reservation { bytes: 0, purpose }
    }

    /// Changes the reservation to `bytes` bytes.
    ///
    /// # Errors
    /// The pool has no room for more; the reservation is unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), PoolExhausted> {
        if bytes <= self.bytes {
            RESERVED_BYTES.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return Ok(());
        }
        let pool = POOL_BYTES.load(Ordering::Relaxed);
        let usable = match self.purpose {
            Purpose::Data if bytes > SHORT_BYTES => pool - pool / RESERVED_PART,
            Purpose::Data | Purpose::Control => pool,
        };
        let more = bytes - self.bytes;
        let reserve = |reserved: usize| reserved.checked_add(more).filter(|n| *n <= usable);
        let updated = RESERVED_BYTES.try_update(Ordering::Relaxed, Ordering::Relaxed, reserve);
        updated.map_err(|_| PoolExhausted)?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        RESERVED_BYTES.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Why a body could not be read as a whole.
#[derive(Debug, Display, Error)]
pub enum CollectError {
    /// It is longer than its limit.
    #[display("body too long")]
    TooLong,
    /// The pool has no room.
    #[display("{_0}")]
    NoBuffer(PoolExhausted),
    /// It was not readable to its end.
    #[display("{_0}")]
    Unreadable(#[error(not(source))] Box<dyn StdError + Send + Sync>),
}

/// A whole body and its reservation.
struct ReservedBody {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of `limit` bytes at most as a whole.
///
/// # Errors
/// See [`CollectError`].
pub async fn collect<B>(body: B, limit: usize, purpose: Purpose) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn StdError + Send + Sync>>>,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = Vec::new();
    let mut reservation = Reservation::new(purpose);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| CollectError::Unreadable(e.into()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let len = bytes.len() + data.len();
        if len > limit {
            return Err(CollectError::TooLong);
        }
        if len > bytes.capacity() {
            let capacity = len.max(2 * bytes.capacity()).min(limit);
            reservation
                .resize(capacity)
                .map_err(CollectError::NoBuffer)?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    if bytes.is_empty() {
        return Ok(Bytes::new());
    }
    Ok(Bytes::from_owner(ReservedBody {
        bytes,
        _reservation: reservation,
    }))
}
