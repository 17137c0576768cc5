//! `jwctl`: plans and applies schemas and shows what is in force, as a database administrator
//! knows it from migrations.
//!
//! Each command is one call to one instance ([`client`]); texts and tables are made in
//! [`text`] and its folder, and [`exit`] has the documented exit codes.

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

/// Runs the command line and gives its exit code.
pub async fn run() -> ExitCode {
    let args = match Args::from_command_line() {
        Ok(args) => args,
        Err(early) => return early,
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
