//! Command-line arguments.
//!
//! The doc comments of the argument types and their fields are the help texts that `jwctl` prints.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::exit;

/// The operators' tool of jacinthweir: plan and apply schemas, see what is in force where and
/// what happened to a request.
#[derive(FromArgs, Debug)]
#[argh(
    note = "The server and the token may also come from JWCTL_SERVER and JWCTL_TOKEN.",
    error_code(0, "done"),
    error_code(1, "refused; nothing was changed"),
    error_code(2, "wrong use: command line, file or token"),
    error_code(3, "not known: no answer, or a commit that is not confirmed")
)]
pub struct Args {
    /// operators' address of any instance, as 10.0.0.1:7003
    #[argh(option)]
    pub server: Option<SocketAddr>,
    /// file that has the operators' token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// your name in the history; default: the environment's USER
    #[argh(option)]
    pub operator: Option<String>,
    /// the longest a call may take, in seconds; default: 20
    #[argh(option, default = "20")]
    pub timeout: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// See [`Plan`].
    Plan(Plan),
    /// See [`Apply`].
    Apply(Apply),
    /// See [`Check`].
    Check(Check),
    /// See [`History`].
    History(History),
    /// See [`Status`].
    Status(Status),
    /// See [`Request`].
    Request(Request),
    /// See [`Dump`].
    Dump(Dump),
    /// See [`Entry`].
    Entry(Entry),
    /// See [`Relay`].
    Relay(Relay),
    /// See [`Shares`].
    Shares(Shares),
    /// See [`Demand`].
    Demand(Demand),
    /// See [`Overload`].
    Overload(Overload),
    /// See [`Day`].
    Day(Day),
}

impl Command {
    /// Returns whether the command reads the state of a relay.
    #[must_use]
    pub fn reads_relay(&self) -> bool {
        matches!(
            self,
            Command::Relay(_) | Command::Shares(_) | Command::Demand(_) | Command::Overload(_)
        )
    }

    /// Returns the address of the relay whose state the command reads, if it is given as an argument.
    #[must_use]
    pub fn relay_address(&self) -> Option<SocketAddr> {
        match self {
            Command::Relay(relay) => relay.address,
            Command::Shares(shares) => shares.address,
            Command::Demand(demand) => demand.address,
            Command::Overload(overload) => overload.address,
            _ => None,
        }
    }
}

/// Show what a schema file would change, and the revision it was compared with.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// schema file: JSON with comments, see docs/SCHEMA.md
    #[argh(positional)]
    pub file: PathBuf,
}

/// Commit a schema file.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// schema file: JSON with comments, see docs/SCHEMA.md
    #[argh(positional)]
    pub file: PathBuf,
    /// revision you planned against; default: plan now and use that
    #[argh(option)]
    pub base: Option<u64>,
    /// wait until it is in force on every live instance
    #[argh(switch)]
    pub wait: bool,
    /// change id; give that of an unconfirmed apply to ask again without applying twice
    #[argh(option)]
    pub change: Option<String>,
}

/// Check a schema file without a server.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// schema file: JSON with comments, see docs/SCHEMA.md
    #[argh(positional)]
    pub file: PathBuf,
}

/// Show the latest commits, newest first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub struct History {}

/// Show what is in force where and since when, and the upstreams.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Show what happened to a request.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "request")]
pub struct Request {
    /// request id, from the answer's header jacinthweir-request
    #[argh(positional)]
    pub id: String,
}

/// Show the state of one process as JSON.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "dump")]
pub struct Dump {
    /// operators' address of the instance; default: --server
    #[argh(positional)]
    pub address: Option<SocketAddr>,
}

/// Show which addresses callers are told to use.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "entry")]
pub struct Entry {
    /// failure domain of the caller
    #[argh(option)]
    pub domain: Option<String>,
}

/// Show the state of a relay: configuration, chains, runners, instances.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "relay")]
pub struct Relay {
    /// operators' address of the relay; default: --server
    #[argh(positional)]
    pub address: Option<SocketAddr>,
}

/// Show which share of each priority's and organisation's demand a relay admits, and who is refused.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "shares")]
pub struct Shares {
    /// operators' address of the relay; default: --server
    #[argh(positional)]
    pub address: Option<SocketAddr>,
}

/// Show the demand for each service by failure domain, and what its chains may take of it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demand")]
pub struct Demand {
    /// operators' address of the relay; default: --server
    #[argh(positional)]
    pub address: Option<SocketAddr>,
}

/// Show which services are overloaded, since when, and whether contention control is in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "overload")]
pub struct Overload {
    /// operators' address of the relay; default: --server
    #[argh(positional)]
    pub address: Option<SocketAddr>,
}

/// Show from a relay's log lines what became of the requests, window by window, without a server.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "day")]
pub struct Day {
    /// files with the lines of one or more processes
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// time to a stream's first event that is still in time, in milliseconds; default: 500
    #[argh(option, default = "500")]
    pub objective_ms: u64,
    /// pause between two events that is still in time, in milliseconds; default: 200
    #[argh(option, default = "200")]
    pub pause_ms: u64,
    /// length of a window, in seconds; default: 2
    #[argh(option, default = "2")]
    pub every: u64,
    /// file to draw the day into, as SVG
    #[argh(option)]
    pub svg: Option<PathBuf>,
}

impl Args {
    /// Parses the process's command line.
    ///
    /// # Errors
    /// Returns the exit code if the help text was requested or the command line is invalid; the
    /// message has then been printed.
    pub fn from_command_line() -> Result<Args, ExitCode> {
        let args: Vec<String> = std::env::args().collect();
        let args: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
        Args::from_args(&["jwctl"], &args).map_err(|early_exit| match early_exit.status {
            Ok(()) => {
                println!("{}", early_exit.output);
                ExitCode::SUCCESS
            }
            Err(()) => {
                eprintln!("{}", early_exit.output);
                ExitCode::from(exit::USAGE_ERROR)
            }
        })
    }
}
