//! Packing linear program that maximises the throughput of a plan, solved by the simplex method.
//!
//! ```text
//! maximise     sum of gain[c] * x[c]
//! subject to   sum of use[r][c] * x[c] <= 1  for each resource r,  x >= 0
//! ```
//!
//! Columns are chains, rows are resources (runners and links). There are far too many chains to
//! enumerate, so columns are generated: the caller reads the dual prices of the resources, finds
//! the chain with the highest reduced gain at these prices, and adds it with [`Packing::enter`].
//! The basis holds as many columns as there are resources. It starts with all slacks, which is
//! feasible, so no first phase is needed.

/// Values below this are treated as zero.
const EPSILON: f64 = 1e-9;

/// Resource usage of a column: `(resource, share used per unit of x)`.
pub type ColumnUses = Vec<(usize, f64)>;

/// State of the simplex method.
pub struct Packing {
    rows: usize,
    /// Inverse of the basis matrix, row by row.
    inverse: Vec<f64>,
    /// Column that is basic in each row; `None` for a slack.
    basic: Vec<Option<usize>>,
    /// Value of the basic variable of each row.
    value: Vec<f64>,
    /// Gain of the basic variable of each row.
    gain: Vec<f64>,
}

impl Packing {
    /// Creates a program with `rows` resources and no columns.
    pub fn new(rows: usize) -> Self {
        let mut inverse = vec![0.0; rows * rows];
        for r in 0..rows {
            inverse[r * rows + r] = 1.0;
        }
        Self {
            rows,
            inverse,
            basic: vec![None; rows],
            value: vec![1.0; rows],
            gain: vec![0.0; rows],
        }
    }

    /// Returns the number of resources.
    pub fn rows(&self) -> usize {
        self.rows
    }

    /// Returns the dual price of each resource; slacks enter the basis until none is negative.
    pub fn prices(&mut self) -> Vec<f64> {
        loop {
            let prices = self.duals();
            let mut lowest = (-EPSILON, None);
            for (r, &price) in prices.iter().enumerate() {
                if price < lowest.0 {
                    lowest = (price, Some(r));
                }
            }
            let Some(r) = lowest.1 else { return prices };
            if !self.enter_basis(&[(r, 1.0)], 0.0, None) {
                return prices;
            }
        }
    }

    fn duals(&self) -> Vec<f64> {
        let mut prices = vec![0.0; self.rows];
        for (row, &gain) in self.inverse.chunks(self.rows).zip(&self.gain) {
            if gain != 0.0 {
                for (price, entry) in prices.iter_mut().zip(row) {
                    *price += gain * entry;
                }
            }
        }
        prices
    }

    /// Adds a column to the basis; `id` identifies it in [`Packing::columns`]. Returns whether the
    /// basis changed.
    pub fn enter(&mut self, uses: &ColumnUses, gain: f64, id: usize) -> bool {
        self.enter_basis(uses, gain, Some(id))
    }

    fn enter_basis(&mut self, uses: &[(usize, f64)], gain: f64, id: Option<usize>) -> bool {
        let column: Vec<f64> = self
            .inverse
            .chunks(self.rows)
            .map(|row| uses.iter().map(|&(r, share)| row[r] * share).sum())
            .collect();
        let Some(leaving) = self.ratio_test(&column) else {
            return false;
        };
        self.pivot(leaving, &column);
        self.basic[leaving] = id;
        self.gain[leaving] = gain;
        true
    }

    /// Returns the row whose basic variable reaches zero first; on ties the one with the largest
    /// pivot, which keeps rounding errors small.
    fn ratio_test(&self, column: &[f64]) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for (r, &entry) in column.iter().enumerate() {
            if entry <= EPSILON {
                continue;
            }
            let ratio = self.value[r].max(0.0) / entry;
            let better = best.is_none_or(|(least, b)| {
                ratio < least - EPSILON || (ratio < least + EPSILON && entry > column[b])
            });
            if better {
                best = Some((ratio, r));
            }
        }
        best.map(|(_, r)| r)
    }

    fn pivot(&mut self, leaving: usize, column: &[f64]) {
        let n = self.rows;
        let scale = 1.0 / column[leaving];
        let pivot_row: Vec<f64> = self.inverse[leaving * n..(leaving + 1) * n]
            .iter()
            .map(|e| e * scale)
            .collect();
        let step = self.value[leaving].max(0.0) * scale;
        for (r, row) in self.inverse.chunks_mut(n).enumerate() {
            let factor = column[r];
            if r == leaving || factor == 0.0 {
                continue;
            }
            for (entry, p) in row.iter_mut().zip(&pivot_row) {
                *entry -= factor * p;
            }
            self.value[r] -= factor * step;
        }
        self.inverse[leaving * n..(leaving + 1) * n].copy_from_slice(&pivot_row);
        self.value[leaving] = step;
    }

    /// Returns the columns with a non-zero value and their values, by ascending id.
    pub fn columns(&self) -> Vec<(usize, f64)> {
        let used = self.basic.iter().zip(&self.value);
        let mut columns: Vec<(usize, f64)> = used
            .filter(|(_, value)| **value > EPSILON)
            .filter_map(|(id, &value)| id.map(|id| (id, value)))
            .collect();
        columns.sort_by_key(|(id, _)| *id);
        columns
    }

    /// Returns the current value of the objective.
    pub fn objective(&self) -> f64 {
        self.gain
            .iter()
            .zip(&self.value)
            .map(|(gain, value)| gain * value)
            .sum()
    }
}
