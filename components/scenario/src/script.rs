//! The scenario language.
//!
//! A script sets up a system from an inventory, lists timed steps, and states the expectations to
//! check at the end. `docs/SCENARIOS.md` describes each statement.

use std::{fmt, time::Duration};

use pest::{Parser, iterators::Pair};
use pest_derive::Parser;
use verdict::Verdict;

#[derive(Parser)]
#[grammar = "scenario.pest"]
struct Grammar;

/// A parsed scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Script {
    /// Name of the inventory.
    pub inventory: String,
    /// Number of entries.
    pub entries: usize,
    /// Number of executors that are started, and also of workers, in the order of the inventory.
    pub agents: usize,
    /// Seed of the random number generators.
    pub seed: u64,
    /// End of the run, from time zero.
    pub end: Duration,
    /// Timed steps, in the order of the script.
    pub steps: Vec<Step>,
    /// Expectations to check at the end.
    pub expects: Vec<Expect>,
}

/// An action at a point in time.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Time of the action, from time zero.
    pub at: Duration,
    /// Action.
    pub action: Action,
}

/// Options of a request, job or cancellation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SendOptions {
    /// Entry that it is sent to; the first entry by default.
    pub via: Option<String>,
    /// Actual run time.
    pub run: Option<Duration>,
    /// Run time that the caller declares, if it differs from the actual one.
    pub declared: Option<Duration>,
    /// Cores that each task of a job declares; one by default.
    pub cores: Option<u32>,
    /// Deadline that the caller sets.
    pub deadline: Option<Duration>,
    /// Number of repetitions, each with its own id.
    pub times: u64,
    /// Interval between repetitions.
    pub every: Duration,
    /// Whether the id is left for the entry to generate.
    pub without_id: bool,
}

/// Action of a step.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A caller sends a request of a kind under a new id.
    Submit {
        /// Name of the id in the script.
        name: String,
        /// Request kind.
        kind: String,
        /// How it is sent.
        options: SendOptions,
    },
    /// A caller sends a request or job again.
    Resubmit {
        /// Name of the id in the script.
        name: String,
        /// How it is sent.
        options: SendOptions,
    },
    /// A caller sends a job.
    Job {
        /// Name of the id in the script.
        name: String,
        /// Number of tasks.
        tasks: usize,
        /// How it is sent.
        options: SendOptions,
    },
    /// A caller cancels a request or job.
    Cancel {
        /// Name of the id in the script.
        name: String,
        /// How it is sent.
        options: SendOptions,
    },
    /// An operator publishes an inventory.
    Publish(Change),
    /// A node is asked to shut down.
    Stop(String),
    /// A node's host fails.
    Kill(String),
    /// A node's process restarts at the same address, without its earlier state.
    Restart(String),
    /// A node's process is paused.
    Pause(String),
    /// A paused process resumes.
    Resume(String),
    /// Cuts the network between two sides: nodes, availability zones, the log, or all other nodes.
    /// A zone cut from itself loses its internal connections.
    Cut(String, String),
    /// Removes a cut.
    Heal(String, String),
    /// The open connection from one node to another goes silent; a new one works.
    Silence(String, String),
    /// The open connection from one node to another delays what is sent on it, until the
    /// heartbeat timeout replaces it; the new one works.
    Hold(String, String, Duration),
    /// Sets the fault of the log.
    Log(LogFault),
    /// Sets the fault of an executor or worker.
    Endpoint(String, Fault),
}

/// What an operator publishes.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Inventory in force, with one endpoint set to draining.
    Drain(String),
    /// Inventory in force, with one endpoint set to active.
    Undrain(String),
    /// Initial inventory, published against an outdated base version.
    Stale,
    /// Inventory in force, unchanged.
    Unchanged,
}

/// Fault of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFault {
    /// Works normally.
    None,
    /// Reads and appends never complete.
    Down,
    /// Reads and appends take 1 s.
    Slow,
    /// Appends take effect, but are not acknowledged.
    LoseAnswers,
    /// Drops all records once, then works normally.
    DropRecords,
}

