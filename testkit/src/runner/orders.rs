//! Placement orders: the layers held and the greatest fencing token received.

use std::time::{Duration, Instant};

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::{Fenced, HeldLayers, LayerRange, Order, Wanted};

use super::RunnerCfg;

/// Layers that are held or being loaded.
#[derive(Debug)]
pub struct Orders {
    entries: Vec<Entry>,
    fencing: u64,
    /// Time at which the last load ends; loads are sequential.
    loaded_at: Instant,
}

#[derive(Clone, Debug)]
struct Entry {
    held: HeldLayers,
    ready_at: Instant,
}

/// Reason for refusing an order.
#[derive(Debug)]
pub(crate) enum OrderRefused {
    /// The fencing token is stale.
    Fenced(Fenced),
    /// The layers do not fit in memory.
    NoMemory,
}

impl Orders {
    pub(crate) fn new(holds: Vec<HeldLayers>) -> Self {
        let now = Instant::now();
        let entry = |held| Entry {
            held,
            ready_at: now,
        };
        Self {
            entries: holds.into_iter().map(entry).collect(),
            fencing: 0,
            loaded_at: now,
        }
    }

    /// Returns the greatest fencing token received.
    #[must_use]
    pub fn fencing(&self) -> u64 {
        self.fencing
    }

    /// Returns the layers currently held.
    #[must_use]
    pub fn held(&self) -> Vec<HeldLayers> {
        let now = Instant::now();
        let ready = self.entries.iter().filter(|e| e.ready_at <= now);
        ready.map(|e| e.held.clone()).collect()
    }

    /// Returns whether all of `layers` are currently held.
    #[must_use]
    pub fn holds(&self, model: &Name, layers: LayerRange) -> bool {
        let now = Instant::now();
        let ready = |e: &&Entry| e.ready_at <= now && e.held.model == *model;
        let mut reach = layers.start;
        while reach < layers.end {
            let further = self
                .entries
                .iter()
                .filter(ready)
                .filter(|e| e.held.layers.start <= reach && e.held.layers.end > reach)
                .map(|e| e.held.layers.end)
                .max();
            match further {
                Some(end) => reach = end,
                None => return false,
            }
        }
        layers.start < layers.end
    }

    /// Applies an order or refuses it.
    pub(crate) fn apply(&mut self, order: &Order, cfg: &RunnerCfg) -> Result<(), OrderRefused> {
        if cfg.checks_fencing && order.fencing < self.fencing {
            return Err(OrderRefused::Fenced(Fenced {
                fencing: self.fencing,
            }));
        }
        self.fencing = self.fencing.max(order.fencing);
        match &order.wanted {
            Wanted::Hold(held) => self.load(held, cfg),
            Wanted::Drop(held) => {
                self.unload(held);
                Ok(())
            }
        }
    }

    fn load(&mut self, wanted: &HeldLayers, cfg: &RunnerCfg) -> Result<(), OrderRefused> {
        let covers = |e: &&Entry| {
            e.held.model == wanted.model
                && e.held.layers.start <= wanted.layers.start
                && e.held.layers.end >= wanted.layers.end
        };
        if self.entries.iter().any(|e| covers(&e)) {
            return Ok(());
        }
        let count = wanted.layers.end.saturating_sub(wanted.layers.start);
        let total: u32 = self.entries.iter().map(Entry::count).sum();
        if total + count > cfg.max_layers {
            return Err(OrderRefused::NoMemory);
        }
        let time = Duration::from_millis(cfg.load_ms_per_layer * u64::from(count));
        self.loaded_at = self.loaded_at.max(Instant::now()) + time;
        self.entries.push(Entry {
            held: wanted.clone(),
            ready_at: self.loaded_at,
        });
        Ok(())
    }

    fn unload(&mut self, unwanted: &HeldLayers) {
        let parts = self.entries.iter().flat_map(|e| e.without(unwanted));
        self.entries = parts.collect();
    }
}

impl Entry {
    fn count(&self) -> u32 {
        self.held.layers.end - self.held.layers.start
    }

    /// Returns the remainder without `unwanted`: zero, one or two parts.
    fn without(&self, unwanted: &HeldLayers) -> Vec<Self> {
        if self.held.model != unwanted.model {
            return vec![self.clone()];
        }
        let own = self.held.layers;
        let cut = unwanted.layers;
        let below = (own.start, own.end.min(cut.start));
        let above = (own.start.max(cut.end), own.end);
        let part = |(start, end): (u32, u32)| {
            (start < end).then(|| Self {
                held: HeldLayers {
                    model: self.held.model.clone(),
                    layers: LayerRange { start, end },
                },
                ready_at: self.ready_at,
            })
        };
        [below, above].into_iter().filter_map(part).collect()
    }
}
