//! Checks that a non-idempotent call runs at most once.

use std::collections::BTreeMap;

use jacinthweir_policy::prelude::*;

use super::record::{History, Submission, Work};
use super::violation::Violation;

pub(super) fn check(history: &History, found: &mut Vec<Violation>) {
    let runs = runs_by_body(history);
    let mut by_key = BTreeMap::<&str, Vec<&Submission>>::new();
    for s in &history.submissions {
        let Work::Call {
            idempotent: false,
            key,
            body,
        } = &s.work
        else {
            continue;
        };
        let times = runs.get(body.as_str()).copied().unwrap_or(0);
        let name = key.as_deref().unwrap_or(body);
        if s.seen.outcome == Some(Outcome::Answered) && has_success_status(s) && times == 0 {
            let key = name.to_owned();
            found.push(Violation::AnsweredButNeverRan {
                number: s.number,
                key,
            });
        }
        by_key.entry(name).or_default().push(s);
        if times > 1 && by_key[name].len() == 1 {
            found.push(Violation::RanTwice {
                name: name.to_owned(),
                times,
            });
        }
    }
    for (key, submissions) in by_key {
        check_same_answer(key, &submissions, found);
    }
}

/// Counts runs by request body. The body is unique for each key, so it identifies the call even if
/// an instance forwarded a wrong key.
fn runs_by_body(history: &History) -> BTreeMap<&str, usize> {
    let mut runs = BTreeMap::new();
    for call in &history.calls {
        *runs.entry(call.body.as_str()).or_default() += 1;
    }
    runs
}

fn has_success_status(s: &Submission) -> bool {
    s.seen.status.is_some_and(|status| status < 300)
}

fn check_same_answer(key: &str, submissions: &[&Submission], found: &mut Vec<Violation>) {
    let answered = submissions
        .iter()
        .filter(|s| s.seen.outcome == Some(Outcome::Answered));
    let mut texts: Vec<&str> = answered.map(|s| s.seen.text.as_str()).collect();
    texts.dedup();
    if texts.len() > 1 {
        found.push(Violation::AnswersDiffer {
            key: key.to_owned(),
        });
    }
}
