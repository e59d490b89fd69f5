//! Tests with agents that stop responding, come back or restart.

use broker::{AGENT_RETENTION_MS, AGENT_SILENCE_MS, Event, PROBE_MS, RUN_EXPIRY_MS, Reply};
use mesh::{Channel, Command, EntryState, Health, Notice, RunKey};

use crate::fixture::{CAPACITY, Fixture, address, step, submission};

/// Sets whether an agent responds.
fn set_responds(fixture: &mut Fixture, last: u8, responds: bool) {
    fixture.agents.get_mut(&address(last)).expect("an agent").responds = responds;
}

#[test]
fn probes_an_agent_that_responds_again_as_often_as_before() {
    let mut fixture = Fixture::new(1);
    set_responds(&mut fixture, 1, false);
    fixture.advance(3_000);
    set_responds(&mut fixture, 1, true);
    fixture.advance(510);
    let before = fixture.agents[&address(1)].probes;

    fixture.advance(1_000);

    let probes = fixture.agents[&address(1)].probes - before;
    assert!(probes >= 7, "{probes} probes in a second");
}

#[test]
fn probes_an_agent_at_once_when_it_is_announced() {
    let mut fixture = Fixture::new(1);
    set_responds(&mut fixture, 1, false);
    fixture.advance(3_000);
    set_responds(&mut fixture, 1, true);
    let before = fixture.agents[&address(1)].probes;

    fixture.event(Event::Announced { address: address(1), zone: "north".to_owned() });

    assert_eq!(fixture.agents[&address(1)].probes, before + 1);
}

#[test]
fn gives_a_silent_agent_no_work() {
    let mut fixture = Fixture::new(2);
    set_responds(&mut fixture, 1, false);
    fixture.advance(AGENT_SILENCE_MS);

    fixture.submit(submission(1, vec![step(4, 250)]));

    assert!(fixture.runs().iter().all(|(at, _)| *at == address(2)));
}

#[test]
fn gives_an_agent_that_does_not_acknowledge_an_order_no_more_work() {
    let mut fixture = Fixture::new(2);
    set_responds(&mut fixture, 1, false);
    fixture.submit(submission(1, vec![step(2, 500)]));
    fixture.advance(110);

    fixture.submit(submission(2, vec![step(1, 500)]));

    assert_eq!(fixture.agents[&address(2)].runs.len(), 2);
}

// Guards against a task that waits for a run that is gone, as its agent restarted and heard an
// earlier incarnation of the entry first.
#[test]
fn the_runs_of_an_agent_that_restarted_are_lost_though_its_first_report_is_for_an_earlier_entry() {
    let mut fixture = Fixture::new(2);
    fixture.submit(submission(1, vec![step(1, 500)]));
    let (now, (at, key)) = (fixture.now, fixture.runs()[0]);
    let agent = fixture.agents.get_mut(&at).expect("an agent");
    agent.channel = Channel::new(200);
    agent.runs.clear();
    let state = EntryState { probe: true, waiting: 0, heard: now };
    let mut earlier = Channel::<Command, Notice>::new(99);
    agent.channel.accept(now, earlier.frame(now, state));
    let frame = agent.frame(now);

    fixture.event(Event::Frame { from: at, frame });
    fixture.advance(1_000);

    let rerun = RunKey { run: key.run + 1, ..key };
    assert!(fixture.runs().iter().any(|(_, it)| *it == rerun), "{:?}", fixture.runs());
}

#[test]
fn reruns_lost_tasks_only_once_their_runs_have_ended() {
    let mut fixture = Fixture::new(2);
    fixture.submit(submission(1, vec![step(4, 500)]));
    set_responds(&mut fixture, 1, false);
    let survivors = fixture.agents[&address(2)].runs.clone();
    fixture.end(address(2), survivors[0].0, mesh::End::Done);
    fixture.end(address(2), survivors[1].0, mesh::End::Done);

    fixture.advance(RUN_EXPIRY_MS - PROBE_MS - 40);
    assert_eq!(fixture.agents[&address(2)].runs.len(), 0);
    fixture.advance(PROBE_MS + 80);

    assert_eq!(fixture.agents[&address(2)].runs.len(), 2);
}

#[test]
fn stops_lost_runs_once_the_agent_responds_again() {
    let mut fixture = Fixture::new(1);
    set_responds(&mut fixture, 1, false);
    fixture.submit(submission(1, vec![step(1, 100)]));

    fixture.advance(AGENT_SILENCE_MS + 20);
    set_responds(&mut fixture, 1, true);
    fixture.advance(550);

    assert_eq!(fixture.agents[&address(1)].stopped.len(), 1);
    assert_eq!(fixture.runs(), vec![]);
}

