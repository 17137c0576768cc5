//! Chains in use, and the requests in flight on each.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain::{Chain, MAX_STEPS, ServiceChains, Stage};
use jacinthweir_policy::relay::chain_selection::{
    self, ChainCandidate, FormerOccupancy, RefusalBackoff,
};
use jacinthweir_policy::relay::intent::Engine;
use jacinthweir_policy::relay::runners::Runners;
use jacinthweir_policy::relay::silence::{EventGaps, Evidence, SilenceDetector};
use tokio_util::sync::CancellationToken;

use crate::activity::{self, Activity};
use crate::admission;
use crate::contention;
use crate::node::Node;
use crate::quarantine;
use crate::rate_limits;
use crate::request::ProxiedRequest;

/// A chain in use.
pub(crate) struct LiveChain {
    pub(crate) service: Name,
    pub(crate) chain: Chain,
    pub(crate) silence: RefCell<SilenceDetector>,
    pub(crate) gaps: RefCell<EventGaps>,
    pub(crate) refusals: RefCell<RefusalBackoff>,
    /// Declared properties of the model; the gap between events is as many token steps as an event
    /// has tokens.
    engine: Engine,
    /// Duration of a token step at the current pace of the chain's runners, in milliseconds.
    step_ms: Cell<f64>,
    /// Cancelled when a runner of the chain is known to be dead, so that requests in flight move to
    /// another chain.
    pub(crate) broken: CancellationToken,
    /// Whether its dead runners were probed because a request in flight went on.
    pub(crate) rechecked: Cell<bool>,
    /// Cancelled when the path to the first runner is lost under the requests in flight, and then
    /// replaced.
    path_lost: RefCell<CancellationToken>,
    /// Tokens of this instance's requests that the chain has to prefill before their next event.
    prefill: Cell<f64>,
    /// Tokens in flight from this instance through the chain's first runner. Successive chains
    /// behind the same first runner share the counter, since they share most runners.
    used: Rc<Cell<f64>>,
}

/// Chains of all services.
#[derive(Default)]
pub(crate) struct Chains {
    /// Chains of each service as computed from its runners.
    computed: BTreeMap<Name, ServiceChains>,
    /// Chains that accept new requests, sorted by failure domain; one that crosses domains is last.
    current: BTreeMap<Name, Vec<Rc<LiveChain>>>,
    /// Replaced chains that may still have requests in flight.
    replaced: Vec<Rc<LiveChain>>,
    used: BTreeMap<(Name, Name), Rc<Cell<f64>>>,
    paths: Paths,
}

/// Stages of the newest chain behind each first runner, by service and first runner.
#[derive(Default)]
struct Paths(BTreeMap<(Name, Name), RetainedPath>);

struct RetainedPath {
    stages: Vec<Stage>,
    /// Until when it is kept, unless a chain in use begins with its first runner.
    until_ms: Option<Millis>,
}

impl Paths {
    /// Stores which runners the requests behind a chain's first runner pass through.
    fn store(&mut self, live: &LiveChain) {
        let path = RetainedPath {
            stages: live.chain.stages.clone(),
            until_ms: None,
        };
        self.0.insert(path_key(live), path);
    }

    /// Starts the retention of a chain's path.
    fn retire(&mut self, live: &LiveChain, now: Millis) {
        if let Some(path) = self.0.get_mut(&path_key(live)) {
            path.until_ms = Some(now + PATH_RETENTION_MS);
        }
    }

    fn expire(&mut self, now: Millis) {
        self.0
            .retain(|_, path| path.until_ms.is_none_or(|until| now < until));
    }

    /// Returns the first runner and the stages of each path of a service whose chain is not in use.
    fn former(&self, service: &Name) -> impl Iterator<Item = (&Name, &[Stage])> {
        let former = self.0.iter().filter(|(_, path)| path.until_ms.is_some());
        let of_service = former.filter(move |((s, _), _)| s == service);
        of_service.map(|((_, head), path)| (head, path.stages.as_slice()))
    }
}

fn path_key(live: &LiveChain) -> (Name, Name) {
    (live.service.clone(), live.chain.head().id.clone())
}

