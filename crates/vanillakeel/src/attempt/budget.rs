//! The retry budget, a token bucket that calls fill and repeats empty.

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats allowed for each call sent.
    pub per_call: f64,
    /// Repeats at the start.
    pub initial: f64,
    /// Most repeats saved up.
    pub most: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            per_call: 0.2,
            initial: 20.0,
            most: 100.0,
        }
    }
}

/// Repeats that are left.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    settings: BudgetSettings,
    left: f64,
}

impl Budget {
    /// Makes a budget with its initial repeats.
    #[must_use]
    pub const fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            left: settings.initial,
        }
    }

    /// Adds the share of one call that is sent.
    pub fn on_call(&mut self) {
        self.left = (self.left + self.settings.per_call).min(self.settings.most);
    }

    /// Takes one repeat, if one is left.
    #[must_use]
    pub fn take(&mut self) -> bool {
        let has_one = self.left >= 1.0;
        if has_one {
            self.left -= 1.0;
        }
        has_one
    }

    /// Repeats that are left.
    #[must_use]
    pub const fn left(&self) -> f64 {
        self.left
    }
}
