//! Draws that cover the interval from 0 to 1 evenly.
//!
//! Load pattern: a hundred instances each draw a chain for a few requests per second. With independent
//! draws the occupancy of a chain with room for a hundred requests varies by a tenth although the plan is
//! exact, and what is corrected by late figures adds to it. Draws of one instance that follow each other
//! at the golden ratio send nearly the planned number of its requests to each chain.

/// Fraction of the golden ratio. Of all steps it leaves the most even gaps for any number of draws.
const STEP: f64 = 0.618_033_988_749_895;

/// Sequence of draws of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct EvenDraws {
    last: Option<f64>,
}

impl EvenDraws {
    /// Returns the next draw, from 0 to 1. The first one is `start`, which has to be random, so that
    /// instances do not draw alike.
    pub fn next(&mut self, start: f64) -> f64 {
        let draw = self.last.map_or(start, |last| (last + STEP).fract());
        self.last = Some(draw);
        draw
    }
}