/// How long the stages behind a first runner are kept after the last chain that begins with it, in
/// milliseconds. Other instances may still have requests in flight there.
const PATH_RETENTION_MS: Millis = 30_000;

impl Chains {
    /// Returns the chains of a service that accept new requests.
    pub(crate) fn of(&self, service: &str) -> &[Rc<LiveChain>] {
        self.current.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the chains in use, and the replaced ones that may still have requests in flight.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Rc<LiveChain>> {
        self.current.values().flatten().chain(&self.replaced)
    }

    /// Returns the tokens in flight from this instance, by service and first runner.
    pub(crate) fn used(&self) -> impl Iterator<Item = (&Name, &Name, f64)> {
        let all = self.used.iter();
        all.map(|((service, head), used)| (service, head, used.get()))
    }

    /// Brings the chains of a service up to date with `runners`. Returns the failure domains in which
    /// chains were replaced.
    fn update(
        &mut self,
        runners: &Runners,
        service: &Name,
        engine: &Engine,
        now: Millis,
    ) -> Vec<Option<Name>> {
        let computed = self.computed.entry(service.clone()).or_default();
        let update = {
            let _current = activity::enter(Activity::ChainSearch);
            computed.update(runners, service, engine, now)
        };
        if update.search_steps >= MAX_STEPS {
            log::error!(service = service.as_ref(); "a search for chains takes too much work");
        }
        let mut replaced = Vec::new();
        for domain in update.changed {
            let chains = self.computed[service].of_domain(domain.as_deref()).to_vec();
            if self.replace(service, engine, domain.as_ref(), chains, now) {
                replaced.push(domain);
            }
        }
        self.used.retain(|_, used| Rc::strong_count(used) > 1);
        self.replaced.retain(|l| l.silence.borrow().waiting() > 0);
        replaced
    }

    /// Retires the chains of services that `is_kept` rejects.
    fn retain_services(&mut self, is_kept: impl Fn(&Name) -> bool, now: Millis) {
        self.computed.retain(|service, _| is_kept(service));
        let gone = self.current.extract_if(.., |service, _| !is_kept(service));
        for live in gone.flat_map(|(_, chains)| chains) {
            self.paths.retire(&live, now);
            self.replaced.push(live);
        }
        self.replaced.retain(|l| l.silence.borrow().waiting() > 0);
    }

    /// Returns the position of a failure domain's chains among those of a service.
    fn range_of(&self, service: &str, domain: Option<&Name>) -> Range<usize> {
        // Chains are sorted by domain, and one that crosses domains comes last.
        let rank = |d: Option<&Name>| (d.is_none(), d.cloned());
        let wanted = rank(domain);
        let live = self.of(service);
        let start = live.partition_point(|l| rank(l.chain.domain.as_ref()) < wanted);
        let len = live[start..].partition_point(|l| rank(l.chain.domain.as_ref()) == wanted);
        start..start + len
    }

    /// Replaces the chains of a service in one failure domain, keeping the state of those whose stages
    /// are unchanged. Returns whether anything changed.
    fn replace(
        &mut self,
        service: &Name,
        engine: &Engine,
        domain: Option<&Name>,
        chains: Vec<Chain>,
        now: Millis,
    ) -> bool {
        let range = self.range_of(service, domain);
        let current = self.current.entry(service.clone()).or_default();
        let old: Vec<Rc<LiveChain>> = current.drain(range.clone()).collect();
        let mut changed = old.len() != chains.len();
        let mut by_head: BTreeMap<Name, Rc<LiveChain>> = BTreeMap::new();
        for live in old {
            self.paths.retire(&live, now);
            by_head.insert(live.chain.head().id.clone(), live);
        }
        let mut new = Vec::with_capacity(chains.len());
        for chain in chains {
            let old = by_head.remove(&chain.head().id);
            let live = match old {
                Some(live) if live.chain.same_stages(&chain) => {
                    changed |= live.step_ms.replace(chain.step_ms) != chain.step_ms;
                    live
                }
                old => {
                    changed = true;
                    self.replaced.extend(old);
                    Rc::new(self.open(service, engine, chain))
                }
            };
            self.paths.store(&live);
            new.push(live);
        }
        changed |= !by_head.is_empty();
        self.replaced.extend(by_head.into_values());
        self.paths.expire(now);
        let current = self.current.entry(service.clone()).or_default();
        current.splice(range.start..range.start, new);
        changed
    }

    fn open(&mut self, service: &Name, engine: &Engine, chain: Chain) -> LiveChain {
        let event_tokens = f64::from(engine.event_tokens);
        let key = (service.clone(), chain.head().id.clone());
        LiveChain {
            service: service.clone(),
            silence: RefCell::new(SilenceDetector::new(event_tokens * chain.step_ms)),
            gaps: RefCell::default(),
            refusals: RefCell::default(),
            engine: engine.clone(),
            step_ms: Cell::new(chain.step_ms),
            broken: CancellationToken::new(),
            rechecked: Cell::default(),
            path_lost: RefCell::default(),
            prefill: Cell::new(0.0),
            used: Rc::clone(self.used.entry(key).or_default()),
            chain,
        }
    }
}

impl LiveChain {
    /// Returns the declared time between two events of a lone stream, in milliseconds.
    fn unloaded_event_ms(&self) -> f64 {
        f64::from(self.engine.event_tokens) * self.step_ms.get()
    }

