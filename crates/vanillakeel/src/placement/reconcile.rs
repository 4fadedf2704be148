//! Reconciliation: the commands that bring upstreams from the observed to the desired state.

use super::Requirement;
use crate::Millis;
use std::sync::Arc;

/// Settings of a [`Placement`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of models that an upstream holds.
    pub models_per_upstream: usize,
    /// Number of loads that the weight store can serve at the same time.
    pub max_concurrent_loads: usize,
    /// Expected time that a load takes, in ms.
    pub load_ms: u64,
    /// Time after a load for which the upstream is not drained, in ms, so that models don't flap.
    pub cooldown_ms: u64,
    /// Time after which a command without effect is abandoned and may be sent again, in ms.
    pub retry_ms: u64,
    /// Time for which an upstream gets no new requests for a model before it unloads it, in ms.
    pub drain_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            models_per_upstream: 1,
            max_concurrent_loads: 2,
            load_ms: 20_000,
            cooldown_ms: 60_000,
            retry_ms: 40_000,
            drain_ms: 3_000,
        }
    }
}

/// Observed state of an upstream, from its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Name of its pool.
    pub pool: Arc<str>,
    /// Models that the upstream holds.
    pub models: Vec<Arc<str>>,
    /// The model that it is loading, if any.
    pub loading: Option<Arc<str>>,
}

/// What a command does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// Stop sending new requests for the model to the upstream.
    ///
    /// It is announced to the other instances by a record on the log.
    Drain,
    /// Unload the model.
    Unload,
    /// Load the model.
    Load,
}

/// An instruction that concerns one model on one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Name of the model.
    pub model: Arc<str>,
    /// What to do with the model.
    pub kind: CommandKind,
}

/// A service whose replicas will not be ready by the start of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Risk {
    /// Name of the service.
    pub service: Arc<str>,
    /// Number of missing replicas.
    pub missing: u32,
    /// Expected delay of the last replica after the start of the event, in ms.
    pub late_ms: u64,
}

/// A command that has shown no effect yet.
#[derive(Clone, Debug)]
struct Pending {
    command: Command,
    /// The model that the upstream will hold in the end, also while it drains another one.
    target_model: Arc<str>,
    since: Millis,
}

/// Reconciler that the holder of the placement lease runs.
#[derive(Clone, Debug)]
pub struct Placement {
    settings: Settings,
    pending: Vec<Pending>,
    /// Upstreams that have loaded a model recently, with the time at which that was seen.
    recently_loaded: Vec<(Arc<str>, Millis)>,
    risks: Vec<Risk>,
}

