//! Core of an instance: settings, logs, metrics, listeners, shared state and plug-in registry.
//!
//! A plug-in is a plain struct of function pointers that registers itself in [`PLUGINS`] at link
//! time. The kernel creates the shared state, calls each plug-in's `spawn`, mounts its routes on
//! the three listeners and collects its section of the dump. Plug-ins do not call one another;
//! they communicate through the shared state in [`Kernel`].

pub mod auth;
pub mod body;
pub mod clock;
pub mod config;
pub mod error;
pub mod fault_point;
pub mod gate;
pub mod identity;
pub mod kernel;
pub mod lifecycle;
pub mod listener;
pub mod logs;
pub mod parts;
pub mod plugin;
pub mod prelude;
pub mod process_end;
mod quarantine;
pub mod records;
pub mod reply;
pub mod settings;
pub mod signals;
pub mod sockets;
pub mod stats;
pub mod watchdog;

pub use error::KernelError;
pub use kernel::Kernel;
pub use plugin::{ListenerKind, PLUGINS, Plugin};
pub use settings::Settings;
