//! One commit's way through all parts: prepare, log, switch. It is told what happened and says what to do next.

/// What has happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitEvent {
    /// A part holds the new state ready.
    Prepared(usize),
    Declined(usize, String),
    /// A part panicked, has gone, or did not answer in time.
    Lost(usize),
    /// The commit lasts.
    Logged,
    NotLogged(String),
    /// A part has taken up the new state.
    Activated(usize),
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitAction {
    Prepare(usize),
    Log,
    Activate(usize),
    /// The part forgets what it prepared.
    Discard(usize),
    /// The commit is in force. Parts named here did not say that they switched: they hold or will take up the
    /// new state when they come back, and never the old one.
    Done(Vec<usize>),
    /// The old state stands whole.
    Failed(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Asked,
    Ready,
    Switching,
    Over,
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Preparing,
    Logging,
    Switching,
    Over,
}

/// The state of one round.
#[derive(Debug)]
pub struct TwoPhaseCommit {
    names: Vec<String>,
    parts: Vec<Part>,
    stage: Stage,
}

impl TwoPhaseCommit {
    pub fn start(names: Vec<String>) -> (TwoPhaseCommit, Vec<CommitAction>) {
        let parts = vec![Part::Asked; names.len()];
        let mut round = TwoPhaseCommit { names, parts, stage: Stage::Preparing };
        let mut asks: Vec<CommitAction> = (0..round.parts.len()).map(CommitAction::Prepare).collect();
        if round.parts.is_empty() {
            asks.extend(round.log());
        }
        (round, asks)
    }

    /// Whether no more is to be done.
    pub fn is_finished(&self) -> bool {
        self.stage == Stage::Over
    }

    pub fn handle_event(&mut self, told: CommitEvent) -> Vec<CommitAction> {
        match (self.stage, told) {
            (Stage::Preparing, CommitEvent::Prepared(part)) if self.parts[part] == Part::Asked => {
                self.parts[part] = Part::Ready;
                if self.parts.iter().all(|part| *part == Part::Ready) { self.log() } else { Vec::new() }
            }
            (Stage::Preparing, CommitEvent::Declined(part, why)) => {
                self.parts[part] = Part::Over;
                let what = format!("{} declined: {why}", self.names[part]);
                self.fail(what)
            }
            (Stage::Preparing, CommitEvent::Lost(part)) => {
                self.parts[part] = Part::Lost;
                let what = format!("{} gave no answer", self.names[part]);
                self.fail(what)
            }
            // A part that is lost once it is ready is met again at the switch: logging may have gone through.
            (Stage::Logging, CommitEvent::Lost(part)) => {
                self.parts[part] = Part::Lost;
                Vec::new()
            }
            (Stage::Logging, CommitEvent::NotLogged(why)) => {
                self.fail(format!("the commit could not be kept: {why}"))
            }
            (Stage::Logging, CommitEvent::Logged) => {
                self.stage = Stage::Switching;
                let mut asks = Vec::new();
                for (number, part) in self.parts.iter_mut().enumerate() {
                    if *part == Part::Ready {
                        *part = Part::Switching;
                        asks.push(CommitAction::Activate(number));
                    }
                }
                asks.extend(self.end());
                asks
            }
            (Stage::Switching, CommitEvent::Activated(part)) => {
                self.parts[part] = Part::Over;
                self.end().into_iter().collect()
            }
            (Stage::Switching, CommitEvent::Lost(part) | CommitEvent::Declined(part, _)) => {
                self.parts[part] = Part::Lost;
                self.end().into_iter().collect()
            }
            // What comes late changes nothing any more.
            _ => Vec::new(),
        }
    }

    fn log(&mut self) -> Vec<CommitAction> {
        self.stage = Stage::Logging;
        vec![CommitAction::Log]
    }

    fn end(&mut self) -> Option<CommitAction> {
        if self.parts.iter().any(|part| matches!(part, Part::Switching | Part::Ready)) {
            return None;
        }
        self.stage = Stage::Over;
        let lost = self.parts.iter().enumerate().filter(|(_, part)| **part == Part::Lost);
        Some(CommitAction::Done(lost.map(|(number, _)| number).collect()))
    }

    fn fail(&mut self, what: String) -> Vec<CommitAction> {
        self.stage = Stage::Over;
        let held =
            self.parts.iter().enumerate().filter(|(_, part)| matches!(part, Part::Asked | Part::Ready));
        let mut asks: Vec<CommitAction> = held.map(|(number, _)| CommitAction::Discard(number)).collect();
        asks.push(CommitAction::Failed(what));
        asks
    }
}
