//! Choice of the ports that test fleets listen on.

use std::fs;
use std::net::{Ipv4Addr, TcpListener};

use googletest::prelude::*;
use jacinthweir_testkit::fleet::ports;

/// Guards against a chosen port that another socket is given as its ephemeral port before the
/// instance binds it.
#[gtest]
fn ports_of_a_fleet_are_outside_the_ephemeral_range() {
    let found = ports::free(ports::unique_loopback_ip(), 9).expect("free ports");
    let ephemeral_range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let ephemeral_range = ephemeral_range.expect("the ephemeral port range");
    let first: u16 = ephemeral_range
        .split_whitespace()
        .next()
        .expect("a port")
        .parse()
        .expect("a number");
    for address in &found {
        expect_that!(address.port(), lt(first));
    }
    let any = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).expect("any port");
    let taken = any.local_addr().expect("an address").port();
    expect_true!(found.iter().all(|address| address.port() != taken));
}

/// Ports in use are skipped, and too few free ports are an error.
#[gtest]
fn a_port_in_use_is_skipped() {
    let ip = ports::unique_loopback_ip();
    let first = ports::free(ip, 1).expect("a port")[0];
    let _held = TcpListener::bind(first).expect("it is free");
    expect_that!(ports::free(ip, 1).expect("a port")[0], not(eq(first)));
    expect_that!(ports::free(ip, 20_000), err(anything()));
}
