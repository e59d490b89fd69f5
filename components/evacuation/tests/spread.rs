//! Which members are told of an evacuation, and how often.

use std::net::{Ipv4Addr, SocketAddrV4};

use evacuation::{RESEND_MS, SLOW_RESEND_MS, Spread};
use mesh::Uptime;

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 7_000)
}

/// Times in ms, up to `until`, at which a member is told a state with this end.
fn told(spread: &mut Spread, from: u64, until: u64, end: u64) -> Vec<u64> {
    let times = (from..until).step_by(10);
    times.filter(|at| !spread.due(Uptime(*at), end, [address(1)]).is_empty()).collect()
}

// Guards against endless resends at the first rate to members of an earlier version, which never
// confirm.
#[test]
fn a_member_that_does_not_confirm_is_told_again_less_and_less_often() {
    let mut spread = Spread::default();

    let times = told(&mut spread, 0, 6_000, 5);

    let pauses: Vec<_> = times.windows(2).map(|it| it[1] - it[0]).collect();
    assert_eq!(pauses[..10], [RESEND_MS; 10]);
    assert!(pauses[10..].iter().all(|it| *it == SLOW_RESEND_MS), "{pauses:?}");
}

#[test]
fn a_member_that_has_confirmed_is_told_only_a_newer_state() {
    let mut spread = Spread::default();
    assert_eq!(told(&mut spread, 0, 10, 5), [0]);
    spread.confirm(address(1), 4);
    assert_eq!(told(&mut spread, 200, 210, 5), [200]);

    spread.confirm(address(1), 5);

    assert!(told(&mut spread, 210, 5_000, 5).is_empty());
    assert_eq!(told(&mut spread, 5_000, 5_010, 6), [5_000]);
    assert_eq!(spread.unconfirmed(6), 1);
}

// Guards against a restarted member that works in an evacuated zone because its earlier process
// had confirmed.
#[test]
fn a_member_that_restarts_is_told_at_once() {
    let restarts: [fn(&mut Spread); 2] =
        [|spread| spread.observe(address(1), 8), |spread| spread.recheck(address(1))];
    for restart in restarts {
        let mut spread = Spread::default();
        told(&mut spread, 0, 10, 5);
        spread.observe(address(1), 7);
        spread.confirm(address(1), 5);
        spread.observe(address(1), 7);
        assert!(told(&mut spread, 10, 1_000, 5).is_empty());

        restart(&mut spread);

        assert_eq!(told(&mut spread, 1_010, 1_020, 5), [1_010]);
    }
}

#[test]
fn the_hello_of_a_member_of_an_earlier_version_does_not_speed_up_the_resends() {
    let mut spread = Spread::default();
    told(&mut spread, 0, 4_100, 5);

    spread.recheck(address(1));

    assert!(told(&mut spread, 4_100, 4_800, 5).is_empty());
}

#[test]
fn a_new_member_is_told_at_once() {
    let mut spread = Spread::default();
    told(&mut spread, 0, 10, 5);

    let due = spread.due(Uptime(50), 5, [address(1), address(2)]);

    assert_eq!(due, [address(2)]);
}