    /// Whether the chain's runners should be probed, because it is silent or slow.
    pub(crate) fn should_probe_runners(&self, node: &Node, now: Millis) -> bool {
        let (declared_ms, evidence) = (self.unloaded_event_ms(), self.evidence(node));
        let silent = self.silence.borrow_mut().should_probe(now, evidence);
        let mut gaps = self.gaps.borrow_mut();
        silent || gaps.should_probe(now, declared_ms, evidence)
    }

    /// Returns when to probe the chain's runners unless bytes arrive before, in milliseconds.
    pub(crate) fn due_ms(&self, node: &Node) -> Option<Millis> {
        let (declared_ms, evidence) = (self.unloaded_event_ms(), self.evidence(node));
        let silent = self.silence.borrow().due_ms(evidence);
        let slow = self.gaps.borrow().due_ms(declared_ms, evidence);
        silent.into_iter().chain(slow).min()
    }

    /// Returns the evidence that it takes to probe the chain's runners.
    fn evidence(&self, node: &Node) -> Evidence {
        if !node.contention.is_overloaded(&self.service) {
            return Evidence::Usual;
        }
        let elsewhere = {
            let loads = node.loads.borrow();
            loads.used_tokens(&self.service, self.head().0)
        };
        Evidence::Overload {
            occupied_gap_ms: self.declared_event_ms(self.used_tokens() + elsewhere),
        }
    }

    /// Whether a runner is dead, or has restarted since and lost its state.
    fn is_broken(&self, runners: &Runners) -> bool {
        self.chain.stages.iter().any(|s| {
            let restarted =
                |e: &jacinthweir_policy::relay::runners::RunnerEntry| e.born_ms != s.runner.born_ms;
            let dead = runners.health(&s.runner.id).dead;
            dead || runners.entry(&s.runner.id).is_some_and(restarted)
        })
    }

    /// Returns the time between two events of a stream at the declared speeds, with `used_tokens`
    /// tokens of requests in the chain, in milliseconds.
    fn declared_event_ms(&self, used_tokens: f64) -> f64 {
        self.unloaded_event_ms() * self.engine.batch_slowdown(used_tokens.max(0.0))
    }

    /// Returns the identity and lifetime of the first runner.
    pub(crate) fn head(&self) -> (&Name, u64) {
        let head = self.chain.head();
        (&head.id, head.born_ms)
    }

    /// Returns the tokens in flight through the first runner from this instance.
    pub(crate) fn used_tokens(&self) -> f64 {
        self.used.get()
    }

    /// Returns the tokens to prefill before the next events of this instance's requests. A chain
    /// prefills some hundred tokens per millisecond, whatever it generates meanwhile.
    pub(crate) fn prefill_tokens(&self) -> f64 {
        self.prefill.get()
    }

    /// Interrupts the requests in flight, whose connections bring nothing any more.
    pub(crate) fn interrupt_requests(&self) {
        self.path_lost.take().cancel();
    }

