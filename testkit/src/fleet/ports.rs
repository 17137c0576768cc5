//! Loopback addresses and ports for a fleet.
//!
//! Each fleet uses two loopback addresses: one for listeners that bind port 0 and one for ports
//! that are chosen before they are bound. Fleets of concurrent tests, outgoing connections and
//! stand-ins therefore can't take a port between the check that it is free and the bind.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU8, Ordering};

use crate::{Error, Result};

static ALLOCATED: AtomicU8 = AtomicU8::new(0);

/// Returns a loopback address that is unlikely to be in use on this machine, derived from the
/// process id and a counter within the process.
#[must_use]
pub fn unique_loopback_ip() -> IpAddr {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let count = ALLOCATED.fetch_add(1, Ordering::Relaxed) % 250;
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, 1 + count))
}

/// Ports that are chosen for a fleet, below the usual ephemeral port range.
///
/// An ephemeral port could be taken by another program's listener on the unspecified address
/// between the check that it is free and the bind.
const PORTS: RangeInclusive<u16> = 10_000..=29_999;

/// Returns `count` distinct free ports of `ip`.
///
/// # Errors
///
/// Fails if fewer ports are free.
pub fn free(ip: IpAddr, count: usize) -> Result<Vec<SocketAddr>> {
    let addresses = PORTS.map(|port| SocketAddr::from((ip, port)));
    let free = addresses.filter(|address| TcpListener::bind(address).is_ok());
    let found: Vec<SocketAddr> = free.take(count).collect();
    if found.len() < count {
        let cause = format!("{} of {count} ports are free at {ip}", found.len());
        return Err(Error::Other(cause));
    }
    Ok(found)
}
