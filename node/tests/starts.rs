//! Starts and ends of real processes: what passes by itself is waited for, and each end says its cause.

#[path = "support/process.rs"]
mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;

use googletest::prelude::*;
use support::{
    Addresses, Form, Process, accepts, command, send_signal, settings_path, wait_for_end,
    wait_until,
};

/// Line of a relay that serves.
const STARTED: &str = "\"message\":\"started\"";

/// Line of a process that waits for a listening address.
const WAITING: &str = "waiting for a listening address";

/// Line of a process that waits for its settings file.
const WAITING_FOR_SETTINGS: &str = "waiting for the settings file";

/// Capacity of a pipe, in bytes.
const PIPE_BYTES: usize = 64 << 10;

/// Expects a process to have ended with a code, and its last line to say so.
#[track_caller]
fn expect_end((code, last): (Option<i32>, String), end: &str, exit_code: i32) {
    expect_that!(code, some(eq(exit_code)));
    expect_that!(last, contains_substring("\"message\":\"stopped\""));
    expect_that!(last, contains_substring(format!("\"ended\":\"{end}\"")));
    let exit_code = format!("\"exit_code\":\"{exit_code}\"");
    expect_that!(last, contains_substring(exit_code));
}

/// Guards against an end that leaves no cause: a stop that was asked for looked like a process that
/// disappeared.
#[gtest]
fn a_clean_stop_says_so() {
    let mut relay = Process::start("stop", Form::Relay, &Addresses::of(1).relay_settings());
    relay.wait_for_line(STARTED);
    relay.signal("TERM");
    expect_end(relay.wait(), "clean", 0);
    let mut own = Process::start("stop-own", Form::Own, &Addresses::of(2).own_settings());
    own.wait_for_line("started");
    own.signal("TERM");
    expect_end(own.wait(), "clean", 0);
}

/// Guards against a last line that the level of the log leaves out.
#[gtest]
fn the_last_line_is_written_at_each_level() {
    let addresses = Addresses::of(3);
    let settings = addresses.relay_settings();
    let quiet = settings.replacen('{', r#"{ "log": { "level": "error" },"#, 1);
    let mut relay = Process::start("quiet", Form::Relay, &quiet);
    wait_until("a listener", || accepts(addresses.callers));
    relay.signal("TERM");
    expect_end(relay.wait(), "clean", 0);
}

/// Guards against an end that hangs because nobody reads the log.
#[gtest]
fn an_end_does_not_wait_for_the_reader_of_the_log() {
    for (form, host) in [(Form::Relay, 4), (Form::Own, 5)] {
        let addresses = Addresses::of(host);
        let path = settings_path(&format!("unread-{host}"));
        let settings = form.settings(&addresses);
        let quiet = settings.replacen('{', r#"{ "log": { "level": "error" },"#, 1);
        std::fs::write(&path, quiet).expect("the settings");
        let (_unread, mut writer) = std::io::pipe().expect("a pipe");
        writer
            .write_all(&vec![b'\n'; PIPE_BYTES])
            .expect("a full pipe");
        let mut child = command(form, &path)
            .stdout(writer.try_clone().expect("its other end"))
            .stderr(writer)
            .spawn()
            .expect("a process");
        wait_until("a listener", || accepts(addresses.callers));
        send_signal(&child, "TERM");
        expect_that!(wait_for_end(&mut child).code(), some(eq(0)));
    }
}

/// Guards against a failed start that looks like any other: settings with faults end at once and say so.
#[gtest]
fn settings_with_faults_end_the_start_at_once() {
    for (form, host) in [(Form::Relay, 6), (Form::Own, 7)] {
        let settings = form.settings(&Addresses::of(host));
        let faulty = settings.replace("\"failure_domain\"", "\"domain_of_failure\"");
        let mut process = Process::start(&format!("faults-{host}"), form, &faulty);
        let (code, last) = process.wait();
        expect_that!(last, contains_substring("domain_of_failure"));
        expect_end((code, last), "settings_invalid", 2);
    }
}

/// Guards against a start that waits for what doesn't pass: no machine has a link-local address without
/// an interface.
#[gtest]
fn an_address_that_cannot_be_used_ends_the_start_at_once() {
    let addresses = Addresses::of(8);
    let unusable = SocketAddr::new("fe80::1".parse().expect("an address"), 7_001);
    let settings = addresses.relay_settings();
    let settings = settings.replace(&addresses.callers.to_string(), &unusable.to_string());
    let mut relay = Process::start("unusable", Form::Relay, &settings);
    let (code, last) = relay.wait();
    expect_that!(last, contains_substring("callers at [fe80::1]:7001"));
    expect_end((code, last), "start_failed", 1);
}

/// Guards against a start that ends because an address is in use for a moment, by a predecessor in its
/// grace or any other process. Nothing accepts connections before everything can.
#[gtest]
fn a_start_waits_for_addresses_in_use() {
    for (form, host) in [(Form::Relay, 10), (Form::Own, 11)] {
        let addresses = Addresses::of(host);
        let taken = [addresses.callers, addresses.peers];
        let taken = taken.map(|address| TcpListener::bind(address).expect("a listener"));
        let name = format!("taken-{host}");
        let mut process = Process::start(&name, form, &form.settings(&addresses));
        for _ in 0..2 {
            process.wait_for_line(WAITING);
        }
        let [callers, peers] = taken;
        drop(callers);
        process.wait_for_line("listening address is free");
        expect_that!(accepts(addresses.callers), eq(false));
        if form == Form::Relay {
            expect_that!(accepts(addresses.ready), eq(false));
            expect_that!(accepts(addresses.entry), eq(false));
        }
        drop(peers);
        process.wait_for_line("started");
        wait_until("a listener", || accepts(addresses.callers));
    }
}

/// Guards against a start that ends because the machine gave its port to an outgoing connection while no
/// instance ran.
#[gtest]
fn a_start_waits_for_the_local_end_of_a_connection() {
    let addresses = Addresses::of(12);
    let server = TcpListener::bind(addresses.store).expect("a server");
    let connection = connect_from(addresses.entry, addresses.store);
    let mut relay = Process::start("local-end", Form::Relay, &addresses.relay_settings());
    relay.wait_for_line(WAITING);
    // The server closes first: the port is then free at once on the instance's side.
    drop(server.accept().expect("a connection"));
    drop(connection);
    drop(server);
    relay.wait_for_line(STARTED);
}

/// Opens a connection whose local end is `from`.
fn connect_from(from: SocketAddr, to: SocketAddr) -> TcpStream {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let connection = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind(from).expect("its local end");
        socket.connect(to).await.expect("a connection")
    });
    connection.into_std().expect("a connection")
}

