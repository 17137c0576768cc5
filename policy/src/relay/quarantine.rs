//! Requests that end the runners which run them, and are sent to no more of them.
//!
//! Load pattern: each runner that begins to run a certain request crashes, and is back after some
//! seconds. The request comes again and again, at any instance, and each attempt is new to it. What broke
//! with it goes to the next chain together with it, which breaks as well, until none is left.
//!
//! A request whose run breaks off is a suspect: its runner may have ended under it. If it has, that is one
//! strike against the request. With [`STRIKES`] the request is held: no instance sends it to any runner.
//!
//! Most of what broke with it is innocent. Where some of what broke has strikes already, only those with
//! most get another. And what is innocent shows so when it is sent elsewhere: a run that came to its end, or
//! that its runner wrote for [`SURVIVED_MS`], voids all strikes. So does a runner that answers again in the
//! lifetime that seemed over.
//!
//! Invariants:
//! - A strike is named by the lifetime that ended: it counts once, whoever saw it.
//! - What is void stays void. So cases may be told in any order and any number of times, and all who heard
//!   the same hold the same.
//! - One break is one strike, however many parts of its chain ended.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::relay::fingerprint::Fingerprint;
use crate::relay::lifetime::Lifetime;
use crate::relay::ranks::{is_among_first, rank_for};

/// Ends of runners under one request from which on it is held. With two, those that met the same two crashes
/// as a lethal request would be held as well.
pub const STRIKES: usize = 3;

/// Time that a runner must write for a request to have shown that it lives with it, in milliseconds.
pub const SURVIVED_MS: Millis = 1_000;

/// How long a break waits for the end of its runner to show, in milliseconds: the entry of one that says
/// nothing goes after three heartbeats of a second or more.
const BREAK_KEPT_MS: Millis = 5_000;

/// How long a case is kept that is not held, and how long a request is held, in milliseconds.
const CASE_KEPT_MS: Millis = 120_000;
const HELD_MS: Millis = 600_000;

/// The most cases kept: when a domain is lost, all that ran there is suspect.
const MOST_CASES: usize = 4_096;

/// The most lifetimes kept of one case.
const MOST_LIFETIMES: usize = 64;

/// Whether a request may be sent to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Free,
    /// It is one strike short of being held, and its last run broke off a moment ago: it has not shown yet
    /// whether that runner ended.
    Undecided,
    /// Not for so many milliseconds.
    Held(Millis),
}

/// What an instance knows of a lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It goes on, or nothing is known of it.
    Open,
    /// It is over.
    Ended,
    /// It counted as over and answers since this time, in milliseconds.
    Answers(Millis),
}

/// A case as it travels and is stored. It has an age and no time, since clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// Request.
    pub request: Fingerprint,
    /// Lifetimes that ended under it.
    pub strikes: BTreeSet<Lifetime>,
    /// Those of them that say nothing against it.
    pub void: BTreeSet<Lifetime>,
    /// Whether the store has it.
    pub stored: bool,
    /// Time since its last change when this was written, in milliseconds.
    pub age_ms: Millis,
}

impl Case {
    /// Strikes that count.
    pub fn counted(&self) -> impl Iterator<Item = &Lifetime> {
        self.strikes.difference(&self.void)
    }

    /// Whether the request is to be held.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.counted().count() >= STRIKES
    }
}

/// A run that broke off.
#[derive(Clone, Debug)]
pub struct Break {
    /// Request.
    pub request: Fingerprint,
    /// Lifetimes that it passed through, the first one first.
    pub through: Vec<Lifetime>,
    /// Whether it is known to have begun; otherwise it may have waited at the first one.
    pub begun: bool,
    /// When it broke off, in milliseconds.
    pub at_ms: Millis,
}

/// Requests whose runs broke off together, and whether each had begun.
type Suspects = BTreeMap<Fingerprint, bool>;

#[derive(Clone, Debug)]
struct Known {
    case: Case,
    changed_ms: Millis,
    /// When each strike was heard of here, in milliseconds.
    struck_ms: BTreeMap<Lifetime, Millis>,
}

/// A strike that was found here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    /// Request.
    pub request: Fingerprint,
    /// Lifetime that ended under it.
    pub lifetime: Lifetime,
    /// Strikes that count now.
    pub count: usize,
}

/// What came of looking at the open breaks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Strikes found.
    pub struck: Vec<Strike>,
    /// Whether something became void.
    pub voided: bool,
    /// Requests that are forgotten and that the store still has.
    pub forgotten: Vec<Fingerprint>,
}

impl Settled {
    /// Whether others should hear of it.
    #[must_use]
    pub fn is_news(&self) -> bool {
        self.voided || !self.struck.is_empty()
    }
}

