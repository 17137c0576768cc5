//! `jwctl`, the operators' command-line tool.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    jacinthweir_ctl::run().await
}
