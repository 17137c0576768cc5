//! `jwctl`, the operators' command-line tool: plans and applies schemas, in the manner of database
//! migrations, and shows the configuration in force.
//!
//! Commands that need a server call one instance through [`client`]. [`text`] and its submodules
//! format the output, and [`exit`] defines the exit codes.

pub mod args;
pub mod client;
pub mod command;
pub mod day;
pub mod error;
pub mod exit;
pub mod table;
pub mod text;

use std::process::ExitCode;

use args::Args;

/// Runs the command given on the command line and returns the exit code.
pub async fn run() -> ExitCode {
    let args = match Args::from_command_line() {
        Ok(args) => args,
        Err(exit_code) => return exit_code,
    };
    match command::run(&args).await {
        Ok(output) => {
            print!("{output}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprint!("{}", text::error(&e, args.json));
            exit::code(&e)
        }
    }
}
