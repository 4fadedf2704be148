//! Settings of the planner.

/// Settings of a [`Planner`](super::Planner).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of the slots that the largest recent load takes, where a further upstream costs the full price.
    pub ordinary_utilization: f64,
    /// The same share where a further upstream costs nothing; between the two it follows the price.
    pub free_utilization: f64,
    /// Share of the slots that the largest recent load takes after the spot upstreams of one data centre have gone.
    pub surviving_utilization: f64,
    /// Queued prefill time per upstream at the largest recent load, in ms; well below the targets of callers.
    pub queued_prefill_ms: f64,
    /// The same after the spot upstreams of one data centre have gone, in ms.
    pub surviving_prefill_ms: f64,
    /// Share of the wanted upstreams that are ordinary, as spot ones may all be reclaimed.
    pub ordinary_share: f64,
    /// Price of a spot upstream relative to an ordinary one from which spot ones are not used, in thousandths.
    pub max_spot_price: u32,
    /// Time constant of the average of the load, in ms.
    pub smoothing_ms: u64,
    /// Time for which the largest load counts, in ms.
    pub hold_ms: u64,
    /// Time without any load after which the number of upstreams at the start is no longer held, in ms.
    pub idle_ms: u64,
    /// Extra share that is ordered when the load rises, so that a steady rise takes few orders.
    pub rise_margin: f64,
    /// Rise of the number of one kind in a data centre that is not ordered, as a share of the number that was.
    pub ignored_rise: f64,
    /// Time for which the list of upstreams has to be known before the first order, in ms: numbers are absolute, and
    /// one worked out from a part of the list would remove upstreams.
    pub first_order_ms: u64,
    /// Largest share of the wanted number that is given up in one step.
    pub calm_step_share: f64,
    /// Time between two such steps, in ms.
    pub calm_step_ms: u64,
    /// Largest share of the ordinary upstreams of a data centre that is given up in one step.
    pub ordinary_step_share: f64,
    /// Time between two such steps, in ms.
    pub ordinary_step_ms: u64,
    /// Time beyond the start of an upstream after which an order is overdue, in ms; it covers the delay of the list.
    pub overdue_margin_ms: u64,
    /// Time for which upstreams have to be missing before they are ordered again, in ms.
    pub missing_ms: u64,
    /// Loss that is made up for at once, as a share of what was ordered; a smaller one waits for the time of an order.
    pub large_loss: f64,
    /// Pause after an order that failed, in ms; it doubles with each further failure.
    pub retry_ms: u64,
    /// Longest such pause, in ms.
    pub max_retry_ms: u64,
    /// Time without a call for orders after which another instance may have sent some, in ms.
    pub holder_gap_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ordinary_utilization: 0.65,
            free_utilization: 0.4,
            surviving_utilization: 0.85,
            queued_prefill_ms: 50.0,
            surviving_prefill_ms: 100.0,
            ordinary_share: 0.12,
            max_spot_price: 800,
            smoothing_ms: 800,
            hold_ms: 20_000,
            idle_ms: 60_000,
            rise_margin: 0.1,
            ignored_rise: 0.07,
            first_order_ms: 1_000,
            calm_step_share: 0.2,
            calm_step_ms: 4_000,
            ordinary_step_share: 0.34,
            ordinary_step_ms: 2_000,
            overdue_margin_ms: 3_000,
            missing_ms: 600,
            large_loss: 0.25,
            retry_ms: 1_500,
            max_retry_ms: 30_000,
            holder_gap_ms: 3_000,
        }
    }
}
