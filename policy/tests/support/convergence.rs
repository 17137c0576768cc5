//! Test harness that drives the convergence of one instance step by step.

use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock};

use jacinthweir_policy::config::check::*;
use jacinthweir_policy::config::commit::{Decision, Proposal, decide};
use jacinthweir_policy::config::converge::*;
use jacinthweir_policy::config::parts::{PartText, split};
use jacinthweir_policy::head::Head;
use jacinthweir_policy::schema::{OrgDecl, Schema};
use jacinthweir_policy::time::{Millis, Name};

/// Maximum number of changes in a run.
pub const MAX_CHANGES: u32 = 90;
pub const GRACE_MS: Millis = 1_500;
pub const UNCONFIRMED_MS: Millis = 15_000;
pub const ROLLBACK_CONFIRM_MS: Millis = 2_000;

pub fn cfg() -> ConvergenceConfig {
    ConvergenceConfig {
        own: "recife-1".into(),
        expects_peers: true,
        join_grace_ms: GRACE_MS,
        unconfirmed_ms: UNCONFIRMED_MS,
        rollback_confirm_ms: ROLLBACK_CONFIRM_MS,
    }
}

/// Returns the parts of the schema declared by change number `n`.
pub fn parts(n: u32) -> Vec<PartText> {
    let organisations = vec![OrgDecl {
        name: "atelier".into(),
        priority: 0,
        weight: n + 1,
        key_sha256: vec![],
        max_in_flight: None,
    }];
    split(&Schema {
        organisations,
        ..Schema::default()
    })
    .unwrap()
}

/// Part texts of all changes, by hash.
pub static TEXTS: LazyLock<BTreeMap<Name, Name>> = LazyLock::new(|| {
    let all = (0..MAX_CHANGES).flat_map(parts);
    all.map(|part| (part.part.hash, part.text)).collect()
});

/// Returns the head created by committing change number `n` over `standing`.
pub fn commit(standing: Option<&Arc<Head>>, n: u32) -> Arc<Head> {
    let proposal = Proposal {
        base: standing.map_or(0, |head| head.revision),
        change: format!("c{n}").into(),
        operator: "ana".into(),
        at_ms: 0,
        parts: parts(n).into_iter().map(|p| p.part).collect(),
        summary: vec![],
    };
    match decide(standing.map(|head| &**head), &proposal) {
        Decision::Commit(head) => Arc::new(head),
        other => panic!("{other:?}"),
    }
}

pub fn lineage(len: u32) -> Vec<Arc<Head>> {
    let mut heads: Vec<Arc<Head>> = vec![];
    for n in 0..len {
        heads.push(commit(heads.last(), n));
    }
    heads
}

/// The result of a simulated fetch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fetching {
    Good,
    Altered,
    Fails,
}

/// An instance under test with its clock, open fetches and recorded actions.
pub struct Instance {
    pub now: Millis,
    pub started: u64,
    pub machine: Convergence,
    pub fetches: Vec<(Name, Source)>,
    pub records: Vec<InForceRecord>,
    pub alarms: Vec<Alarm>,
    pub republish: Option<(Arc<Head>, u64)>,
}

impl Instance {
    pub fn start() -> Self {
        let machine = Convergence::new(0, cfg());
        let (fetches, records, alarms) = (vec![], vec![], vec![]);
        Self {
            now: 0,
            started: 0,
            machine,
            fetches,
            records,
            alarms,
            republish: None,
        }
    }

    pub fn restart(&mut self) {
        self.started += 1;
        self.machine = Convergence::new(self.now, cfg());
        self.fetches.clear();
        self.republish = None;
    }

    pub fn event(&mut self, event: Event) {
        for action in self.machine.handle(self.now, event) {
            match action {
                Action::Fetch { part, from } => self.fetches.push((part.hash, from)),
                Action::PutInForce(applied) => self.records.push(InForceRecord {
                    instance: "recife-1".into(),
                    incarnation: self.started,
                    at_ms: self.now,
                    revision: applied.head.revision,
                    content: applied.head.history[0].content.clone(),
                }),
                Action::Republish { head, over } => self.republish = Some((head, over)),
                Action::Raise(alarm) => self.alarms.push(alarm),
            }
        }
    }

    pub fn platform(&mut self, head: Option<&Arc<Head>>, version: u64) {
        let head = head.cloned();
        self.event(Event::PlatformHead {
            head,
            version,
            asked_at: self.now,
        });
    }

    pub fn peer(&mut self, head: &Arc<Head>) {
        self.event(Event::PeerHead {
            peer: "patos-1".into(),
            head: head.clone(),
        });
    }

    /// Reports two other instances, heard from now, with this revision in force.
    pub fn members(&mut self, revision: u64) {
        let heard_at = Some(self.now);
        let view = |name: &str| PeerView {
            name: name.into(),
            revision,
            heard_at,
        };
        self.event(Event::Members(vec![view("patos-1"), view("olinda-1")]));
    }

    pub fn fetch(&mut self, how: Fetching) {
        for (hash, from) in std::mem::take(&mut self.fetches) {
            let text = TEXTS[&hash].clone();
            self.event(match how {
                Fetching::Good => Event::PartArrived { hash, text, from },
                Fetching::Altered => Event::PartArrived {
                    hash,
                    text: "{}".into(),
                    from,
                },
                Fetching::Fails => Event::FetchFailed { hash, from },
            });
        }
    }

    pub fn advance(&mut self, ms: Millis) {
        self.now += ms;
        self.event(Event::Tick);
    }

    pub fn revision(&self) -> u64 {
        self.machine
            .in_force()
            .map_or(0, |applied| applied.head.revision)
    }

    pub fn serves(&self) -> bool {
        self.now < self.machine.serve_until()
    }

    /// Creates an instance with the last of `heads` in force.
    pub fn serving(heads: &[Arc<Head>]) -> Self {
        let mut instance = Self::start();
        let newest = heads.last().unwrap();
        instance.members(newest.revision);
        instance.peer(newest);
        instance.fetch(Fetching::Good);
        assert_eq!(instance.revision(), newest.revision);
        instance
    }
}
