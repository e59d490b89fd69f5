//! Jobs come at once over connections that are open already, and then none for 3.3 s.

use std::{
    io::Write,
    net::TcpStream,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    callers::{Balancer, Callers, DEADLINE_MS, Sent},
    check, http,
    system::{HOST, Machine, PREFIX, System},
};

/// Time from a burst to the next one, in ms.
const PERIOD_MS: u64 = 3_300;
/// Time from the opening of the connections to the burst, in ms.
const OPEN_MS: u64 = 500;
/// Jobs of a burst; 61 a second on average.
const JOBS: u64 = 200;
const BURSTS: u64 = 5;
/// Jobs a second to the other entry.
const OTHER_JOBS_PER_S: u64 = 10;

pub fn run(trouble: bool) -> Result<check::Outcome, String> {
    let machine = Machine { cpu: 64_000, labels: vec!["a", "r1-1"], born: None };
    let system = Arc::new(System::start(2, &vec![machine; 8], "")?);
    let balancer = Balancer::start(Arc::clone(&system));
    let callers = Callers::new(Arc::clone(&system), Arc::clone(&balancer));
    let end = Instant::now() + Duration::from_millis(BURSTS * PERIOD_MS + 3_000);
    let other = {
        let callers = callers.clone();
        thread::spawn(move || {
            let mut id = 1_000_000;
            while Instant::now() < end {
                callers.submit(id, 1, body());
                id += 1;
                thread::sleep(Duration::from_micros(1_000_000 / OTHER_JOBS_PER_S));
            }
        })
    };
    for burst in 0..BURSTS {
        let next = Instant::now() + Duration::from_millis(PERIOD_MS);
        let ids = burst * JOBS + 1..=(burst + 1) * JOBS;
        if trouble {
            send_at_once(&system, &callers, ids)?;
        } else {
            for id in ids {
                callers.submit(id, 0, body());
                thread::sleep(Duration::from_micros(PERIOD_MS * 1_000 / JOBS - 200));
            }
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    other.join().map_err(|_| "a thread of the case failed".to_owned())?;
    thread::sleep(Duration::from_secs(6));
    balancer.stop();
    let outcome = check::twice(&system, &callers);
    system.finish();
    Ok(outcome)
}

/// Job of one task.
fn body() -> String {
    crate::system::job(1, 500, 900, "")
}

/// Opens a connection for each job, and sends the jobs some time later.
fn send_at_once(
    system: &System,
    callers: &Callers,
    ids: impl Iterator<Item = u64>,
) -> Result<(), String> {
    let to = system.frontend(0);
    let mut open = Vec::new();
    for id in ids {
        let stream = TcpStream::connect(to).map_err(|err| err.to_string())?;
        stream.set_nodelay(true).map_err(|err| err.to_string())?;
        let deadline = DEADLINE_MS.to_string();
        let headers = [("Host", HOST), ("Primrosemux-Request-Deadline", deadline.as_str())];
        let text = http::request_text(to, "POST", &format!("{PREFIX}{id:016x}"), &headers, &body());
        open.push((id, stream, text));
    }
    thread::sleep(Duration::from_millis(OPEN_MS));
    callers.note(&format!("{} jobs are sent at once to entry 0", open.len()));
    let until = Instant::now() + Duration::from_millis(DEADLINE_MS);
    let at = system.now();
    for (_, stream, text) in &mut open {
        stream.write_all(text.as_bytes()).map_err(|err| err.to_string())?;
    }
    for (job, stream, _) in open {
        callers.await_answer(Sent { job, home: 0, at, stream, until }, body());
    }
    Ok(())
}
