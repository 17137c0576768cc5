//! Addresses that fleets of tests listen on.

use std::fs;
use std::net::{Ipv4Addr, TcpListener};

use googletest::prelude::*;
use jacinthweir_testkit::fleet::ports;

/// A port that was found free is taken before the instance binds it.
#[gtest]
fn ports_of_a_fleet_are_none_that_anybody_is_given() {
    let found = ports::free(ports::own_ip(), 9).expect("free ports");
    let handed_out = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let handed_out = handed_out.expect("the range of ports that are handed out");
    let first: u16 = handed_out
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

/// A port that is in use is passed over, and too few are an error.
#[gtest]
fn a_port_in_use_is_passed_over() {
    let ip = ports::own_ip();
    let first = ports::free(ip, 1).expect("a port")[0];
    let _held = TcpListener::bind(first).expect("it is free");
    expect_that!(ports::free(ip, 1).expect("a port")[0], not(eq(first)));
    expect_that!(ports::free(ip, 20_000), err(anything()));
}
