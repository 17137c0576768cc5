//! Types that nearly every plug-in uses.

pub use std::sync::Arc;

pub use jacinthweir_policy::prelude::*;
pub use log::{debug, error, info, warn};
pub use salvo::prelude::{Depot, Request, Response, Router, StatusCode, handler};

pub use crate::error::KernelError;
pub use crate::fault_point;
pub use crate::kernel::Kernel;
pub use crate::plugin::{ListenerKind, PLUGINS, Plugin};