/// Guards against a start that ends because its predecessor at the same addresses is still in its grace.
#[gtest]
fn a_start_waits_for_its_predecessor() {
    let settings = Addresses::of(13).relay_settings();
    let mut old = Process::start("predecessor", Form::Relay, &settings);
    old.wait_for_line(STARTED);
    old.signal("TERM");
    let mut new = Process::start("predecessor", Form::Relay, &settings);
    new.wait_for_line(WAITING);
    new.wait_for_line(STARTED);
    expect_end(old.wait(), "clean", 0);
}

/// Guards against a process that waits for good: the platform can only act on one that ended.
#[gtest]
fn a_start_ends_if_an_address_stays_in_use() {
    let addresses = Addresses::of(14);
    let _taken = TcpListener::bind(addresses.ready).expect("a listener");
    let settings = addresses.relay_settings();
    let mut relay = Process::start("occupied", Form::Relay, &settings);
    relay.wait_for_line(WAITING);
    let (code, last) = relay.wait();
    expect_that!(last, contains_substring(addresses.ready.to_string()));
    expect_end((code, last), "start_failed", 1);
}

/// Guards against an instance that has no metrics and no dump for all its life because their port was taken
/// when it started.
#[gtest]
fn the_operators_listener_is_opened_once_its_address_is_free() {
    let addresses = Addresses::of(15);
    let taken = TcpListener::bind(addresses.operators).expect("a listener");
    let settings = addresses.relay_settings();
    let mut relay = Process::start("operators", Form::Relay, &settings);
    relay.wait_for_line("operators' listener unavailable");
    relay.wait_for_line(STARTED);
    drop(taken);
    relay.wait_for_line("operators' listener is open");
    expect_that!(accepts(addresses.operators), eq(true));
}

/// Guards against signals that end a process, or are lost, while its start lasts.
#[gtest]
fn signals_are_obeyed_while_a_start_waits_for_an_address() {
    for (form, host) in [(Form::Relay, 16), (Form::Own, 17)] {
        let addresses = Addresses::of(host);
        let _taken = TcpListener::bind(addresses.callers).expect("a listener");
        let name = format!("signals-{host}");
        let mut process = Process::start(&name, form, &form.settings(&addresses));
        process.wait_for_line(WAITING);
        process.signal("HUP");
        process.wait_for_line(form.hang_up());
        process.signal("TERM");
        expect_end(process.wait(), "clean", 0);
    }
}

