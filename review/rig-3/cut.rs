//! An entry stands still for 4 s, and is cut off for the last 3 s of them.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    callers::{Balancer, Callers},
    check,
    system::{Machine, SIGCONT, SIGSTOP, System},
};

/// Jobs a second that callers send to each entry.
const JOBS_PER_S: u64 = 10;
/// Time for which the entry stands still, in ms.
const FREEZE_MS: u64 = 4_000;
/// Time from the start of the freeze to the cut, which ends with the freeze, in ms.
const CUT_AFTER_MS: u64 = 1_000;
/// Time after which a sender repeats what was not acknowledged, in ms; doubles each time, as on Linux.
const RETRANSMIT_MS: u64 = 200;

/// Link between callers and an entry.
///
/// While it is cut no connection is opened, and the end of one is lost; its sender repeats it.
struct Link {
    is_cut: AtomicBool,
}

impl Link {
    fn start(listener: TcpListener, to: SocketAddr) -> Arc<Link> {
        let link = Arc::new(Link { is_cut: AtomicBool::new(false) });
        let service = Arc::clone(&link);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = Arc::clone(&service);
                thread::spawn(move || link.carry(stream, to));
            }
        });
        link
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Relaxed)
    }

    fn carry(&self, mut near: TcpStream, to: SocketAddr) -> Option<()> {
        if self.is_cut() {
            // The caller gives up before the cut ends or the request is lost; nothing arrives.
            let _ = near.read_to_end(&mut Vec::new());
            return None;
        }
        let mut far = TcpStream::connect(to).ok()?;
        let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
        let (mut answers, mut back) = (far.try_clone().ok()?, near.try_clone().ok()?);
        thread::spawn(move || {
            let _ = std::io::copy(&mut answers, &mut back);
            let _ = back.shutdown(Shutdown::Both);
        });
        let mut buffer = [0; 16_384];
        while let Ok(count @ 1..) = near.read(&mut buffer) {
            far.write_all(&buffer[..count]).ok()?;
        }
        let mut pause = RETRANSMIT_MS;
        while self.is_cut() {
            thread::sleep(Duration::from_millis(pause));
            pause *= 2;
        }
        far.shutdown(Shutdown::Both).ok()
    }
}

pub fn run(trouble: bool) -> Result<check::Outcome, String> {
    let machine = Machine { cpu: 64_000, labels: vec!["a", "r1-1"], born: None };
    let system = Arc::new(System::start(2, &vec![machine; 6], "")?);
    let balancer = Balancer::start(Arc::clone(&system));
    let callers = Callers::new(Arc::clone(&system), Arc::clone(&balancer));
    let listener = TcpListener::bind((system.entries[0].ip, 0)).map_err(|err| err.to_string())?;
    callers.use_link(0, listener.local_addr().map_err(|err| err.to_string())?);
    let link = Link::start(listener, system.frontend(0));
    let until = Instant::now() + Duration::from_millis(FREEZE_MS + 6_000);
    let traffic = {
        let callers = callers.clone();
        thread::spawn(move || {
            let mut id = 1;
            while Instant::now() < until {
                for home in 0..2 {
                    callers.submit(id, home, crate::system::job(2, 500, 900, ""));
                    id += 1;
                }
                thread::sleep(Duration::from_micros(1_000_000 / JOBS_PER_S));
            }
        })
    };
    thread::sleep(Duration::from_secs(3));
    if trouble {
        callers.note(&format!("entry 0 is stopped for {FREEZE_MS} ms"));
        system.entries[0].signal(SIGSTOP);
        thread::sleep(Duration::from_millis(CUT_AFTER_MS));
        callers.note("entry 0 is cut off");
        link.is_cut.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(FREEZE_MS - CUT_AFTER_MS));
        link.is_cut.store(false, Ordering::Relaxed);
        system.entries[0].signal(SIGCONT);
        callers.note("the cut ends, and entry 0 continues");
    }
    traffic.join().map_err(|_| "a thread of the case failed".to_owned())?;
    thread::sleep(Duration::from_secs(5));
    balancer.stop();
    let outcome = check::twice(&system, &callers);
    system.finish();
    Ok(outcome)
}