    /// Returns the description in logs: name, room and step time.
    fn summary(&self) -> String {
        let (room, step_ms) = (self.chain.room_tokens, self.step_ms.get());
        format!("{} room {room:.0} step {step_ms:.2}ms", self.label())
    }

    /// Returns the name in logs: failure domain and number of stages.
    pub(crate) fn label(&self) -> String {
        let domain = self.chain.domain.as_deref().unwrap_or("across");
        format!("{domain}/{}", self.chain.stages.len())
    }
}

impl Node {
    /// Recomputes the chains, and interrupts the requests on those that are broken.
    pub(crate) fn rebuild_chains(&self) {
        let Some(intent) = self.intent() else {
            return;
        };
        let now = self.now();
        let runners = self.runners.borrow();
        let mut chains = self.chains.borrow_mut();
        chains.retain_services(|service| intent.engine(service).is_some(), now);
        for service in intent.services.keys() {
            let Some(engine) = intent.engine(service) else {
                continue;
            };
            for domain in chains.update(&runners, service, engine, now) {
                let range = chains.range_of(service, domain.as_ref());
                let live = chains.of(service);
                log_chains(service, domain.as_ref(), &live[range], live.len(), now);
            }
        }
        // A chain in use has usable runners only, so only replaced ones can be broken.
        for live in &chains.replaced {
            if !live.broken.is_cancelled() && live.is_broken(&runners) {
                log::warn!(
                    chain = live.label(),
                    waiting = live.silence.borrow().waiting();
                    "a chain is broken"
                );
                live.broken.cancel();
            }
        }
        drop(chains);
        drop(runners);
        quarantine::evaluate(self);
        self.room_freed.notify_waiters();
    }

    /// Whether a chain's first runner is in the same lifetime, not known to be dead, and reachable.
    pub(crate) fn is_head_usable(&self, live: &LiveChain) -> bool {
        let (id, born_ms) = live.head();
        let runners = self.runners.borrow();
        let entry = runners.entry(id);
        let is_alive = entry.is_some_and(|e| e.born_ms == born_ms) && !runners.health(id).dead;
        is_alive && !runners.is_unreachable(id)
    }

    /// Returns the chain that replaced a broken one behind the same first runner.
    pub(crate) fn successor(&self, broken: &LiveChain) -> Option<Rc<LiveChain>> {
        let chains = self.chains.borrow();
        let intact = chains.of(&broken.service).iter();
        let mut intact = intact.filter(|l| !l.broken.is_cancelled());
        intact.find(|l| l.head() == broken.head()).map(Rc::clone)
    }

    /// Selects a chain for a request among those that `may_take` accepts. `fill` is the highest
    /// occupancy up to which a chain is filled.
    pub(crate) fn choose_chain(
        &self,
        rq: &ProxiedRequest,
        fill: f64,
        may_take: impl Fn(&LiveChain) -> bool,
    ) -> Option<Rc<LiveChain>> {
        let tokens = admission::tokens(rq);
        contention::refresh(self, &rq.service);
        let chains = self.chains.borrow();
        let live = chains.of(&rq.service);
        let may_take = |l: &LiveChain| self.reaches(l) && self.accepts_requests(l) && may_take(l);
        let candidates = self.chain_candidates(&rq.service, rq.max_gap_ms, &chains, may_take);
        let heads = candidates.iter().map(|c| live[c.chain].head().0);
        let chosen = match self.contention.weights(&rq.service, heads) {
            Some(weights) => {
                let draw = self.contention.choice_draw(&rq.service, self.random_f64());
                chain_selection::select_planned(&candidates, &weights, tokens, fill, draw)
            }
            None => {
                let instances = self.live_instances();
                let draw = || self.random_f64();
                chain_selection::select_sampled(&candidates, tokens, fill, instances, draw)
            }
        };
        chosen.map(|i| Rc::clone(&live[i]))
    }

    /// Returns whether this instance reaches a chain's first runner.
    fn reaches(&self, live: &LiveChain) -> bool {
        !self.runners.borrow().is_unreachable(live.head().0)
    }

    /// Returns whether a chain's first runner accepts requests: it neither rests nor is its rate limit
    /// used up.
    pub(crate) fn accepts_requests(&self, live: &LiveChain) -> bool {
        let runners = self.runners.borrow();
        let rests = runners.rest_ms(live.head().0, self.now()).is_some();
        !rests && rate_limits::allows(self, live.chain.head())
    }