/// Guards against a process that a hang-up ends before its settings are read, or that a stop cannot end.
#[gtest]
fn signals_are_obeyed_before_the_settings_are_read() {
    for (form, host) in [(Form::Relay, 18), (Form::Own, 19)] {
        let path = settings_path(&format!("fifo-{host}"));
        let _ = std::fs::remove_file(&path);
        let made = Command::new("mkfifo").arg(&path).status();
        assert!(made.expect("the command").success(), "no pipe");
        let mut process = Process::start_with(form, &path);
        wait_until("signal handlers", || process.catches_hang_ups());
        process.signal("HUP");
        process.signal("HUP");
        expect_that!(process.lives(), eq(true));
        let settings = form.settings(&Addresses::of(host));
        // Opening the pipe waits for its reader, and fails if there never is one.
        std::fs::write(&path, settings).expect("the settings");
        process.wait_for_line("started");
        process.signal("TERM");
        expect_end(process.wait(), "clean", 0);
        let mut stopped = Process::start_with(form, &path);
        wait_until("signal handlers", || stopped.catches_hang_ups());
        stopped.signal("TERM");
        expect_end(stopped.wait(), "clean", 0);
    }
}

/// Guards against an instance with the own interface that ends when its terminal hangs up.
#[gtest]
fn a_hang_up_does_not_end_an_instance() {
    for (form, host) in [(Form::Relay, 20), (Form::Own, 21)] {
        let settings = form.settings(&Addresses::of(host));
        let mut process = Process::start(&format!("hang-up-{host}"), form, &settings);
        process.wait_for_line("started");
        process.signal("HUP");
        process.wait_for_line(form.hang_up());
        process.signal("TERM");
        expect_end(process.wait(), "clean", 0);
    }
}

/// Guards against a start that ends because it reads its settings file while that is being written.
#[gtest]
fn a_start_waits_until_the_settings_file_is_whole() {
    let addresses = Addresses::of(22);
    let own = Addresses::of(23);
    for (form, addresses) in [(Form::Relay, addresses), (Form::Own, own)] {
        let whole = form.settings(&addresses);
        let path = settings_path(&format!("partial-{form:?}"));
        let (partial, _) = whole.split_at(whole.len() / 2);
        for text in [None, Some(""), Some(partial)] {
            let _ = std::fs::remove_file(&path);
            if let Some(text) = text {
                std::fs::write(&path, text).expect("the settings");
            }
            let mut process = Process::start_with(form, &path);
            process.wait_for_line(WAITING_FOR_SETTINGS);
            std::fs::write(&path, &whole).expect("the settings");
            process.wait_for_line("started");
        }
    }
}

/// Guards against a process that waits for good for a settings file that nobody writes.
#[gtest]
fn a_start_ends_if_the_settings_file_stays_cut_off() {
    let mut process = Process::start("cut-off", Form::Relay, "{ \"name\": ");
    process.wait_for_line(WAITING_FOR_SETTINGS);
    expect_end(process.wait(), "settings_invalid", 2);
}

/// Guards against a check of a settings file that waits for it to change.
#[gtest]
fn a_check_of_settings_does_not_wait() {
    let path = settings_path("check");
    std::fs::write(&path, "").expect("the settings");
    for option in ["--check-settings", "--check-relay-settings"] {
        let checked = Command::new(env!("CARGO_BIN_EXE_jacinthweir"))
            .arg(option)
            .arg(&path)
            .output()
            .expect("a check");
        expect_that!(checked.status.code(), some(eq(1)));
        let printed = String::from_utf8_lossy(&checked.stderr);
        expect_that!(printed, not(contains_substring(WAITING_FOR_SETTINGS)));
    }
}

/// Guards against a hang-up that has the settings read on the event loop: a read that hangs stalls it, and
/// the watchdog ends the process.
#[gtest]
fn a_hang_up_outlives_a_settings_file_whose_read_hangs() {
    let path = settings_path("hanging");
    let _ = std::fs::remove_file(&path);
    let made = Command::new("mkfifo").arg(&path).status();
    assert!(made.expect("the command").success(), "no pipe");
    let mut process = Process::start_with(Form::Relay, &path);
    let settings = Form::Relay.settings(&Addresses::of(20));
    std::fs::write(&path, settings).expect("the settings");
    process.wait_for_line("started");
    process.signal("HUP");
    // A signal that comes together with a termination is not acted on.
    std::thread::sleep(std::time::Duration::from_millis(500));
    process.signal("TERM");
    expect_end(process.wait(), "clean", 0);
}
