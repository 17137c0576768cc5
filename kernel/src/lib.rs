//! Settings, logs, metrics, cancellation, listeners, the dump and the list of plug-ins.
//!
//! A plug-in is a plain struct of function pointers that registers itself in [`PLUGINS`] at link
//! time. The kernel opens the shared state, calls each plug-in's `spawn`, mounts its routes on
//! the three listeners and asks it for its part of the dump. Plug-ins do not call one another:
//! they meet in [`Kernel`]'s shared state.

pub mod auth;
pub mod body;
pub mod clock;
pub mod config;
pub mod error;
pub mod fault_point;
pub mod gate;
pub mod identity;
pub mod kernel;
pub mod life;
pub mod listener;
pub mod logs;
pub mod parts;
pub mod plugin;
pub mod prelude;
pub mod records;
pub mod reply;
pub mod settings;
pub mod stats;

pub use error::KernelError;
pub use kernel::Kernel;
pub use plugin::{Face, PLUGINS, Plugin};
pub use settings::Settings;