/// Fault of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Works normally.
    None,
    /// Fails every request at once.
    FailAll,
    /// Takes ten times as long.
    Slow,
    /// Starts requests, but never answers.
    Silent,
    /// Refuses connections.
    Down,
}

/// Comparison of a count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Compare {
    /// At most.
    AtMost,
    /// At least.
    AtLeast,
    /// Exactly.
    Equal,
}

/// Expectation that is checked at the end of a run.
#[derive(Debug, Clone, PartialEq)]
pub enum Expect {
    /// Number of starts of an id on endpoints.
    Runs(String, Compare, u64),
    /// Verdict of the last answer to an id, and the latest time of that answer.
    Answer(String, Verdict, Option<Duration>),
    /// Number of starts on an endpoint.
    Starts(String, Compare, u64),
    /// Latest time at which the last published configuration is in force everywhere.
    InForce(Duration),
    /// No start on an endpoint after a time.
    NoStart(String, Duration),
    /// Minimum share of the submissions of a request answered with a verdict, in percent.
    Share(u64, String, Verdict),
    /// Latest time at which a node has finished its shutdown.
    Stopped(String, Duration),
    /// No endpoint runs a request or a task of a job after a time.
    Idle(String, Duration),
}

/// Syntax error in a script, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScriptError(String);

impl fmt::Display for ScriptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ScriptError {}

impl Script {
    /// Parses a script; errors name line and column.
    pub fn parse(text: &str) -> Result<Script, ScriptError> {
        let mut file =
            Grammar::parse(Rule::file, text).map_err(|err| ScriptError(err.to_string()))?;
        let mut script = Script {
            inventory: "harborlift".to_owned(),
            entries: 2,
            agents: 4,
            seed: 1,
            end: Duration::from_secs(10),
            steps: Vec::new(),
            expects: Vec::new(),
        };
        let statements = file.next().map(Pair::into_inner).into_iter().flatten();
        for statement in statements {
            script.add_statement(statement);
        }
        Ok(script)
    }

    fn add_statement(&mut self, statement: Pair<'_, Rule>) {
        let rule = statement.as_rule();
        let mut parts = statement.into_inner();
        match rule {
            Rule::inventory => self.inventory = text(parts.next()),
            Rule::entries => self.entries = number(parts.next()) as usize,
            Rule::agents => self.agents = number(parts.next()) as usize,
            Rule::seed => self.seed = number(parts.next()),
            Rule::end => self.end = duration(parts.next()),
            Rule::step => {
                let at = duration(parts.next());
                self.steps.extend(parts.next().map(|pair| Step { at, action: action(pair) }));
            }
            Rule::expect => self.expects.extend(parts.next().map(expectation)),
            _ => {}
        }
    }
}

fn action(pair: Pair<'_, Rule>) -> Action {
    let rule = pair.as_rule();
    let mut parts = pair.into_inner();
    let first = parts.next();
    match rule {
        Rule::submit => {
            let (name, kind) = (text(first), text(parts.next()));
            Action::Submit { name, kind, options: send_options(parts) }
        }
        Rule::resubmit => Action::Resubmit { name: text(first), options: send_options(parts) },
        Rule::job => {
            let (name, tasks) = (text(first), number(parts.next()) as usize);
            Action::Job { name, tasks, options: send_options(parts) }
        }
        Rule::cancel => Action::Cancel { name: text(first), options: send_options(parts) },
        Rule::publish => Action::Publish(change(first)),
        Rule::stop => Action::Stop(text(first)),
        Rule::kill => Action::Kill(text(first)),
        Rule::restart => Action::Restart(text(first)),
        Rule::pause => Action::Pause(text(first)),
        Rule::resume => Action::Resume(text(first)),
        Rule::cut => Action::Cut(text(first), text(parts.next())),
        Rule::heal => Action::Heal(text(first), text(parts.next())),
        Rule::silence => Action::Silence(text(first), text(parts.next())),
        Rule::hold => {
            let (from, to) = (text(first), text(parts.next()));
            Action::Hold(from, to, duration(parts.next()))
        }
        Rule::log => Action::Log(match text(first).as_str() {
            "up" => LogFault::None,
            "down" => LogFault::Down,
            "slow" => LogFault::Slow,
            "forgets" => LogFault::DropRecords,
            _ => LogFault::LoseAnswers,
        }),
        _ => Action::Endpoint(
            text(first),
            match text(parts.next()).as_str() {
                "fails" => Fault::FailAll,
                "is slow" => Fault::Slow,
                "is silent" => Fault::Silent,
                "is down" => Fault::Down,
                _ => Fault::None,
            },
        ),
    }
}

