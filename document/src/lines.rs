//! Line numbers of a document's values, in a tree with the same structure.

use std::collections::BTreeMap;

/// Line numbers of a value and of the values nested in it.
#[derive(Debug)]
pub(crate) struct Lines {
    line: usize,
    children: Children,
}

/// Line numbers of the values nested directly in a value.
#[derive(Debug)]
pub(crate) enum Children {
    None,
    Elements(Vec<Lines>),
    Fields(BTreeMap<String, Lines>),
}

impl Lines {
    pub(crate) fn new(line: usize, children: Children) -> Self {
        Self { line, children }
    }

    /// Returns the line of the value at `path`, such as `models[0].layers`. If there is no such
    /// value, returns the line of its nearest ancestor in the document.
    pub(crate) fn find(&self, path: &str) -> usize {
        let mut current = self;
        for segment in segments(path) {
            match current.child(segment) {
                Some(child) => current = child,
                None => break,
            }
        }
        current.line
    }

    fn child(&self, segment: &str) -> Option<&Lines> {
        match &self.children {
            Children::None => None,
            Children::Elements(elements) => elements.get(segment.parse::<usize>().ok()?),
            Children::Fields(fields) => fields.get(segment),
        }
    }
}

/// Splits `models[0].layers` into `models`, `0` and `layers`.
fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']'])
        .filter(|segment| !segment.is_empty())
}

/// Byte offsets of the starts of lines, to convert a byte offset to a line number.
pub(crate) struct LineStarts(Vec<usize>);

impl LineStarts {
    pub(crate) fn of(text: &str) -> Self {
        let line_breaks = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        Self(
            std::iter::once(0)
                .chain(line_breaks.map(|(at, _)| at + 1))
                .collect(),
        )
    }

    /// Returns the line, from 1, of a byte offset.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.0.partition_point(|start| *start <= offset)
    }
}
