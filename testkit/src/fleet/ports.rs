//! Addresses on loopback for a fleet.
//!
//! Each fleet takes loopback addresses of its own, one for what takes any free port and one for
//! ports that are chosen before they are bound. So fleets of tests that run at the same time,
//! outgoing connections and stand-ins never take a port between the moment it is found free and
//! the moment a process binds it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU8, Ordering};

use crate::{Error, Result};

static TAKEN: AtomicU8 = AtomicU8::new(0);

/// A loopback address that no other user of this machine is likely to use: it is made of the
/// process id and a count within the process.
#[must_use]
pub fn own_ip() -> IpAddr {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let count = TAKEN.fetch_add(1, Ordering::Relaxed) % 250;
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, 1 + count))
}

/// Ports that are chosen for a fleet: below those that systems hand out for outgoing connections and to
/// listeners that take any port. A listener of another program on all addresses of the machine would
/// otherwise take a port between the moment it is found free and the moment a process binds it.
const PORTS: RangeInclusive<u16> = 10_000..=29_999;

/// Free ports of `ip`, all different.
///
/// # Errors
///
/// Where there are fewer.
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
