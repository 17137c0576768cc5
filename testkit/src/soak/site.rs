//! The deployments that a soak plays: services, runners, routes and rates.
//!
//! Each has a pool of model runners that hold a model in chains over three failure domains, and a
//! small plain service whose calls partly run at most once.

use std::time::Duration;

use argh::FromArgValue;
use serde_json::{Value, json};

use super::message::Head;

/// Interval at which runners check in.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Time that a plain runner works on a call.
pub const PLAIN_WORK: Duration = Duration::from_millis(60);

/// Time after which work that depends on a dead runner is cut off.
pub const STALL: Duration = Duration::from_millis(2_500);

/// Layers of the model, and their size.
const LAYERS: u32 = 80;
const LAYER_MB: f64 = 1_750.0;

/// Name under which callers address the system.
pub const HOST: &str = "site.example";

/// API key of the callers.
pub const KEY: &str = "key-of-the-organisation";

/// API keys of the organisation.
pub const USUAL_KEYS: [&str; 1] = [KEY];
/// API keys of the organisation, with others whose characters mean something in an address, or are not ASCII.
pub const ALL_KEYS: [&str; 5] = [KEY, "key-é", "key-%C3%A9", "key%41+b", "key+a%20&b="];

/// Retries that the users allow for each request, in addition, and in which window.
pub const BUDGET_RATIO: f64 = 0.2;
/// Retries that the users allow in addition.
pub const BUDGET_SLACK: f64 = 196.0;
/// Window of the budget, in milliseconds.
pub const BUDGET_WINDOW_MS: u64 = 10_000;

/// Read calls that the store allows all instances together in a second.
pub const READS_PER_S: usize = 2_000;

/// Time from which machines have to follow a change, in milliseconds.
pub const STABLE_WINDOW_MS: u64 = 3_000;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name of its route.
    pub route: &'static str,
    /// Kind of its route, as the platform names it.
    pub kind: &'static str,
    /// Service.
    pub service: &'static str,
    /// Events of the answer; none for a call.
    pub events: u32,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Share of the requests.
    pub weight: f64,
    /// Response-time goal, in milliseconds.
    pub goal_ms: u64,
    /// Longest pause between two events, in milliseconds.
    pub gap_ms: u64,
    /// Time limit, in milliseconds.
    pub limit_ms: u64,
    /// Maximum number of runners.
    pub attempts: u32,
}

/// A deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Site {
    /// Assessment notes for tonewood, and reservations.
    #[display("madeira-sonora")]
    MadeiraSonora,
    /// Rosters of traffic crews, and bookings.
    #[display("tlt-roster")]
    TltRoster,
    /// Drafts for funders, and submissions.
    #[display("tywi-grantdesk")]
    TywiGrantdesk,
}

/// All deployments.
const SITES: [Site; 3] = [Site::MadeiraSonora, Site::TltRoster, Site::TywiGrantdesk];

impl FromArgValue for Site {
    fn from_arg_value(text: &str) -> Result<Self, String> {
        let found = SITES.into_iter().find(|site| site.to_string() == text);
        found.ok_or_else(|| {
            let names = SITES.map(|site| site.to_string());
            format!("`{text}` is none of {}", names.join(", "))
        })
    }
}

/// A kind of card.
struct Card {
    name: &'static str,
    mb: f64,
    /// Runners with it, by failure domain.
    runners: [usize; 3],
}

const fn card(name: &'static str, mb: f64, runners: [usize; 3]) -> Card {
    Card { name, mb, runners }
}

/// Cards of the model runners.
const LARGE_CARDS: [Card; 3] = [
    card("a100", 72_000.0, [2, 1, 1]),
    card("v100", 14_000.0, [4, 6, 10]),
    card("l4", 22_000.0, [4, 6, 4]),
];
const SMALL_CARDS: [Card; 3] = [
    card("a100s", 36_000.0, [2, 1, 2]),
    card("l4", 22_000.0, [5, 7, 3]),
    card("t4", 14_000.0, [8, 5, 5]),
];

impl Site {
    /// Failure domains.
    #[must_use]
    pub fn domains(self) -> [&'static str; 3] {
        match self {
            Site::MadeiraSonora => ["recife", "joao-pessoa", "fortaleza"],
            Site::TltRoster => ["kesklinn", "lasnamae", "mustamae"],
            Site::TywiGrantdesk => ["south-a", "south-b", "south-c"],
        }
    }

    /// Service of the model runners, and the plain one.
    #[must_use]
    pub fn services(self) -> [&'static str; 2] {
        match self {
            Site::MadeiraSonora => ["jacinthweir-pool", "orders-app"],
            Site::TltRoster => ["lm-pool", "booking"],
            Site::TywiGrantdesk => ["drafting-models", "grantdesk-app"],
        }
    }

    /// Connections that a runner of each service accepts.
    fn connections(self) -> [u32; 2] {
        match self {
            Site::MadeiraSonora => [1_058, 96],
            Site::TltRoster => [988, 48],
            Site::TywiGrantdesk => [978, 110],
        }
    }

    /// Requests a second.
    #[must_use]
    pub fn requests_per_s(self) -> f64 {
        match self {
            Site::MadeiraSonora | Site::TltRoster => 83.0,
            Site::TywiGrantdesk => 71.5,
        }
    }

