//! The verifier: no route is used before it passed.
//!
//! A route is a chain of stages whose ranges cover `[0, layers)` in order, each layer once. A
//! stage runs within what its runner holds, and no runner appears twice, since a runner refuses
//! to run the same attempt a second time.

use super::records::RouteStage;
use crate::layers::LayerRange;
use crate::prelude::*;
use derive_more::{Display, Error};

/// What is wrong with a route, and at which stage (from 0).
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RouteFault {
    /// There is no stage.
    #[display("no stages")]
    NoStages,
    /// A stage has no layers.
    #[display("stage {stage} on {runner}: empty range {layers}")]
    EmptyRange {
        /// Stage.
        stage: usize,
        /// Its runner.
        runner: RunnerId,
        /// Its layers.
        layers: LayerRange,
    },
    /// Layers before a stage are run by nobody.
    #[display("stage {stage} on {runner}: gap, layers {missing} are not run")]
    Gap {
        /// Stage.
        stage: usize,
        /// Its runner.
        runner: RunnerId,
        /// Layers left out.
        missing: LayerRange,
    },
    /// A stage runs layers that an earlier one ran.
    #[display("stage {stage} on {runner}: overlap, layers {twice} are run again")]
    Overlap {
        /// Stage.
        stage: usize,
        /// Its runner.
        runner: RunnerId,
        /// Layers run again.
        twice: LayerRange,
    },
    /// A stage goes on after the model's last layer.
    #[display("stage {stage} on {runner}: {layers} goes beyond the last layer")]
    Beyond {
        /// Stage.
        stage: usize,
        /// Its runner.
        runner: RunnerId,
        /// Its layers.
        layers: LayerRange,
    },
    /// The last layers are run by nobody.
    #[display("stage {stage} on {runner} is the last: layers {missing} are not run")]
    Short {
        /// Last stage.
        stage: usize,
        /// Its runner.
        runner: RunnerId,
        /// Layers left out.
        missing: LayerRange,
    },
    /// A runner does not hold what it is to run.
    #[display("stage {stage}: {runner} does not hold {layers}")]
    NotHeld {
        /// Stage.
        stage: usize,
        /// Its runner.
        runner: RunnerId,
        /// Its layers.
        layers: LayerRange,
    },
    /// A runner has two stages.
    #[display("stage {stage}: {runner} has an earlier stage")]
    Repeated {
        /// Second stage.
        stage: usize,
        /// Its runner.
        runner: RunnerId,
    },
}

/// Checks a route of a model with `layers` layers; `holds` says whether a runner holds a range.
///
/// # Errors
/// The first fault in stage order.
pub fn verify_route(
    layers: u32,
    stages: &[RouteStage],
    holds: impl Fn(RunnerId, LayerRange) -> bool,
) -> Result<(), RouteFault> {
    let mut next = 0;
    for (i, s) in stages.iter().enumerate() {
        verify_order(i, s, next, layers)?;
        if !holds(s.runner, s.layers) {
            return Err(RouteFault::NotHeld {
                stage: i,
                runner: s.runner,
                layers: s.layers,
            });
        }
        if stages[..i].iter().any(|earlier| earlier.runner == s.runner) {
            return Err(RouteFault::Repeated {
                stage: i,
                runner: s.runner,
            });
        }
        next = s.layers.end;
    }
    match stages.last() {
        None => Err(RouteFault::NoStages),
        Some(last) if next < layers => Err(RouteFault::Short {
            stage: stages.len() - 1,
            runner: last.runner,
            missing: LayerRange::new(next, layers),
        }),
        Some(_) => Ok(()),
    }
}

/// Checks that stage `stage` starts at layer `next` and ends within the model.
fn verify_order(stage: usize, s: &RouteStage, next: u32, layers: u32) -> Result<(), RouteFault> {
    let runner = s.runner;
    let range = s.layers;
    if range.is_empty() {
        return Err(RouteFault::EmptyRange {
            stage,
            runner,
            layers: range,
        });
    }
    if range.start > next {
        let missing = LayerRange::new(next, range.start);
        return Err(RouteFault::Gap {
            stage,
            runner,
            missing,
        });
    }
    if range.start < next {
        let twice = LayerRange::new(range.start, next.min(range.end));
        return Err(RouteFault::Overlap {
            stage,
            runner,
            twice,
        });
    }
    if range.end > layers {
        return Err(RouteFault::Beyond {
            stage,
            runner,
            layers: range,
        });
    }
    Ok(())
}
