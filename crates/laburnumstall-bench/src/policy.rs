//! Ways to choose an engine: the core's own, and the baselines that it is measured against.

use fastrand::Rng;

/// One engine as a policy sees it.
#[derive(Debug, Clone, Copy)]
pub struct EngineView {
    /// Number of the engine.
    pub index: usize,
    /// Sequences in it by its last report, with what this entry sent since.
    pub reported: usize,
    /// Sequences in it now.
    pub actual: usize,
}

/// Chooses the engine of a new attempt.
pub trait Policy: Default {
    /// Name in tables.
    const NAME: &'static str;
    /// Whether the choice of the core's router stands.
    const USES_CORE: bool = false;
    /// Whether every computed prefix is cached on every engine.
    const CACHES_ALL: bool = false;

    /// Returns the number of the engine; `usable` holds those that are not leaving.
    fn choose(&mut self, entry: usize, usable: &[EngineView], rng: &mut Rng) -> Option<usize>;
}

/// The choice of the core's router.
#[derive(Debug, Default)]
pub struct CoreRouter;

impl Policy for CoreRouter {
    const NAME: &'static str = "laburnumstall";
    const USES_CORE: bool = true;

    fn choose(&mut self, _entry: usize, _usable: &[EngineView], _rng: &mut Rng) -> Option<usize> {
        None
    }
}

/// Each entry takes the engines in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: Vec<usize>,
}

impl Policy for RoundRobin {
    const NAME: &'static str = "round-robin";

    fn choose(&mut self, entry: usize, usable: &[EngineView], rng: &mut Rng) -> Option<usize> {
        while self.next.len() <= entry {
            self.next.push(rng.usize(..usable.len().max(1)));
        }
        self.next[entry] += 1;
        let turn = self.next[entry].checked_rem(usable.len())?;
        Some(usable[turn].index)
    }
}

/// The engine with the fewest sequences by its last report; ties are broken by chance.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    const NAME: &'static str = "least-loaded";

    fn choose(&mut self, _entry: usize, usable: &[EngineView], rng: &mut Rng) -> Option<usize> {
        let least = usable.iter().map(|engine| engine.reported).min()?;
        let is_least = |engine: &&EngineView| engine.reported == least;
        let ties: Vec<&EngineView> = usable.iter().filter(is_least).collect();
        Some(ties[rng.usize(..ties.len())].index)
    }
}

/// The less loaded one of two engines taken by chance (Mitzenmacher, 2001).
#[derive(Debug, Default)]
pub struct PowerOfTwo;

impl Policy for PowerOfTwo {
    const NAME: &'static str = "power-of-two";

    fn choose(&mut self, _entry: usize, usable: &[EngineView], rng: &mut Rng) -> Option<usize> {
        if usable.is_empty() {
            return None;
        }
        let one = usable[rng.usize(..usable.len())];
        let other = usable[rng.usize(..usable.len())];
        let best = if other.reported < one.reported {
            other
        } else {
            one
        };
        Some(best.index)
    }
}

/// A bound: present loads are known, and every computed prefix is cached everywhere.
#[derive(Debug, Default)]
pub struct Bound;

impl Policy for Bound {
    const NAME: &'static str = "bound";
    const CACHES_ALL: bool = true;

    fn choose(&mut self, _entry: usize, usable: &[EngineView], _rng: &mut Rng) -> Option<usize> {
        let least = usable.iter().min_by_key(|engine| engine.actual);
        least.map(|engine| engine.index)
    }
}
