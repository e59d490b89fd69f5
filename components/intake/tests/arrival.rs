//! Times at which bytes arrived.

use std::time::Duration;

use intake::{ArrivalClock, ClientStream, Clocks, Pace, Phase, SteadyTime, Timeouts, listen};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

/// Time limits that do not matter.
const LONG: Timeouts =
    Timeouts { header: Duration::from_secs(3_600), write: Duration::from_secs(3_600) };
/// Time for which bytes wait in a socket.
const WAIT: Duration = Duration::from_millis(300);

#[test]
fn a_stamp_is_converted_by_the_difference_of_the_clocks() {
    let mut clock = ArrivalClock::new();

    let arrival = clock.arrival(clocks(10.0, 1_010.0), seconds(1_007.5));

    assert_eq!(arrival, steady(7.5));
}

#[test]
fn a_gradual_correction_of_the_wall_clock_is_followed() {
    let mut clock = ArrivalClock::new();
    for second in 10..20 {
        let now = f64::from(second);
        clock.arrival(clocks(now, now + 1_000.0 + (now - 10.0) / 100.0), seconds(1_000.0));
    }

    let arrival = clock.arrival(clocks(20.0, 1_020.1), seconds(1_019.1));

    assert_eq!(arrival, steady(19.0));
}

#[test]
fn bytes_that_wait_while_the_wall_clock_is_set_forward_do_not_look_older() {
    let mut clock = ArrivalClock::new();
    clock.arrival(clocks(10.0, 1_010.0), seconds(1_010.0));

    let before_step = clock.arrival(clocks(13.0, 1_018.0), seconds(1_012.0));
    let after_step = clock.arrival(clocks(13.5, 1_018.5), seconds(1_018.25));

    assert_eq!((before_step, after_step), (steady(12.0), steady(13.25)));
}

#[test]
fn bytes_that_wait_while_the_wall_clock_is_set_back_do_not_look_older() {
    let mut clock = ArrivalClock::new();
    clock.arrival(clocks(10.0, 1_010.0), seconds(1_010.0));

    let before_step = clock.arrival(clocks(13.0, 1_008.0), seconds(1_012.0));
    let after_step = clock.arrival(clocks(13.5, 1_008.5), seconds(1_008.25));

    assert_eq!((before_step, after_step), (steady(12.0), steady(13.25)));
}

#[test]
fn a_stamp_that_no_known_difference_explains_counts_as_now() {
    let mut clock = ArrivalClock::new();

    let arrival = clock.arrival(clocks(10.0, 1_010.0), seconds(1_011.0));

    assert_eq!(arrival, steady(10.0));
}

#[tokio::test]
async fn bytes_in_pieces_are_as_old_as_the_last_piece() {
    let (mut client, mut stream) = connect().await;
    client.write_all(&[1; 50]).await.expect("bytes are sent");
    sleep(WAIT).await;
    client.write_all(&[1; 50]).await.expect("bytes are sent");

    stream.read_exact(&mut [0; 100]).await.expect("bytes");

    let age = SteadyTime::now().since(stream.socket().arrived());
    assert!(age < WAIT, "{age:?}");
}

/// Guards against a request that counts as new however long it waited in a socket.
#[tokio::test]
async fn bytes_that_wait_in_a_socket_are_as_old_as_their_arrival() {
    let (mut client, mut stream) = connect().await;
    client.write_all(&[1; 100]).await.expect("bytes are sent");
    sleep(WAIT).await;

    stream.read_exact(&mut [0; 100]).await.expect("bytes");
    let age = SteadyTime::now().since(stream.socket().arrived());
    client.write_all(&[1; 100]).await.expect("bytes are sent");
    stream.read_exact(&mut [0; 100]).await.expect("bytes");
    let later_age = SteadyTime::now().since(stream.socket().arrived());

    assert!(age >= WAIT, "{age:?}");
    assert!(later_age < age, "{later_age:?}, on the kept connection");
}

/// A client, and the stream of its connection.
async fn connect() -> (TcpStream, ClientStream) {
    let listener = listen("127.0.0.1:0".parse().expect("an address"), 16).expect("a listener");
    // The first listener of a host makes the kernel put stamps on bytes, a few ms later.
    sleep(WAIT).await;
    let address = listener.local_addr().expect("an address");
    let client = TcpStream::connect(address).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    (client, ClientStream::new(stream, Phase::default(), LONG, &Pace::new(1)))
}

fn clocks(steady_s: f64, wall_s: f64) -> Clocks {
    Clocks { steady: steady(steady_s), wall: seconds(wall_s) }
}

fn steady(time: f64) -> SteadyTime {
    SteadyTime(seconds(time))
}

/// A duration in whole milliseconds.
fn seconds(time: f64) -> Duration {
    Duration::from_millis((time * 1_000.0).round() as u64)
}