/// All cases that one instance knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    breaks: Vec<Break>,
    cases: BTreeMap<Fingerprint, Known>,
}

impl Quarantine {
    /// Whether nothing is known against any request.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.breaks.is_empty() && self.cases.is_empty()
    }

    /// A run of a request that passed through some lifetimes broke off.
    pub fn broke(&mut self, broken: Break) {
        self.breaks.push(broken);
    }

    /// A run of a request came to its end, or went on for long enough: whether that is news.
    pub fn survived(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.breaks.retain(|b| b.request != request);
        let Some(known) = self.cases.get_mut(&request) else {
            return false;
        };
        let counted: Vec<Lifetime> = known.case.counted().cloned().collect();
        if counted.is_empty() {
            return false;
        }
        known.case.void.extend(counted);
        known.changed_ms = now;
        true
    }

    /// Looks at `now` what became of the runners of broken runs, which `life` tells, and forgets what is old.
    pub fn settle(&mut self, now: Millis, life: impl Fn(&Lifetime) -> Life) -> Settled {
        let mut settled = Settled::default();
        let mut suspects: BTreeMap<Lifetime, Suspects> = BTreeMap::new();
        for b in std::mem::take(&mut self.breaks) {
            let ended = b.through.iter().find(|l| life(l) == Life::Ended);
            match ended {
                Some(l) => {
                    let begun = suspects.entry(l.clone()).or_default().entry(b.request);
                    *begun.or_default() |= b.begun;
                }
                None if now < b.at_ms + BREAK_KEPT_MS => self.breaks.push(b),
                None => {}
            }
        }
        for (lifetime, suspects) in &suspects {
            let struck = self.strike_likeliest(suspects, lifetime, now);
            settled.struck.extend(struck);
        }
        for known in self.cases.values_mut() {
            settled.voided |= known.void_returned(now, &life);
        }
        settled.forgotten = self.forget(now);
        settled
    }

    /// A lifetime ended under several requests: those under which runners ended most often before are to
    /// blame. Of these, if they are to be held for it, those whose run had begun.
    fn strike_likeliest(&mut self, suspects: &Suspects, l: &Lifetime, now: Millis) -> Vec<Strike> {
        if self.is_explained(l, suspects) {
            return Vec::new();
        }
        let count = |r: &Fingerprint| self.cases.get(r).map_or(0, |k| k.case.counted().count());
        let most = suspects.keys().map(count).max().unwrap_or(0);
        let mut likeliest: BTreeMap<Fingerprint, bool> = suspects.clone();
        likeliest.retain(|r, _| count(r) == most);
        let any_begun = likeliest.values().any(|begun| *begun);
        if any_begun && most + 1 >= STRIKES {
            likeliest.retain(|_, begun| *begun);
        }
        let struck = likeliest.into_keys().filter_map(|r| self.strike(r, l, now));
        struck.collect()
    }

    /// Whether a lifetime ended under a request that is held, and none of the suspects is that one.
    fn is_explained(&self, l: &Lifetime, suspects: &Suspects) -> bool {
        let held = self.cases.values().filter(|k| k.case.is_held());
        let mut others = held.filter(|k| !suspects.contains_key(&k.case.request));
        others.any(|k| k.case.strikes.contains(l))
    }

    /// A lifetime ended under a request; `None` where that is known.
    fn strike(&mut self, request: Fingerprint, l: &Lifetime, now: Millis) -> Option<Strike> {
        let known = self.known(request, now);
        if !known.add(l, now, now) {
            return None;
        }
        Some(Strike {
            request,
            lifetime: l.clone(),
            count: known.case.counted().count(),
        })
    }

    fn known(&mut self, request: Fingerprint, now: Millis) -> &mut Known {
        if self.cases.len() >= MOST_CASES && !self.cases.contains_key(&request) {
            let open = self.cases.iter().filter(|(_, k)| !k.case.is_held());
            let oldest = open.min_by_key(|(_, k)| k.changed_ms).map(|(r, _)| *r);
            oldest.map(|r| self.cases.remove(&r));
        }
        self.cases.entry(request).or_insert_with(|| Known {
            case: Case {
                request,
                strikes: BTreeSet::new(),
                void: BTreeSet::new(),
                stored: false,
                age_ms: 0,
            },
            changed_ms: now,
            struck_ms: BTreeMap::new(),
        })
    }

    /// Forgets what is old; returns what the store still has of it.
    fn forget(&mut self, now: Millis) -> Vec<Fingerprint> {
        let over = self
            .cases
            .extract_if(.., |_, k| now >= k.changed_ms + k.kept_ms());
        let stored = over.filter(|(_, k)| k.case.stored);
        stored.map(|(request, _)| request).collect()
    }

    /// Whether a request may be sent to a runner at `now`.
    #[must_use]
    pub fn verdict(&self, request: Fingerprint, now: Millis) -> Verdict {
        let Some(known) = self.cases.get(&request) else {
            return Verdict::Free;
        };
        let until_ms = known.changed_ms + known.kept_ms();
        if known.case.is_held() && now < until_ms {
            return Verdict::Held(until_ms - now);
        }
        let open = self.breaks.iter().any(|b| b.request == request);
        match open && known.case.counted().count() + 1 >= STRIKES {
            true => Verdict::Undecided,
            false => Verdict::Free,
        }
    }

    /// Another instance, or the store, told of a case; whether something of it is news.
    pub fn hear(&mut self, told: &Case, now: Millis) -> bool {
        let is_old = told.age_ms >= kept_ms(told.is_held());
        if is_old || told.strikes.len() + told.void.len() > 2 * MOST_LIFETIMES {
            return false;
        }
        let at_ms = now.saturating_sub(told.age_ms);
        let known = self.known(told.request, at_ms);
        let mut is_news = false;
        for l in &told.strikes {
            is_news |= known.add(l, now, at_ms);
        }
        for l in &told.void {
            is_news |= known.case.void.insert(l.clone());
        }
        is_news |= told.stored && !std::mem::replace(&mut known.case.stored, true);
        if is_news {
            known.changed_ms = known.changed_ms.max(at_ms);
        }
        is_news
    }

    /// The store has the case of a request.
    pub fn stored(&mut self, request: Fingerprint) {
        if let Some(known) = self.cases.get_mut(&request) {
            known.case.stored = true;
        }
    }

    /// What is told of cases at `now`: those that changed within `age_ms`, and where `held` says so all that are
    /// held.
    pub fn told(&self, age_ms: Millis, held: bool, now: Millis) -> impl Iterator<Item = Case> {
        let known = self.cases.values();
        let told = known.filter(move |k| {
            let is_new = now <= k.changed_ms + age_ms;
            is_new || (held && k.case.is_held())
        });
        told.map(move |k| Case {
            age_ms: now.saturating_sub(k.changed_ms),
            ..k.case.clone()
        })
    }

    /// Cases of requests that are held, and for how long yet, in milliseconds.
    pub fn held(&self, now: Millis) -> impl Iterator<Item = (&Case, Millis)> {
        let held = self.cases.values().filter(|k| k.case.is_held());
        held.map(move |k| {
            let until_ms = k.changed_ms + k.kept_ms();
            (&k.case, until_ms.saturating_sub(now))
        })
    }
}

