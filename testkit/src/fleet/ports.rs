//! Addresses on loopback for a fleet.
//!
//! Each fleet takes loopback addresses of its own, one for what takes any free port and one for
//! ports that are chosen before they are bound. So fleets of tests that run at the same time,
//! outgoing connections and stand-ins never take a port between the moment it is found free and
//! the moment a process binds it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

use crate::Result;

static TAKEN: AtomicU8 = AtomicU8::new(0);

/// A loopback address that no other user of this machine is likely to use: it is made of the
/// process id and a count within the process.
#[must_use]
pub fn own_ip() -> IpAddr {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let count = TAKEN.fetch_add(1, Ordering::Relaxed) % 250;
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, 1 + count))
}

/// Free ports of `ip`, all different.
///
/// # Errors
///
/// Where none can be bound.
pub fn free(ip: IpAddr, count: usize) -> Result<Vec<SocketAddr>> {
    let listeners: std::io::Result<Vec<TcpListener>> =
        (0..count).map(|_| TcpListener::bind((ip, 0))).collect();
    let addresses: std::io::Result<Vec<SocketAddr>> =
        listeners?.iter().map(TcpListener::local_addr).collect();
    Ok(addresses?)
}
