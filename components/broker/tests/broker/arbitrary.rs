//! No message or job, whatever its numbers, makes the entry panic.

use broker::{Event, Step, Submission};
use mesh::{
    Crash, CrashState, CrashedTask, Crashes, End, EndpointInfo, Frame, Health, JobId, Notice,
    Refusal, Report, RunKey, Uptime,
};
use proptest::{collection::vec, option, prelude::*, sample::select};

use crate::fixture::{Fixture, address, step, submission};

/// Numbers that are likely to overflow or to match state of the entry.
fn number() -> impl Strategy<Value = u64> {
    let edges = vec![0, 1, 2, 7, 8, 9, 10, 101, 102, 10_000, u64::MAX - 1, u64::MAX];
    prop_oneof![4 => select(edges), 1 => any::<u64>()]
}

fn small_number() -> impl Strategy<Value = u32> {
    let edges = vec![0, 1, 2, 300, 1_000, u32::MAX - 1, u32::MAX];
    prop_oneof![4 => select(edges), 1 => any::<u32>()]
}

fn notice() -> impl Strategy<Value = Notice> {
    let key = (0..3_u64, 0..2_u16, 0..3_u16, small_number())
        .prop_map(|(job, step, index, run)| RunKey { job: JobId(job), step, index, run })
        .boxed();
    let ends = vec![End::Done, End::Failed, End::Stopped, End::Stalled, End::Lost];
    let refusals = vec![Refusal::Room, Refusal::Closed];
    prop_oneof![
        3 => (key.clone(), select(ends), small_number())
            .prop_map(|(key, end, took)| Notice::Ended { key, end, took }),
        1 => (key, select(refusals)).prop_map(|(key, refusal)| Notice::Refused { key, refusal }),
    ]
}

fn report() -> impl Strategy<Value = Report> {
    let info = (small_number(), small_number(), small_number(), any::<bool>()).prop_map(
        |(cpu, memory, gpus, on_rack)| {
            let labels = if on_rack { vec!["r-1".to_owned()] } else { Vec::new() };
            EndpointInfo { service: "desk".to_owned(), labels, cpu, memory, gpus }
        },
    );
    let health = select(vec![Health::Open, Health::Open, Health::Trial, Health::Closed]);
    let free = (small_number(), small_number(), small_number());
    (number(), option::weighted(0.9, info), health, free, small_number(), small_number()).prop_map(
        |(now, endpoint, health, (cpu, memory, gpus), slowness, waiting)| {
            let now = Uptime(now);
            Report { now, endpoint, health, cpu, memory, gpus, slowness, waiting }
        },
    )
}

fn frame() -> impl Strategy<Value = Event> {
    let numbers = (number(), number(), number(), number());
    (1..=3_u8, numbers, vec(notice(), 0..4), report()).prop_map(
        |(from, (sender, receiver, first, acknowledged), items, state)| {
            let frame = Frame { sender, receiver, first, items, acknowledged, state };
            Event::Frame { from: address(from), frame }
        },
    )
}

fn crashes() -> impl Strategy<Value = Event> {
    let task = (0..3_u64, 0..2_u16, 0..3_u16, small_number())
        .prop_map(|(job, step, index, age)| CrashedTask { job: JobId(job), step, index, age });
    let states = vec![CrashState::Suspected, CrashState::Confirmed, CrashState::Dismissed];
    let crash = (number(), select(states), vec(task, 0..4))
        .prop_map(|(number, state, tasks)| Crash { number, state, tasks });
    (1..=4_u8, (number(), number(), number()), vec(crash, 0..3)).prop_map(
        |(from, (incarnation, session, revision), crashes)| {
            let crashes = Crashes { incarnation, session, revision, crashes };
            Event::Crashes { from: address(from), crashes }
        },
    )
}

/// A step that usually fits an endpoint.
fn submitted_step() -> impl Strategy<Value = Step> {
    let cpu = prop_oneof![3 => Just(300), 1 => small_number()];
    let declared = prop_oneof![3 => Just(200), 1 => small_number()];
    (1..4_u16, cpu, declared, any::<bool>()).prop_map(|(count, cpu, declared, on_rack)| {
        let rack = on_rack.then(|| "r-1".to_owned());
        Step { rack, declared, ..step(count, cpu) }
    })
}

/// What happens to the entry.
#[derive(Debug)]
enum Action {
    Event(Event),
    /// A report of an agent whose channel is in sync.
    Report(u8, Report),
    /// Ends a run as the agent knows it, with this run time.
    End(prop::sample::Index, End, u32),
    Submit(u64, Step, u64),
    Advance(u64),
}

fn action() -> impl Strategy<Value = Action> {
    let ends = vec![End::Done, End::Failed, End::Lost];
    prop_oneof![
        2 => frame().prop_map(Action::Event),
        1 => crashes().prop_map(Action::Event),
        3 => (1..=3_u8, report()).prop_map(|(agent, it)| Action::Report(agent, it)),
        3 => (any::<prop::sample::Index>(), select(ends), small_number())
            .prop_map(|(at, end, took)| Action::End(at, end, took)),
        3 => (0..3_u64, submitted_step(), number())
            .prop_map(|(job, step, timeout)| Action::Submit(job, step, timeout)),
        2 => (1_u64..400).prop_map(Action::Advance),
    ]
}

fn perform(fixture: &mut Fixture, action: Action) {
    match action {
        Action::Event(event) => fixture.event(event),
        Action::Report(agent, report) => {
            let now = fixture.now;
            let agent_address = address(agent);
            let channel = &mut fixture.agents.get_mut(&agent_address).expect("an agent").channel;
            let frame = channel.frame(now, report);
            fixture.event(Event::Frame { from: agent_address, frame });
        }
        Action::End(at, end, took) => {
            let runs = fixture.runs();
            if !runs.is_empty() {
                let (agent, key) = runs[at.index(runs.len())];
                fixture.notify(agent, key, Notice::Ended { key, end, took });
            }
        }
        Action::Submit(job, step, timeout) => {
            let submission = submission(job, vec![step.clone(), step]);
            fixture.submit(Submission { timeout, ..submission });
        }
        Action::Advance(ms) => fixture.advance(ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_message_or_job_makes_the_entry_panic(
        remote_percent in option::of(100..1_000_u32),
        actions in vec(action(), 1..60),
    ) {
        let mut fixture = Fixture::new(3);
        fixture.broker.set_remote_percent(remote_percent);

        for action in actions {
            perform(&mut fixture, action);
        }
    }
}