impl Known {
    fn kept_ms(&self) -> Millis {
        kept_ms(self.case.is_held())
    }

    /// Adds a strike of `at_ms` that is heard of at `now`; whether it is new.
    fn add(&mut self, l: &Lifetime, now: Millis, at_ms: Millis) -> bool {
        let has_room = self.case.strikes.len() < MOST_LIFETIMES;
        let is_new = has_room && self.case.strikes.insert(l.clone());
        if is_new {
            self.changed_ms = self.changed_ms.max(at_ms);
            self.struck_ms.insert(l.clone(), now);
        }
        is_new
    }

    /// Voids strikes by lifetimes that go on after all; whether there were any.
    fn void_returned(&mut self, now: Millis, life: impl Fn(&Lifetime) -> Life) -> bool {
        let returned = |l: &Lifetime, struck_ms: Millis| match life(l) {
            Life::Answers(at_ms) => at_ms >= struck_ms,
            Life::Open | Life::Ended => false,
        };
        let back: Vec<Lifetime> = self
            .struck_ms
            .extract_if(.., |l, struck_ms| returned(l, *struck_ms))
            .map(|(l, _)| l)
            .collect();
        let before = self.case.void.len();
        self.case.void.extend(back);
        let changed = self.case.void.len() > before;
        if changed {
            self.changed_ms = now;
        }
        changed
    }
}

fn kept_ms(is_held: bool) -> Millis {
    match is_held {
        true => HELD_MS,
        false => CASE_KEPT_MS,
    }
}

/// Whether `name` is the one that writes a case into the store, of the instances that live and hear it,
/// itself included or not.
pub fn writes<'a>(
    name: &Name,
    hear_store: impl Iterator<Item = &'a Name>,
    request: Fingerprint,
) -> bool {
    let matter = request.to_string();
    let ranks = hear_store.map(|n| rank_for(n, &matter));
    is_among_first(1, rank_for(name, &matter), ranks)
}
