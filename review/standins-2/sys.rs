//! Calls of the C library that the standard library does not offer.

use std::net::TcpStream;
use std::os::fd::AsRawFd;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, len: u32) -> i32;
}

/// Sends a signal to a process.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: no memory is passed.
    unsafe { kill(pid as i32, signal) };
}

fn set_option(fd: i32, level: i32, name: i32, value: i32) {
    // SAFETY: the value lives during the call, and its length is given.
    unsafe { setsockopt(fd, level, name, &value, 4) };
}

/// Connects as over a network: with segments of an Ethernet link, which loopback does not have, and a
/// receive buffer of `receive_bytes` bytes.
pub fn connect_as_over_network(
    address: std::net::SocketAddr,
    receive_bytes: i32,
) -> std::io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    let std::net::SocketAddr::V4(address) = address else {
        return Err(std::io::ErrorKind::Unsupported.into());
    };
    // SAFETY: no memory is passed; the descriptor is owned by the stream from here on.
    let stream = unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        TcpStream::from_raw_fd(fd)
    };
    let fd = stream.as_raw_fd();
    set_option(fd, IPPROTO_TCP, TCP_MAXSEG, 1_448);
    set_option(fd, SOL_SOCKET, SO_RCVBUF, receive_bytes);
    let to = SockAddrIn {
        family: AF_INET as u16,
        port: address.port().to_be(),
        address: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the address lives during the call, and its length is given.
    match unsafe { connect(fd, &to, size_of::<SockAddrIn>() as u32) } {
        0 => Ok(stream),
        _ => Err(std::io::Error::last_os_error()),
    }
}
