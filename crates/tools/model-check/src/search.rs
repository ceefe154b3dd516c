//! The search over all orders of events, for any world.

use stateright::{Checker, HasDiscoveries, Model, Property};
use std::fmt::Debug;
use std::hash::Hash;
use std::time::{Duration, Instant};

const NO_VIOLATION: &str = "no rule is broken";

/// A world that events change. Its hash and equality cover everything that later events depend on.
pub trait World: Clone + Debug + PartialEq + Hash + Send + Sync + 'static {
    /// An event.
    type Step: Clone + Debug + PartialEq + Send + Sync + 'static;
    /// A broken rule.
    type Violation: Debug;
    /// Bounds and settings, the same in all states.
    type Bounds: Clone + Send + Sync + 'static;

    /// The first state.
    fn begin(bounds: &Self::Bounds) -> Self;
    /// The events that can happen now.
    fn steps(&self, bounds: &Self::Bounds) -> Vec<Self::Step>;
    /// Lets an event happen.
    fn apply(&mut self, bounds: &Self::Bounds, step: &Self::Step);
    /// The first rule that has been broken; none if all hold.
    fn violation(&self) -> Option<&Self::Violation>;
    /// States that a search must reach. A search that does not reach one shows nothing about it.
    fn landmarks() -> Vec<Landmark<Self>>;
}

/// A kind of state that a search must reach.
pub struct Landmark<W: World> {
    /// What is reached.
    pub name: &'static str,
    /// Whether a state is one.
    pub condition: fn(&Space<W>, &W) -> bool,
}

/// What a search has found.
#[derive(Debug, Clone, PartialEq)]
pub struct SearchResult<S> {
    /// Number of different states.
    pub states: usize,
    /// Largest number of events in a history.
    pub max_depth: usize,
    /// Duration of the search.
    pub duration: Duration,
    /// A short history that breaks a rule; none if no history does. Several threads search side by side, so it may be a
    /// few events longer than the shortest.
    pub bad_history: Option<Vec<S>>,
    /// Landmarks that no history reaches.
    pub missed_landmarks: Vec<&'static str>,
}

/// All histories of a world within its bounds.
pub struct Space<W: World> {
    bounds: W::Bounds,
}

impl<W: World> Model for Space<W> {
    type State = W;
    type Action = W::Step;

    fn init_states(&self) -> Vec<W> {
        vec![W::begin(&self.bounds)]
    }

    fn actions(&self, state: &W, actions: &mut Vec<W::Step>) {
        // Nothing is learned from what follows a broken rule.
        if state.violation().is_none() {
            actions.extend(state.steps(&self.bounds));
        }
    }

    fn next_state(&self, last: &W, step: W::Step) -> Option<W> {
        let mut state = last.clone();
        state.apply(&self.bounds, &step);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let holds = Property::always(NO_VIOLATION, |_: &Self, state: &W| state.violation().is_none());
        let landmarks = W::landmarks();
        let reached =
            landmarks.into_iter().map(|Landmark { name, condition }| Property::sometimes(name, condition));
        std::iter::once(holds).chain(reached).collect()
    }
}

/// Searches all histories within the bounds, on this number of threads, until a rule is broken or none is left.
pub fn search<W: World>(bounds: W::Bounds, threads: usize) -> SearchResult<W::Step> {
    let started_at = Instant::now();
    let checker = Space::<W> { bounds }
        .checker()
        .threads(threads)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let mut discoveries = checker.discoveries();
    let bad_history = discoveries.remove(NO_VIOLATION).map(|path| path.into_actions());
    let missed = W::landmarks().into_iter().map(|landmark| landmark.name);
    SearchResult {
        states: checker.unique_state_count(),
        max_depth: checker.max_depth(),
        duration: started_at.elapsed(),
        bad_history,
        missed_landmarks: missed.filter(|name| !discoveries.contains_key(name)).collect(),
    }
}