    /// Returns the intact chains of a service that `may_take` accepts.
    /// `max_gap_ms` is the gap objective in milliseconds.
    pub(crate) fn chain_candidates(
        &self,
        service: &Name,
        max_gap_ms: Millis,
        chains: &Chains,
        may_take: impl Fn(&LiveChain) -> bool,
    ) -> Vec<ChainCandidate> {
        let now = self.now();
        let live = chains.of(service);
        let loads = self.loads.borrow();
        let elsewhere = loads.used_tokens_by_head(service);
        let elsewhere = |head: &Name| elsewhere.get(head).copied().unwrap_or(0.0);
        let mut former = FormerOccupancy::default();
        for (head, stages) in chains.paths.former(service) {
            let own = chains.used.get(&(service.clone(), head.clone()));
            let own = own.map_or(0.0, |used| used.get());
            former.add(stages, own + elsewhere(head));
        }
        let mut candidates = Vec::with_capacity(live.len());
        for (i, l) in live.iter().enumerate() {
            if l.broken.is_cancelled() || !may_take(l) {
                continue;
            }
            let domain = l.chain.domain.as_ref();
            let in_chain = l.used_tokens() + elsewhere(l.head().0);
            let used_tokens = former.used_tokens(&l.chain, in_chain);
            let gap_ms = l.gaps.borrow().expected_ms(now);
            candidates.push(ChainCandidate {
                chain: i,
                near: domain == Some(&self.settings.failure_domain),
                room_tokens: l.chain.room_tokens * l.refusals.borrow().room_scale(),
                used_tokens,
                silent_ms: l.silence.borrow().silent_ms(now),
                backing_off: l.refusals.borrow().is_backing_off(now),
                gap_share: gap_ms / max_gap_ms.max(1) as f64,
                event_ms: l.declared_event_ms(used_tokens).max(gap_ms),
            });
        }
        candidates
    }
}

/// Logs the chains of a failure domain after a change.
fn log_chains(
    service: &Name,
    domain: Option<&Name>,
    chains: &[Rc<LiveChain>],
    total: usize,
    now: Millis,
) {
    let shown: Vec<String> = chains.iter().map(|l| l.summary()).collect();
    log::info!(
        service = service.as_ref(),
        domain = domain.map_or("across", AsRef::as_ref),
        at_ms = now,
        total,
        chains = shown.join(", ");
        "chains"
    );
    metrics::gauge!("jacinthweir_chains_whole").set(total as f64);
}

/// A run whose answer is passed on.
pub(crate) enum Run {
    /// On a chain that this instance sent the request to.
    Chain(InFlight),
    /// Through another instance.
    Peer(Name),
}

impl Run {
    /// Returns the run on a chain.
    pub(crate) fn on_chain(&self) -> Option<&InFlight> {
        match self {
            Run::Chain(in_flight) => Some(in_flight),
            Run::Peer(_) => None,
        }
    }

    pub(crate) fn on_chain_mut(&mut self) -> Option<&mut InFlight> {
        match self {
            Run::Chain(in_flight) => Some(in_flight),
            Run::Peer(_) => None,
        }
    }

    /// Returns the name in logs: of the chain, or of the other instance.
    pub(crate) fn label(&self) -> String {
        match self {
            Run::Chain(in_flight) => in_flight.live.label(),
            Run::Peer(name) => format!("through {name}"),
        }
    }

    /// Waits until the run is interrupted by what this instance knows of it. The end of a run through
    /// another instance shows in its answer.
    pub(crate) async fn interrupted(&self) -> Interruption {
        match self {
            Run::Chain(in_flight) => in_flight.interrupted().await,
            Run::Peer(_) => std::future::pending().await,
        }
    }
}

/// Why a request in flight cannot go on as it is.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub(crate) enum Interruption {
    /// A runner of its chain is dead.
    #[display("chain broke")]
    ChainBroke,
    /// This instance does not reach the first runner any more.
    #[display("path lost")]
    PathLost,
    /// Nothing has come for too long from a run that went on after its chain had broken.
    #[display("silent again")]
    SilentAgain,
}

