//! Addresses on loopback for a fleet.
//!
//! Each fleet takes a loopback address of its own, so that fleets of tests that run at the same
//! time, and outgoing connections, never take one another's ports between the moment a port is
//! found free and the moment a process binds it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

use crate::Result;

static FLEETS: AtomicU8 = AtomicU8::new(0);

/// A loopback address that no other fleet of this machine is likely to use: it is made of the
/// process id and a count within the process.
#[must_use]
pub fn own_ip() -> IpAddr {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let count = FLEETS.fetch_add(1, Ordering::Relaxed) % 100;
    IpAddr::V4(Ipv4Addr::new(127, high | 1, low, 1 + count))
}

/// Free addresses, all different.
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