    fn cards(self) -> &'static [Card; 3] {
        match self {
            Site::MadeiraSonora | Site::TltRoster => &LARGE_CARDS,
            Site::TywiGrantdesk => &SMALL_CARDS,
        }
    }

    /// Kinds of requests.
    #[must_use]
    pub fn classes(self) -> [Class; 5] {
        let [pool, plain] = self.services();
        let names = match self {
            Site::MadeiraSonora => [
                "billet-note",
                "stock-query",
                "matching-set",
                "reserve-pay",
                "order-lookup",
            ],
            Site::TltRoster => [
                "handover-summary",
                "swap-explain",
                "roster-draft",
                "shift-confirm",
                "avail-read",
            ],
            Site::TywiGrantdesk => [
                "progress-summary",
                "budget-narrative",
                "condition-explain",
                "report-submit",
                "deadline-lookup",
            ],
        };
        let stream = |i: usize, events, prompt, weight, gap_ms| Class {
            route: names[i],
            kind: "streaming",
            service: pool,
            events,
            prompt,
            weight,
            goal_ms: 500,
            gap_ms,
            limit_ms: 20_000,
            attempts: 2,
        };
        let (call_goal_ms, call_limit_ms) = match self {
            Site::MadeiraSonora | Site::TltRoster => (300, 800),
            Site::TywiGrantdesk => (150, 1_000),
        };
        let call = |i: usize, kind, weight, attempts| Class {
            route: names[i],
            kind,
            service: plain,
            events: 0,
            prompt: 0,
            weight,
            goal_ms: call_goal_ms,
            gap_ms: 0,
            limit_ms: call_limit_ms,
            attempts,
        };
        match self {
            Site::MadeiraSonora | Site::TltRoster => [
                stream(0, 43, 800, 50.0, 250),
                stream(1, 69, 714, 26.6, 200),
                stream(2, 69, 800, 16.4, 250),
                call(3, "non_idempotent", 7.97, 1),
                call(4, "idempotent", 3.18, 2),
            ],
            Site::TywiGrantdesk => [
                stream(0, 73, 800, 30.7, 200),
                stream(1, 73, 714, 20.1, 200),
                stream(2, 73, 800, 12.3, 200),
                call(3, "non_idempotent", 5.41, 1),
                call(4, "idempotent", 3.0, 2),
            ],
        }
    }

    /// Cards and failure domains of the model runners, and failure domains of the plain ones.
    #[must_use]
    pub fn runners(self) -> Vec<(&'static str, &'static str, Option<&'static str>)> {
        let [pool, plain] = self.services();
        let mut runners = Vec::new();
        for card in self.cards() {
            for (domain, count) in self.domains().into_iter().zip(card.runners) {
                runners.extend(std::iter::repeat_n((pool, domain, Some(card.name)), count));
            }
        }
        runners.extend(self.domains().map(|domain| (plain, domain, None)));
        runners
    }

    /// Returns the desired state of the operator, with the API keys of its only organisation.
    #[must_use]
    pub fn configuration(self, version: u64, keys: &[&str]) -> Value {
        let [pool, plain] = self.services();
        let [pool_connections, plain_connections] = self.connections();
        let routes: Vec<Value> = self.classes().iter().map(route).collect();
        let kinds: Vec<Value> = self.cards().iter().map(kind_of_card).collect();
        json!({
            "version": version,
            "routes": routes,
            "services": [
                { "name": pool, "healthPath": "/health", "maxConnections": pool_connections, "engine": {
                    "slots": 192, "kvCapacityTokens": 100_000, "kvTokenBytes": 590_000, "stride": 4,
                    "linkMbps": 400_000.0, "models": [{ "name": "m", "pace": 1.0, "loadS": 1.0, "warmS": 0.1 }],
                    "step_ms": 1.02, "per_seq_ms": 0.004_59, "context_per_k": 0.006_15,
                    "read_per_s": 164_000.0, "pairs_per_m": 0.199, "chunk": 512, "report_lag_ms": 200.0,
                    "loads_at_once": 6, "usual": { "prompt": 775, "answer": 220 }, "layers": LAYERS,
                    "layerMb": LAYER_MB, "activationBytes": 29_500, "pipeMbps": 16_000.0, "kinds": kinds,
                } },
                { "name": plain, "healthPath": "/health", "maxConnections": plain_connections },
            ],
            "limits": {
                "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3_000,
                "idleTimeoutMs": 15_000,
            },
            "tenants": [{ "name": "organisation", "apiKeys": keys, "priority": 1 }],
        })
    }
}

fn route(class: &Class) -> Value {
    let is_stream = class.events > 0;
    json!({
        "name": class.route, "host": HOST, "pathPrefix": format!("/{}/", class.route),
        "kind": class.kind, "timeoutMs": class.limit_ms, "targetLatencyMs": class.goal_ms,
        "targetGapMs": class.gap_ms, "priority": 1, "service": class.service,
        "maxAttempts": class.attempts, "public": false, "sticky": is_stream, "resumable": is_stream,
    })
}

fn kind_of_card(card: &Card) -> Value {
    json!({ "name": card.name, "mb": card.mb, "pace": 2.4, "readX": 3.2 })
}

/// Returns the number of events that a runner sends for a request, as its token count says.
#[must_use]
pub fn events_of(head: &Head) -> u64 {
    let tokens = head.header("x-jacinthweir-token-counts").unwrap_or("");
    let answer = tokens.split_once(',').and_then(|(_, a)| a.parse().ok());
    answer.unwrap_or(0) / TOKENS_PER_EVENT
}

/// Tokens of an event.
pub const TOKENS_PER_EVENT: u64 = 4;

/// Returns an event of the answer to a request.
#[must_use]
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}\n\n")
}

/// Returns the answer to a call.
#[must_use]
pub fn plain_answer(id: &str) -> String {
    format!("answer to {id}, ").repeat(30)
}
