//! Verification of routes, which each route has to pass before it is used.
//!
//! The ranges of the stages of a valid route cover `[0, layers)` in order, each layer exactly
//! once. Each stage lies within the layers held by its runner, and no runner appears twice, since a
//! runner refuses to run the same attempt a second time.

use super::records::RouteStage;
use crate::layers::LayerRange;
use crate::prelude::*;
use derive_more::{Display, Error};

/// Fault of a route, with the zero-based index of the stage.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RouteFault {
    /// The route has no stages.
    #[display("no stages")]
    NoStages,
    /// The layer range of a stage is empty.
    #[display("stage {stage} on {runner}: empty range {layers}")]
    EmptyRange {
        /// Index of the stage.
        stage: usize,
        /// Runner of the stage.
        runner: RunnerId,
        /// Layers of the stage.
        layers: LayerRange,
    },
    /// Layers before a stage are not run by any stage.
    #[display("stage {stage} on {runner}: gap, layers {missing} are not run")]
    Gap {
        /// Index of the stage.
        stage: usize,
        /// Runner of the stage.
        runner: RunnerId,
        /// Layers that are not run.
        missing: LayerRange,
    },
    /// A stage repeats layers of an earlier one.
    #[display("stage {stage} on {runner}: overlap, layers {twice} are run again")]
    Overlap {
        /// Index of the stage.
        stage: usize,
        /// Runner of the stage.
        runner: RunnerId,
        /// Layers that are run again.
        twice: LayerRange,
    },
    /// A stage extends beyond the last layer of the model.
    #[display("stage {stage} on {runner}: {layers} goes beyond the last layer")]
    BeyondLastLayer {
        /// Index of the stage.
        stage: usize,
        /// Runner of the stage.
        runner: RunnerId,
        /// Layers of the stage.
        layers: LayerRange,
    },
    /// The last layers are not run by any stage.
    #[display("stage {stage} on {runner} is the last: layers {missing} are not run")]
    Incomplete {
        /// Index of the last stage.
        stage: usize,
        /// Runner of the stage.
        runner: RunnerId,
        /// Layers that are not run.
        missing: LayerRange,
    },
    /// A runner does not hold the layers of its stage.
    #[display("stage {stage}: {runner} does not hold {layers}")]
    NotHeld {
        /// Index of the stage.
        stage: usize,
        /// Runner of the stage.
        runner: RunnerId,
        /// Layers of the stage.
        layers: LayerRange,
    },
    /// A runner has more than one stage.
    #[display("stage {stage}: {runner} has an earlier stage")]
    RepeatedRunner {
        /// Index of the runner's second stage.
        stage: usize,
        /// Runner of the stage.
        runner: RunnerId,
    },
}

/// Verifies a route of a model with `layers` layers. `holds` returns whether a runner holds a
/// range.
///
/// # Errors
/// Returns the first fault in stage order.
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
            return Err(RouteFault::RepeatedRunner {
                stage: i,
                runner: s.runner,
            });
        }
        next = s.layers.end;
    }
    match stages.last() {
        None => Err(RouteFault::NoStages),
        Some(last) if next < layers => Err(RouteFault::Incomplete {
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
        return Err(RouteFault::BeyondLastLayer {
            stage,
            runner,
            layers: range,
        });
    }
    Ok(())
}