/// Guards against work that is done a second time because its agent was silent when it ended.
#[test]
fn a_task_that_ended_while_its_agent_was_silent_does_not_run_again() {
    let mut fixture = Fixture::new(2);
    let request = fixture.submit(submission(1, vec![step(1, 100)]));
    let (at, key) = fixture.runs()[0];
    let agent = fixture.agents.get_mut(&at).expect("an agent");
    agent.responds = false;
    fixture.advance(AGENT_SILENCE_MS + 20);

    fixture.end(at, key, mesh::End::Done);
    fixture.advance(RUN_EXPIRY_MS);

    assert_eq!(fixture.answer(request), Some(Reply::Completed));
    assert_eq!(fixture.runs(), vec![]);
}

/// Guards against a wait of more than a second for a run that is known to be over.
#[test]
fn reruns_a_lost_task_as_soon_as_its_run_is_reported_as_stopped() {
    let mut fixture = Fixture::new(2);
    fixture.submit(submission(1, vec![step(1, 100)]));
    let (at, key) = fixture.runs()[0];
    let agent = fixture.agents.get_mut(&at).expect("an agent");
    agent.responds = false;
    fixture.advance(AGENT_SILENCE_MS + 20);

    fixture.agents.get_mut(&at).expect("an agent").responds = true;
    fixture.end(at, key, mesh::End::Stopped);
    fixture.advance(50);

    let rerun = RunKey { run: key.run + 1, ..key };
    assert_eq!(fixture.runs().iter().map(|it| it.1).collect::<Vec<_>>(), vec![rerun]);
}

/// Guards against two runs at once after a restart of the entry, when an agent reports the end of a
/// run of the earlier entry that has the same number as a present run elsewhere.
#[test]
fn the_end_of_a_run_at_another_agent_does_not_end_a_lost_run() {
    let mut fixture = Fixture::new(2);
    fixture.submit(submission(1, vec![step(1, 100)]));
    let (at, key) = fixture.runs()[0];
    let other = if at == address(1) { address(2) } else { address(1) };
    fixture.agents.get_mut(&at).expect("an agent").responds = false;
    fixture.advance(AGENT_SILENCE_MS + 20);

    fixture.end(other, key, mesh::End::Stopped);
    fixture.advance(50);

    assert_eq!(fixture.runs(), vec![(at, key)]);
}

#[test]
fn loses_the_runs_of_an_agent_that_restarted() {
    let mut fixture = Fixture::new(1);
    fixture.submit(submission(1, vec![step(1, 100)]));
    let agent = fixture.agents.get_mut(&address(1)).expect("an agent");
    agent.channel = Channel::new(500);
    agent.runs.clear();

    fixture.advance(700);

    assert_eq!(fixture.runs().len(), 1);
    assert_eq!(fixture.runs()[0].1.run, 2);
}

/// The run was taken for lost, and its task placed elsewhere while the run went on.
#[test]
fn keeps_the_runs_of_a_restarted_agent_when_a_late_frame_of_its_earlier_process_arrives() {
    let mut fixture = Fixture::new(2);
    let now = fixture.now;
    let mut late = Vec::new();
    for agent in fixture.agents.values_mut() {
        late.push(agent.frame(now));
        agent.channel = Channel::new(500);
    }
    fixture.advance(200);
    fixture.submit(submission(1, vec![step(1, CAPACITY)]));
    let runs = fixture.runs();

    for (last, frame) in (1..).zip(late) {
        fixture.event(Event::Frame { from: address(last), frame });
    }
    fixture.advance(1_000);

    assert_eq!((runs.len(), fixture.runs()), (1, runs));
}

#[test]
fn gives_up_at_once_a_job_whose_lost_task_cannot_run_again_in_time() {
    let mut fixture = Fixture::new(1);
    let hasty = broker::Submission { timeout: 1_000, ..submission(1, vec![step(1, 100)]) };
    let request = fixture.submit(hasty);

    set_responds(&mut fixture, 1, false);
    fixture.advance(AGENT_SILENCE_MS + 20);

    assert_eq!(fixture.answer(request), Some(Reply::GivenUp));
}

#[test]
fn gives_a_half_open_endpoint_one_task() {
    let mut fixture = Fixture::new(2);
    let agent = fixture.agents.get_mut(&address(1)).expect("an agent");
    agent.report.health = Health::Trial;
    fixture.advance(200);

    fixture.submit(submission(1, vec![step(4, 250)]));

    assert!(fixture.agents[&address(1)].runs.len() <= 1);
}

#[test]
fn gives_work_again_to_an_agent_that_it_had_forgotten() {
    let mut fixture = Fixture::new(1);
    fixture.submit(submission(1, vec![step(1, 100)]));
    fixture.end_all();
    set_responds(&mut fixture, 1, false);
    fixture.advance(AGENT_RETENTION_MS + 1_000);
    set_responds(&mut fixture, 1, true);
    fixture.event(Event::Announced { address: address(1), zone: "north".to_owned() });
    fixture.advance(300);

    fixture.submit(submission(2, vec![step(1, 100)]));
    fixture.advance(20);

    assert_eq!(fixture.runs().len(), 1);
}
