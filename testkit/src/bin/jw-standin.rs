//! `jw-standin`: runs one simulated service of the test kit as a separate process.
//!
//! Prints one line, `listening ADDRESS`, once the socket is bound; logs to standard error; exits on
//! SIGTERM or SIGINT.

use std::io::Write as _;
use std::net::SocketAddr;

use argh::FromArgs;
use jacinthweir_testkit::{Platform, PlatformCfg, Runner, RunnerCfg, Service, ServiceCfg};
use serde::de::DeserializeOwned;
use tokio_util::sync::CancellationToken;

/// Runs a simulated service of the test kit.
#[derive(FromArgs)]
struct Args {
    /// kind of service
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Kind {
    Platform(PlatformArgs),
    Runner(RunnerArgs),
    Service(ServiceArgs),
}

/// Simulated platform API.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// settings as one JSON object; {} selects the defaults
    #[argh(positional)]
    cfg: String,
}

/// Simulated model runner.
#[derive(FromArgs)]
#[argh(subcommand, name = "runner")]
struct RunnerArgs {
    /// settings as one JSON object; {} selects the defaults
    #[argh(positional)]
    cfg: String,
}

/// Simulated plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// settings as one JSON object; {} selects the defaults
    #[argh(positional)]
    cfg: String,
}

// Two threads, since a fleet runs dozens of these processes on one machine.
#[tokio::main(worker_threads = 2)]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    log_to_stderr()?;
    let token = CancellationToken::new();
    let address = bind(&args.kind, token.clone()).await?;
    let mut out = std::io::stdout();
    writeln!(out, "listening {address}")?;
    out.flush()?;
    terminated().await?;
    token.cancel();
    Ok(())
}

async fn bind(kind: &Kind, token: CancellationToken) -> eyre::Result<SocketAddr> {
    let address = match kind {
        Kind::Platform(args) => {
            let cfg: PlatformCfg = parse(&args.cfg)?;
            Platform::bind(cfg, token).await?.address
        }
        Kind::Runner(args) => {
            let cfg: RunnerCfg = parse(&args.cfg)?;
            Runner::bind(cfg, token).await?.address
        }
        Kind::Service(args) => {
            let cfg: ServiceCfg = parse(&args.cfg)?;
            Service::bind(cfg, token).await?.address
        }
    };
    Ok(address)
}

fn parse<T: DeserializeOwned>(text: &str) -> eyre::Result<T> {
    Ok(serde_json::from_str(text)?)
}

fn log_to_stderr() -> eyre::Result<()> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let now = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            out.finish(format_args!("{now} {} {message}", record.level()));
        })
        .level(log::LevelFilter::Info)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

async fn terminated() -> eyre::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