/// A request in flight on a chain. Its tokens and its silence are accounted to the chain until it
/// is dropped.
pub(crate) struct InFlight {
    node: Rc<Node>,
    pub(crate) live: Rc<LiveChain>,
    /// When the request was sent, in milliseconds.
    pub(crate) sent_ms: Millis,
    path_lost: CancellationToken,
    tokens: f64,
    /// Tokens by which the request counts in the demand.
    demand: u32,
    /// Tokens to prefill before the next event.
    prefill: Cell<f64>,
    ending: Cell<Ending>,
}

/// How the end of a request on a chain counts in the chain's flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The chain released its tokens.
    Released,
    /// A runner of the chain refused it.
    Refused,
    /// Not at all: no runner received it, or the first runner keeps it along another path.
    Uncounted,
}

impl InFlight {
    /// Accounts a request of `tokens` tokens to a chain.
    pub(crate) fn open(node: &Rc<Node>, live: Rc<LiveChain>, tokens: f64) -> InFlight {
        live.used.set(live.used.get() + tokens);
        live.prefill.set(live.prefill.get() + tokens);
        live.silence.borrow_mut().request_sent(node.now());
        if live
            .due_ms(node)
            .is_some_and(|due| due < node.next_silence_check_ms.get())
        {
            node.check_silence.notify_one();
        }
        let path_lost = live.path_lost.borrow().clone();
        InFlight {
            node: Rc::clone(node),
            live,
            path_lost,
            sent_ms: node.now(),
            tokens,
            demand: tokens.round() as u32,
            prefill: Cell::new(tokens),
            ending: Cell::new(Ending::Released),
        }
    }

    /// Records that a runner of the chain refused the request.
    pub(crate) fn refused(&self) {
        self.ending.set(Ending::Refused);
    }

    /// Records that no runner of the chain received the request.
    pub(crate) fn unreached(&self) {
        self.ending.set(Ending::Uncounted);
    }

    /// Raises the request's tokens to `tokens`, if its answer is longer than expected.
    pub(crate) fn raise_tokens(&mut self, tokens: f64) {
        if tokens > self.tokens {
            self.live
                .used
                .set(self.live.used.get() + tokens - self.tokens);
            self.tokens = tokens;
        }
    }

    /// Moves the request to another chain behind the same first runner.
    pub(crate) fn move_to(&mut self, live: Rc<LiveChain>) {
        let mut moved = InFlight::open(&self.node, live, self.tokens);
        moved.sent_ms = self.sent_ms;
        moved.demand = self.demand;
        self.ending.set(Ending::Uncounted);
        *self = moved;
    }

    /// Waits until the request is interrupted.
    pub(crate) async fn interrupted(&self) -> Interruption {
        tokio::select! {
            () = self.live.broken.cancelled() => Interruption::ChainBroke,
            () = self.path_lost.cancelled() => Interruption::PathLost,
        }
    }

    /// Records that bytes of the answer arrived.
    pub(crate) fn record_bytes(&self) {
        self.prefill_done();
        self.live
            .silence
            .borrow_mut()
            .bytes_received(self.node.now());
    }
}

impl InFlight {
    /// Removes the request's tokens from those that the chain has yet to prefill.
    fn prefill_done(&self) {
        let prefilled = self.prefill.replace(0.0);
        self.live.prefill.set(self.live.prefill.get() - prefilled);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prefill_done();
        let now = self.node.now();
        self.node
            .release_rate
            .borrow_mut()
            .record_released(now, self.tokens);
        // Released tokens are counted as the demand counts them: with those of answers that are longer
        // than expected, a chain would appear to have room for more requests than ended.
        let (head, tokens) = (self.live.head().0, f64::from(self.demand));
        self.node
            .contention
            .measure(&self.live.service, |meter| match self.ending.get() {
                Ending::Released => meter.record_released(now, head, tokens),
                Ending::Refused => meter.record_refused(now, head, tokens),
                Ending::Uncounted => {}
            });
        self.live.used.set(self.live.used.get() - self.tokens);
        self.live.silence.borrow_mut().request_ended();
        self.node.room_freed.notify_waiters();
    }
}
