//! KV cache of recent requests: tokens that a resumed attempt need not recompute.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::{KvRequest, LayerRange};

use super::State;

/// Maximum number of KV caches retained.
const MAX_RETAINED: usize = 1_024;

/// KV caches by request and first layer.
#[derive(Debug, Default)]
pub struct KvCache {
    held: BTreeMap<(Name, u32), Held>,
    /// Keys in order of first use, for eviction.
    order: VecDeque<(Name, u32)>,
}

#[derive(Debug)]
struct Held {
    model: Name,
    layers: LayerRange,
    tokens: u32,
}

impl KvCache {
    /// Returns how many tokens of the request are cached for these layers.
    pub(crate) fn tokens(&self, request: &Name, model: &Name, layers: LayerRange) -> u32 {
        let first = (request.clone(), 0);
        let last = (request.clone(), layers.start);
        let covers = |held: &&Held| {
            held.model == *model
                && held.layers.start <= layers.start
                && held.layers.end >= layers.end
        };
        let held = self.held.range(first..=last).map(|(_, held)| held);
        held.filter(covers)
            .map(|held| held.tokens)
            .max()
            .unwrap_or(0)
    }

    /// Caches at least `tokens` tokens of the request; never reduces the count for the same layers.
    pub(crate) fn store(&mut self, request: &Name, model: &Name, layers: LayerRange, tokens: u32) {
        let key = (request.clone(), layers.start);
        if let Some(held) = self.held.get_mut(&key)
            && held.layers == layers
        {
            held.tokens = held.tokens.max(tokens);
            return;
        }
        let held = Held {
            model: model.clone(),
            layers,
            tokens,
        };
        if self.held.insert(key.clone(), held).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() > MAX_RETAINED
            && let Some(oldest) = self.order.pop_front()
        {
            self.held.remove(&oldest);
        }
    }
}

/// Prefill of one stage.
pub(crate) struct Prefill<'a> {
    pub(crate) request: &'a Name,
    pub(crate) model: &'a Name,
    pub(crate) layers: LayerRange,
    pub(crate) tokens: u32,
    pub(crate) prefix: &'a [u64],
    pub(crate) kv_from: Option<SocketAddr>,
}

/// Returns the number of tokens that a prefill must compute here: the uncached ones, at least one.
pub(crate) async fn missing_tokens(state: &State, prefill: &Prefill<'_>) -> u32 {
    let (cached, mut held) = {
        let mut inner = state.lock();
        let cached = inner.cache.lookup_and_insert(prefill.prefix);
        let held = inner
            .kv
            .tokens(prefill.request, prefill.model, prefill.layers);
        (cached, held)
    };
    if held + 1 < prefill.tokens
        && let Some(from) = prefill.kv_from
    {
        held = held.max(import(state, prefill, from).await);
    }
    prefill.tokens.saturating_sub(cached.max(held)).max(1)
}

/// Imports a KV cache from another runner; returns 0 if it has none or is unreachable.
async fn import(state: &State, prefill: &Prefill<'_>, from: SocketAddr) -> u32 {
    let body = KvRequest {
        request: prefill.request.clone(),
        model: prefill.model.clone(),
        layers: prefill.layers,
        tokens: prefill.tokens,
    };
    let call = state.client.post(format!("http://{from}/v1/kv/export"));
    let Ok(answer) = call.json(&body).send().await else {
        return 0;
    };
    let Ok(exported) = answer.json::<KvRequest>().await else {
        return 0;
    };
    tokio::time::sleep(transfer_time(state, &exported)).await;
    exported.tokens.min(prefill.tokens)
}

fn transfer_time(state: &State, kv: &KvRequest) -> Duration {
    let token_layers = f64::from(kv.tokens) * f64::from(kv.layers.end - kv.layers.start);
    let bytes = token_layers * state.cfg.kv_bytes_per_token_layer;
    Duration::from_secs_f64(bytes / state.cfg.kv_bytes_per_s)
}