impl Placement {
    /// Creates a reconciler without pending commands.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            pending: Vec::new(),
            recently_loaded: Vec::new(),
            risks: Vec::new(),
        }
    }

    /// Returns the services at risk as of the last reconciliation.
    #[must_use]
    pub fn risks(&self) -> &[Risk] {
        &self.risks
    }

    /// Returns the pairs of an upstream and a model that it is about to unload.
    pub fn draining(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pending
            .iter()
            .filter(|p| p.command.kind != CommandKind::Load)
            .map(|p| (&*p.command.upstream, &*p.command.model))
    }

    /// Compares the requirements with the reports of upstreams, and returns the commands to send.
    ///
    /// The requirements have to be sorted by due time; `wall_ms` is in ms since the Unix epoch.
    pub fn reconcile(
        &mut self,
        now: Millis,
        wall_ms: u64,
        requirements: &[Requirement],
        observed: &[Observed],
    ) -> Vec<Command> {
        self.prune_pending(now, observed);
        let mut commands = self.finish_drains(now);
        self.risks.clear();
        for requirement in requirements {
            self.satisfy(now, requirement, requirements, observed, &mut commands);
            self.record_risk(wall_ms, requirement, observed);
        }
        commands
    }

    /// Removes commands that have taken effect, those without effect for too long, and those to
    /// upstreams without a report.
    fn prune_pending(&mut self, now: Millis, observed: &[Observed]) {
        let retry_ms = self.settings.retry_ms;
        let cooldown_ms = self.settings.cooldown_ms;
        let mut done = Vec::new();
        self.pending.retain(|p| {
            let report = observed.iter().find(|o| o.upstream == p.command.upstream);
            let holds = report.is_some_and(|o| o.models.contains(&p.command.model));
            let is_done = match p.command.kind {
                CommandKind::Load => holds,
                CommandKind::Drain => false,
                CommandKind::Unload => report.is_some() && !holds,
            };
            if is_done && p.command.kind == CommandKind::Load {
                done.push((Arc::clone(&p.command.upstream), now));
            }
            let is_abandoned = report.is_none() || now.since(p.since) >= retry_ms;
            !is_done && !is_abandoned
        });
        self.recently_loaded
            .retain(|c| now.since(c.1) < cooldown_ms);
        self.recently_loaded.extend(done);
    }

    /// Turns drains that have lasted long enough into unloads.
    fn finish_drains(&mut self, now: Millis) -> Vec<Command> {
        let drain_ms = self.settings.drain_ms;
        let mut commands = Vec::new();
        for p in &mut self.pending {
            if p.command.kind == CommandKind::Drain && now.since(p.since) >= drain_ms {
                p.command.kind = CommandKind::Unload;
                p.since = now;
                commands.push(p.command.clone());
            }
        }
        commands
    }

    /// Returns the number of pending loads.
    fn loads_under_way(&self) -> usize {
        self.pending
            .iter()
            .filter(|p| p.command.kind == CommandKind::Load)
            .count()
    }

    /// Returns the number of upstreams that hold a model and are not about to unload it.
    fn holding(&self, model: &str, pool: &str, observed: &[Observed]) -> u32 {
        observed
            .iter()
            .filter(|o| *o.pool == *pool && o.models.iter().any(|m| **m == *model))
            .filter(|o| !self.draining().any(|d| d == (&*o.upstream, model)))
            .count() as u32
    }

    /// Returns the number of upstreams that will hold a model.
    ///
    /// They report that they load it, or have a pending command for it, which may still be to drain
    /// another model.
    fn incoming(&self, model: &str, pool: &str, observed: &[Observed]) -> u32 {
        let is_commanded = |o: &Observed| {
            self.pending
                .iter()
                .any(|p| p.command.upstream == o.upstream && *p.target_model == *model)
        };
        observed
            .iter()
            .filter(|o| *o.pool == *pool && !o.models.iter().any(|m| **m == *model))
            .filter(|o| o.loading.as_deref() == Some(model) || is_commanded(o))
            .count() as u32
    }

    /// Adds the commands for the missing replicas of one requirement.
    fn satisfy(
        &mut self,
        now: Millis,
        requirement: &Requirement,
        requirements: &[Requirement],
        observed: &[Observed],
        commands: &mut Vec<Command>,
    ) {
        let replicas = self.holding(&requirement.model, &requirement.pool, observed)
            + self.incoming(&requirement.model, &requirement.pool, observed);
        let mut missing = requirement.replicas.saturating_sub(replicas);
        let max_models = self.settings.models_per_upstream;
        let has_room = |o: &&Observed| o.models.len() < max_models;
        let in_pool = || observed.iter().filter(|o| o.pool == requirement.pool);
        // Upstreams with room come first, so that no model is unloaded unnecessarily.
        let full = in_pool().filter(|o| !has_room(o));
        for o in in_pool().filter(has_room).chain(full) {
            if missing == 0 {
                return;
            }
            missing -=
                u32::from(self.use_upstream(now, requirement, requirements, observed, o, commands));
        }
    }

    /// Loads the required model on an upstream with room, or drains a model that it can spare.
    ///
    /// Returns whether a command was added.
    fn use_upstream(
        &mut self,
        now: Millis,
        requirement: &Requirement,
        requirements: &[Requirement],
        observed: &[Observed],
        o: &Observed,
        commands: &mut Vec<Command>,
    ) -> bool {
        let is_busy = self
            .pending
            .iter()
            .any(|p| p.command.upstream == o.upstream);
        if is_busy || o.loading.is_some() || o.models.contains(&requirement.model) {
            return false;
        }
        if o.models.len() < self.settings.models_per_upstream {
            if self.loads_under_way() >= self.settings.max_concurrent_loads {
                return false;
            }
            self.issue_command(
                now,
                o,
                &requirement.model,
                requirement,
                CommandKind::Load,
                commands,
            );
            return true;
        }
        let is_cooling_down = self.recently_loaded.iter().any(|c| c.0 == o.upstream);
        let spare = o
            .models
            .iter()
            .find(|m| self.can_spare(m, requirement, requirements, observed))
            .cloned();
        match spare {
            Some(model) if !is_cooling_down => {
                self.issue_command(now, o, &model, requirement, CommandKind::Drain, commands);
                true
            }
            _ => false,
        }
    }

    /// Returns whether a model has more replicas than have to be kept.
    ///
    /// If `requirement` has a due time, requirements that are due later, or not at all, keep only
    /// one replica.
    fn can_spare(
        &self,
        model: &str,
        requirement: &Requirement,
        requirements: &[Requirement],
        observed: &[Observed],
    ) -> bool {
        let replicas_to_keep = |r: &Requirement| {
            let yields = requirement
                .due_ms
                .is_some_and(|due| r.due_ms.is_none_or(|d| d > due));
            if yields {
                r.replicas.min(1)
            } else {
                r.replicas
            }
        };
        let kept = requirements
            .iter()
            .filter(|r| *r.model == *model && r.pool == requirement.pool)
            .map(replicas_to_keep)
            .max()
            .unwrap_or(0);
        self.holding(model, &requirement.pool, observed) > kept
    }

    /// Adds a command and remembers it as pending.
    fn issue_command(
        &mut self,
        now: Millis,
        o: &Observed,
        model: &Arc<str>,
        requirement: &Requirement,
        kind: CommandKind,
        commands: &mut Vec<Command>,
    ) {
        let command = Command {
            upstream: Arc::clone(&o.upstream),
            model: Arc::clone(model),
            kind,
        };
        commands.push(command.clone());
        self.pending.push(Pending {
            command,
            target_model: Arc::clone(&requirement.model),
            since: now,
        });
    }

    /// Records a risk if the missing replicas can't be loaded before the requirement is due.
    fn record_risk(&mut self, wall_ms: u64, requirement: &Requirement, observed: &[Observed]) {
        let Some(due_ms) = requirement.due_ms else {
            return;
        };
        let missing = requirement.replicas.saturating_sub(self.holding(
            &requirement.model,
            &requirement.pool,
            observed,
        ));
        if missing == 0 {
            return;
        }
        let rounds = u64::from(missing).div_ceil(self.settings.max_concurrent_loads.max(1) as u64);
        let ready_ms = wall_ms + rounds * self.settings.load_ms;
        if ready_ms > due_ms {
            self.risks.push(Risk {
                service: Arc::clone(&requirement.service),
                missing,
                late_ms: ready_ms - due_ms,
            });
        }
    }
}
