//! Evidence of a request's attempts on whether it crashes runners.

use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::fingerprint::Fingerprint;
use jacinthweir_policy::lifetime::Lifetime;
use jacinthweir_policy::quarantine::{BrokenRun, RunSubject, SURVIVED_MS};
use jacinthweir_policy::route::Route;

use crate::accept::Accepted;
use crate::attempt::AttemptEnd;

/// What a request's attempts show, and the progress of the current one.
pub(crate) struct RunEvidence {
    subject: RunSubject,
    /// Lifetimes of the runners along the route of the current attempt.
    through: Vec<Lifetime>,
    sent_ms: Millis,
    /// Times of the first and the last token of the current attempt.
    tokens_ms: Option<(Millis, Millis)>,
    survived: bool,
}

impl RunEvidence {
    /// Returns the evidence of a request that was not sent yet.
    pub(crate) fn of(accepted: &Accepted) -> RunEvidence {
        let prompt = &accepted.prompt;
        let org = Some(&*accepted.caller.organisation);
        RunEvidence {
            subject: RunSubject {
                request: Fingerprint::of(org, "", &prompt.pipeline, prompt.text.as_bytes()),
                parts: Arc::clone(&prompt.shared_parts),
            },
            through: Vec::new(),
            sent_ms: 0,
            tokens_ms: None,
            survived: false,
        }
    }

    /// Returns what is counted against the request if it crashes a runner.
    pub(crate) fn subject(&self) -> &RunSubject {
        &self.subject
    }

    /// Records that an attempt is sent along a route.
    pub(crate) fn record_sent(&mut self, cx: &Kernel, route: &Route) {
        let stages = route.stages.iter();
        self.through = stages.map(|s| cx.lifetime(&s.name)).collect();
        self.sent_ms = cx.clock.now();
        self.tokens_ms = None;
        self.survived = false;
    }

    /// Returns a runner of the current attempt that has restarted since the attempt was sent, which
    /// ended the attempt even if its connection shows no end.
    pub(crate) fn restarted_runner(&self, cx: &Kernel) -> Option<Name> {
        let mut through = self.through.iter();
        let restarted = through.find(|l| cx.lifetime(&l.runner).born_ms > l.born_ms);
        restarted.map(|l| l.runner.clone())
    }

    /// Records a token of the current attempt.
    pub(crate) fn record_token(&mut self, cx: &Kernel) {
        let now = cx.clock.now();
        let (first, _) = self.tokens_ms.unwrap_or((now, now));
        self.tokens_ms = Some((first, now));
        if !self.survived && now >= first + SURVIVED_MS {
            self.survived = true;
            cx.record_survival(&self.subject);
        }
    }

    /// Records the end of the current attempt.
    pub(crate) fn record_end(&self, cx: &Kernel, end: &AttemptEnd) {
        match end {
            AttemptEnd::Completed(_) => cx.record_survival(&self.subject),
            AttemptEnd::Broken(_) | AttemptEnd::Stalled(_) if !self.survived => {
                cx.record_broken_run(BrokenRun {
                    subject: self.subject.clone(),
                    through: self.through.clone(),
                    seen_by: cx.settings.name.clone(),
                    sent_ms: self.sent_ms,
                    ran_ms: self.tokens_ms.map(|(first, last)| last - first),
                    at_ms: cx.clock.now(),
                });
            }
            AttemptEnd::Broken(_)
            | AttemptEnd::Stalled(_)
            | AttemptEnd::Refused(_)
            | AttemptEnd::NeverSent
            | AttemptEnd::DeadlinePassed
            | AttemptEnd::CallerLeft => {}
        }
    }
}