fn change(pair: Option<Pair<'_, Rule>>) -> Change {
    let Some(pair) = pair else { return Change::Unchanged };
    let rule = pair.as_rule();
    let name = text(pair.into_inner().next());
    match rule {
        Rule::drain => Change::Drain(name),
        Rule::undrain => Change::Undrain(name),
        Rule::stale => Change::Stale,
        _ => Change::Unchanged,
    }
}

fn send_options<'a>(pairs: impl Iterator<Item = Pair<'a, Rule>>) -> SendOptions {
    let mut options = SendOptions { times: 1, ..SendOptions::default() };
    for pair in pairs {
        let rule = pair.as_rule();
        let mut parts = pair.into_inner();
        match rule {
            Rule::via => options.via = Some(text(parts.next())),
            Rule::run => options.run = Some(duration(parts.next())),
            Rule::declared => options.declared = Some(duration(parts.next())),
            Rule::cores => options.cores = Some(number(parts.next()) as u32),
            Rule::deadline => options.deadline = Some(duration(parts.next())),
            Rule::repeat => {
                options.times = number(parts.next());
                options.every = duration(parts.next());
            }
            _ => options.without_id = true,
        }
    }
    options
}

fn expectation(pair: Pair<'_, Rule>) -> Expect {
    let rule = pair.as_rule();
    let mut parts = pair.into_inner();
    let first = parts.next();
    match rule {
        Rule::runs => Expect::Runs(text(first), compare(parts.next()), number(parts.next())),
        Rule::answer => {
            let (name, verdict) = (text(first), verdict(parts.next()));
            Expect::Answer(name, verdict, parts.next().map(|pair| duration(Some(pair))))
        }
        Rule::started => Expect::Starts(text(first), compare(parts.next()), number(parts.next())),
        Rule::in_force => Expect::InForce(duration(first)),
        Rule::no_start => Expect::NoStart(text(first), duration(parts.next())),
        Rule::share => Expect::Share(number(first), text(parts.next()), verdict(parts.next())),
        Rule::idle => Expect::Idle(text(first), duration(parts.next())),
        _ => Expect::Stopped(text(first), duration(parts.next())),
    }
}

fn compare(pair: Option<Pair<'_, Rule>>) -> Compare {
    match text(pair).as_str() {
        "<=" => Compare::AtMost,
        ">=" => Compare::AtLeast,
        _ => Compare::Equal,
    }
}

fn verdict(pair: Option<Pair<'_, Rule>>) -> Verdict {
    match text(pair).as_str() {
        "done" => Verdict::Done,
        "not_run" => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

fn text(pair: Option<Pair<'_, Rule>>) -> String {
    pair.map(|pair| pair.as_str().trim().to_owned()).unwrap_or_default()
}

fn number(pair: Option<Pair<'_, Rule>>) -> u64 {
    text(pair).parse().unwrap_or(u64::MAX)
}

fn duration(pair: Option<Pair<'_, Rule>>) -> Duration {
    let text = text(pair);
    let count = |digits: &str| digits.parse().unwrap_or(u64::MAX);
    match (text.strip_suffix("us"), text.strip_suffix("ms")) {
        (Some(micros), _) => Duration::from_micros(count(micros)),
        (None, Some(millis)) => Duration::from_millis(count(millis)),
        (None, None) => Duration::from_secs(count(text.trim_end_matches('s'))),
    }
}
