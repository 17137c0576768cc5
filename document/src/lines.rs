//! Line numbers of a document's values, as a tree of the same shape.

use std::collections::BTreeMap;

/// Line of a value and of everything below it.
#[derive(Debug)]
pub(crate) struct Lines {
    line: usize,
    below: Below,
}

/// What is below a value.
#[derive(Debug)]
pub(crate) enum Below {
    Nothing,
    Elements(Vec<Lines>),
    Fields(BTreeMap<String, Lines>),
}

impl Lines {
    pub(crate) fn new(line: usize, below: Below) -> Self {
        Self { line, below }
    }

    /// Line of the value at `path`, as `models[0].layers`; where the path leads nowhere, the line
    /// of the last value on it that stands in the document.
    pub(crate) fn find(&self, path: &str) -> usize {
        let mut at = self;
        for step in steps(path) {
            match at.step(step) {
                Some(next) => at = next,
                None => break,
            }
        }
        at.line
    }

    fn step(&self, step: &str) -> Option<&Lines> {
        match &self.below {
            Below::Nothing => None,
            Below::Elements(elements) => elements.get(step.parse::<usize>().ok()?),
            Below::Fields(fields) => fields.get(step),
        }
    }
}

/// Splits `models[0].layers` into `models`, `0` and `layers`.
fn steps(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']']).filter(|step| !step.is_empty())
}

/// Turns byte offsets into lines.
pub(crate) struct LineStarts(Vec<usize>);

impl LineStarts {
    pub(crate) fn of(text: &str) -> Self {
        let after_breaks = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        Self(
            std::iter::once(0)
                .chain(after_breaks.map(|(at, _)| at + 1))
                .collect(),
        )
    }

    /// Line, from 1, of a byte offset.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.0.partition_point(|start| *start <= offset)
    }
}
