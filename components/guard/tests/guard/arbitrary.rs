//! No message, whatever its numbers, makes the agent panic.

use guard::{
    Answer, EndedRun, Event, Heartbeat, HeartbeatState, Instance, Rejection, RunOutcome,
    RunningRun, Snapshot,
};
use mesh::{Command, EntryState, Frame, JobId, RunKey, StartOrder, Uptime};
use proptest::{collection::vec, option, prelude::*, sample::select};

use crate::fixture::{Fixture, entry_address, heartbeat};

/// Numbers that are likely to overflow or to match state of the agent.
fn number() -> impl Strategy<Value = u64> {
    let edges = vec![0, 1, 2, 7, 8, 9, 10_000, 100_000, u64::MAX / 2, u64::MAX - 1, u64::MAX];
    prop_oneof![4 => select(edges), 1 => any::<u64>()]
}

fn small_number() -> impl Strategy<Value = u32> {
    let edges = vec![0, 1, 2, 300, 1_000, u32::MAX - 1, u32::MAX];
    prop_oneof![4 => select(edges), 1 => any::<u32>()]
}

fn key() -> impl Strategy<Value = RunKey> {
    (0..3_u64, 0..2_u16, small_number()).prop_map(|(job, index, run)| RunKey {
        job: JobId(job),
        step: 0,
        index,
        run,
    })
}

fn command() -> impl Strategy<Value = Command> {
    let order = (
        vec(key(), 0..4),
        small_number(),
        small_number(),
        small_number(),
        small_number(),
        (small_number(), number()),
    );
    let order = order.prop_map(|(runs, cpu, memory, gpus, expected, (max_wait, decided))| {
        let (spec, decided) = ("work".to_owned(), Uptime(decided));
        Command::Start(StartOrder { runs, spec, cpu, memory, gpus, expected, max_wait, decided })
    });
    prop_oneof![3 => order, 1 => vec(key(), 0..4).prop_map(Command::Stop)]
}

fn frame() -> impl Strategy<Value = Event> {
    let numbers = (number(), number(), number(), number());
    let state = (any::<bool>(), small_number(), number());
    (0..3_u8, numbers, vec(command(), 0..4), state).prop_map(
        |(from, (sender, receiver, first, acknowledged), items, (probe, waiting, heard))| {
            let mut address = entry_address();
            address.set_port(7_000 + u16::from(from));
            let state = EntryState { probe, waiting, heard: Uptime(heard) };
            let frame = Frame { sender, receiver, first, items, acknowledged, state };
            Event::Frame { from: address, frame }
        },
    )
}

fn beat() -> impl Strategy<Value = Event> {
    let state = select(vec![HeartbeatState::Ready, HeartbeatState::Draining]);
    let numbers = (option::of(number()), option::of(number()));
    let resources = (small_number(), small_number(), small_number());
    (select(vec!["i-1", "i-2"]), numbers, state, resources).prop_map(
        |(id, (born, sequence), state, (cpu, memory, gpus))| {
            let mut beat = heartbeat(id, state);
            (beat.info.cpu, beat.info.memory, beat.info.gpus) = (cpu, memory, gpus);
            let instance = Instance { id: id.into(), born };
            Event::Heartbeat(Heartbeat { instance, sequence, ..beat })
        },
    )
}

fn answer() -> impl Strategy<Value = Answer> {
    let outcomes =
        vec![RunOutcome::Done, RunOutcome::Failed, RunOutcome::Stopped, RunOutcome::Lapsed];
    let running = (key(), small_number()).prop_map(|(key, percent)| RunningRun { key, percent });
    let ended = (number(), key(), select(outcomes)).prop_map(|(number, key, outcome)| EndedRun {
        number,
        key,
        outcome,
    });
    let snapshot = (option::of(number()), number(), vec(running, 0..3), vec(ended, 0..3)).prop_map(
        |(born, clock, running, ended)| {
            Answer::Seen(Snapshot { born, clock, running, ended, ..Snapshot::default() })
        },
    );
    let rejections = vec![
        Rejection::Fence,
        Rejection::Old,
        Rejection::Late,
        Rejection::Room,
        Rejection::Unhealthy,
        Rejection::Instance,
        Rejection::Invalid,
    ];
    prop_oneof![
        4 => number().prop_map(|clock| Answer::Accepted { clock }),
        4 => snapshot,
        2 => select(rejections).prop_map(Answer::Rejected),
        1 => Just(Answer::Unsent),
        1 => Just(Answer::Unknown),
    ]
}

/// What happens to the agent.
#[derive(Debug)]
enum Action {
    Event(Event),
    /// Answers one of the calls in flight.
    Answer(prop::sample::Index, Answer),
    /// An order of an entry whose channel is in sync.
    Order(StartOrder),
    Advance(u64),
}

fn action() -> impl Strategy<Value = Action> {
    let order = command().prop_filter_map("a start", |it| match it {
        Command::Start(order) => Some(Action::Order(order)),
        Command::Stop(_) => None,
    });
    prop_oneof![
        2 => frame().prop_map(Action::Event),
        2 => beat().prop_map(Action::Event),
        6 => (any::<prop::sample::Index>(), answer()).prop_map(|(at, it)| Action::Answer(at, it)),
        3 => order,
        1 => (1_u64..1_500).prop_map(Action::Advance),
        3 => (1_u64..60).prop_map(Action::Advance),
    ]
}

fn perform(fixture: &mut Fixture, action: Action) {
    match action {
        Action::Event(event) => fixture.event(event),
        Action::Answer(at, answer) if !fixture.calls.is_empty() => {
            let (id, _) = fixture.calls.remove(at.index(fixture.calls.len()));
            fixture.event(Event::Answered { id, answer });
        }
        Action::Answer(..) => {}
        Action::Order(order) => {
            let decided = fixture.now;
            fixture.entry.push(Command::Start(StartOrder { decided, ..order }));
            fixture.probe();
        }
        Action::Advance(ms) => fixture.advance(ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_message_makes_the_agent_panic(actions in vec(action(), 1..60)) {
        let mut fixture = Fixture::open();

        for action in actions {
            perform(&mut fixture, action);
        }
    }
}
