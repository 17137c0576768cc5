//! The rule named FAULT: processes that end unasked, end badly after SIGTERM, are not ready in time, or need
//! too much memory.
//!
//! The time to become ready counts from the later of the start and the last moment at which the store, or the
//! instance's own start (its address, its settings, its predecessor), was held up from outside.

use super::Violation;
use crate::soak::observed::{Asked, Life, Millis, Observed, Status, Target};

/// Memory of an instance's machine, in megabytes.
pub const MEMORY_LIMIT_MB: u64 = 260;

/// Returns what the processes of the instances broke, in the order of their starts.
pub(super) fn faults(o: &Observed) -> Vec<Violation> {
    let of_life = |life| {
        let found = [ended(life), not_ready(o, life), memory(life)];
        found.into_iter().flatten()
    };
    o.lives.iter().flat_map(of_life).collect()
}

fn ended(life: &Life) -> Option<Violation> {
    let exit = life.exit.as_ref()?;
    let text = || format!("{}, {}", exit.status, exit.last_line);
    let asked = life.asked.map(|(asked, _)| asked);
    match (asked, exit.status) {
        (Some(Asked::Kill), Status::Signal(SIGKILL))
        | (Some(Asked::Terminate), Status::Code(0)) => None,
        (Some(Asked::Terminate | Asked::KillAfterGrace), _) => Some(Violation::BadStop {
            instance: life.instance,
            at_ms: exit.at_ms,
            how: text(),
        }),
        // A process that has ended before it could be killed has another status.
        (None | Some(Asked::Kill), _) => Some(Violation::EndedUnasked {
            instance: life.instance,
            at_ms: exit.at_ms,
            after_ms: exit.at_ms.saturating_sub(life.started_ms),
            how: text(),
        }),
    }
}

/// Number of the signal that ends a process in any case.
const SIGKILL: i32 = 9;

fn not_ready(o: &Observed, life: &Life) -> Option<Violation> {
    let from_ms = undisturbed_from(o, life)?;
    let is_late = life
        .ready_ms
        .is_none_or(|at| at > from_ms + o.ready_bound_ms);
    is_late.then_some(Violation::NotReady {
        instance: life.instance,
        from_ms,
        ready_ms: life.ready_ms,
    })
}

/// Returns from when on a process had the whole bound to become ready, unless something ended that time.
fn undisturbed_from(o: &Observed, life: &Life) -> Option<Millis> {
    let mut from_ms = life.started_ms;
    let targets = [Target::Store, Target::Instance(life.instance)];
    let mut disturbed: Vec<(Millis, Millis)> = o
        .disturbed
        .iter()
        .filter(|(target, _, _)| targets.contains(target))
        .map(|(_, begin, end)| (*begin, *end))
        .collect();
    disturbed.sort_unstable();
    for (begin, end) in disturbed {
        if begin <= from_ms + o.ready_bound_ms {
            from_ms = from_ms.max(end);
        }
    }
    let was_asked = life.asked.map(|(_, at_ms)| at_ms);
    let has_ended = life.exit.as_ref().map(|exit| exit.at_ms);
    let until_ms = [was_asked, has_ended, Some(o.until_ms)];
    let until_ms = until_ms.into_iter().flatten().min()?;
    (from_ms + o.ready_bound_ms <= until_ms).then_some(from_ms)
}

fn memory(life: &Life) -> Option<Violation> {
    (life.most_mb > MEMORY_LIMIT_MB).then_some(Violation::Memory {
        instance: life.instance,
        mb: life.most_mb,
    })
}
