//! A small deployment on loopback addresses: the project's own processes, and stand-ins around them.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    executor::{Description, Executor, Record},
    http,
    store::Store,
};

/// Name of the queue's service, host and path prefix.
pub const SERVICE: &str = "desk";
pub const HOST: &str = "callers.example";
pub const PREFIX: &str = "/desk/";

/// Zones of the deployment, to which its machines belong in turn.
const ZONES: [&str; 3] = ["suva-a", "suva-b", "nasinu"];
/// Command of the deploy file, without the role.
const PROGRAM: &str = "target/release/primrosemux-hostd";

const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// A process of the project; it is killed on drop.
pub struct Process {
    child: Mutex<Child>,
    pub ip: Ipv4Addr,
}

/// A deployment; [`System::finish`] ends it.
pub struct System {
    pub epoch: Instant,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub executors: Vec<Executor>,
    pub record: Record,
    ports: Ports,
    net: [u8; 2],
    folder: PathBuf,
}

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    mesh: u16,
    frontend: u16,
    readiness: u16,
    control: u16,
    app: u16,
    store: u16,
}

impl Process {
    /// Starts a process, which ends with this program at the latest.
    fn start(ip: Ipv4Addr, role: &str, settings: &Path, log: &Path) -> Process {
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new(PROGRAM);
        command
            .arg(role)
            .env_clear()
            .env("PRIMROSEMUX_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().expect("the program of the deploy file can be started");
        Process { child: Mutex::new(child), ip }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        let id = self.child.lock().unwrap().id();
        unsafe { kill(id as i32, signal) };
    }

    /// Kills the process.
    pub fn kill(&self) {
        self.signal(SIGKILL);
        let _ = self.child.lock().unwrap().wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl System {
    /// Starts a deployment and waits until all entries are ready.
    pub fn start(entries: usize, machines: &[Machine], extra: &str) -> Result<System, String> {
        let epoch = Instant::now();
        let pid = std::process::id();
        let net = [100 + (pid / 250 % 100) as u8, (pid % 250) as u8];
        let ports = free_ports(ip(net, 1)).map_err(|err| format!("no free ports: {err}"))?;
        let folder = std::env::temp_dir().join(format!("primrosemux-review-{pid}"));
        fs::create_dir_all(&folder).map_err(|err| err.to_string())?;
        let store = Store::default();
        let store_address = SocketAddr::new(IpAddr::V4(ip(net, 1)), ports.store);
        store.serve(store_address).map_err(|err| err.to_string())?;
        store.put("op", "config", config(1, &[PREFIX]).as_bytes());
        let mut system = System {
            epoch,
            entries: Vec::new(),
            agents: Vec::new(),
            executors: Vec::new(),
            record: Arc::new(Mutex::new(Vec::new())),
            ports,
            net,
            folder,
        };
        for number in 0..entries {
            let ip = ip(net, 10 + number as u8);
            let process = system.process(ip, "entry", ZONES[number % 3], extra);
            system.entries.push(process);
        }
        for (number, machine) in machines.iter().enumerate() {
            let ip = ip(net, 100 + number as u8);
            let process = system.process(ip, "agent", ZONES[number % 3], extra);
            system.agents.push(process);
            let description = system.description(number, &format!("i-{number}"), machine);
            let executor = Executor::start(description, epoch, &system.record);
            system.executors.push(executor.map_err(|err| err.to_string())?);
        }
        let until = Instant::now() + Duration::from_secs(25);
        while !system.is_ready() {
            if Instant::now() > until {
                return Err("the system does not get ready".to_owned());
            }
            // Executors retry a heartbeat that was not answered.
            for executor in system.executors.iter().filter(|it| !it.is_registered()) {
                executor.beat();
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_millis(1_500));
        Ok(system)
    }

    /// Kills all processes; threads of the case may still hold the system.
    pub fn end(&self) {
        self.entries.iter().chain(&self.agents).for_each(Process::kill);
    }

    /// Time since the start of the case, in ms.
    pub fn now(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    /// Description of an executor on the machine of agent `number`.
    pub fn description(&self, number: usize, id: &str, machine: &Machine) -> Description {
        let ip = IpAddr::V4(ip(self.net, 100 + number as u8));
        Description {
            id: id.to_owned(),
            service: SERVICE.to_owned(),
            address: SocketAddr::new(ip, self.ports.app),
            control: SocketAddr::new(ip, self.ports.control),
            cpu: machine.cpu,
            memory: 262_144,
            labels: machine.labels.iter().map(|it| (*it).to_owned()).collect(),
            born: machine.born,
        }
    }

    /// Address of an entry for callers.
    pub fn frontend(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.entries[entry].ip), self.ports.frontend)
    }

    /// Whether an entry answers the platform's check within `limit`.
    pub fn readiness(&self, entry: usize, limit: Duration) -> bool {
        let to = SocketAddr::new(IpAddr::V4(self.entries[entry].ip), self.ports.readiness);
        http::call(to, "GET", "/v1/readiness", &[], "", limit).is_some_and(|it| it.0 == 200)
    }

    fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        (0..self.entries.len()).all(|it| self.readiness(it, limit))
            && self.executors.iter().all(Executor::is_registered)
    }

    fn process(&self, ip: Ipv4Addr, role: &str, zone: &str, extra: &str) -> Process {
        let Ports { mesh, frontend, readiness, control, store, .. } = self.ports;
        let name = format!("{role}-{ip}");
        let seed = crate::system::ip(self.net, 100);
        let store_ip = crate::system::ip(self.net, 1);
        let listen = match role {
            "entry" => {
                format!("frontend = \"{ip}:{frontend}\"\nreadiness = \"{ip}:{readiness}\"\n")
            }
            _ => format!("control = \"{ip}:{control}\"\n"),
        };
        let limits = match role {
            "entry" => "cpuShare = 0.25\nmemoryMb = 260\nfileDescriptors = 4100",
            _ => "cpuShare = 0.15\nmemoryMb = 128\nfileDescriptors = 4096",
        };
        let text = format!(
            "nodeName = \"{name}\"\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"suva\"\n\
             internalPortRange = [{mesh}, {}]\nseedNodes = [\"{seed}:{control}\"]\n\
             bootstrap = true\nheartbeatIntervalMs = 1500\norders = \"call\"\n\
             [listenAddresses]\n{listen}[limits]\n{limits}\nlinkMbps = 1000.0\n\
             [bounds]\ncontactTimeoutMs = 3000\nackTimeoutMs = 4000\ndrainTimeoutMs = 3000\n\
             gracePeriodS = 6\nconfigApplyMs = 2000\nmaxHoldMs = 1000\nstopTimeoutMs = 50\n\
             cancel_ms = 3000\nremoteFactor = 1.5\nresendIntervalMs = 1300\n{extra}\
             [platform]\naddress = \"{store_ip}:{store}\"\nform = \"log\"\n",
            mesh + 3
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("a settings file");
        Process::start(ip, role, &settings, &self.folder.join(format!("{name}.log")))
    }
}

impl System {
    /// Kills all processes and removes the folder with their settings and logs.
    pub fn finish(&self) {
        self.end();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

/// A machine with an executor.
#[derive(Clone)]
pub struct Machine {
    /// Thousandths of a core.
    pub cpu: u64,
    pub labels: Vec<&'static str>,
    pub born: Option<u64>,
}

/// Configuration with a queue for each prefix, all of the same service.
pub fn config(version: u64, prefixes: &[&str]) -> String {
    let routes: Vec<_> = prefixes
        .iter()
        .map(|prefix| {
            format!(
                r#"{{"name":"r{prefix}","hostname":"{HOST}","pathPrefix":"{prefix}","service":"{SERVICE}","priority":0,"maxAttempts":4,"stretchFactor":1.6,"targetLatencyMs":60}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{SERVICE}"}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

/// A job of one step whose caller waits for the answer.
pub fn job(tasks: usize, cpu: u64, work_ms: u64, fields: &str) -> String {
    format!(
        r#"{{"spec":"{work_ms}","bestEffort":true,"steps":[{{"count":{tasks},"cpu":{cpu},"memoryRequestMb":64,"estimatedDurationMs":{work_ms}{fields}}}]}}"#
    )
}

fn ip(net: [u8; 2], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, net[0], net[1], host)
}

fn free_ports(ip: Ipv4Addr) -> std::io::Result<Ports> {
    let sockets: Result<Vec<_>, _> = (0..6).map(|_| std::net::TcpListener::bind((ip, 0))).collect();
    let sockets = sockets?;
    let port = |index: usize| sockets[index].local_addr().map(|it| it.port().min(65_000));
    Ok(Ports {
        mesh: port(0)?,
        frontend: port(1)?,
        readiness: port(2)?,
        control: port(3)?,
        app: port(4)?,
        store: port(5)?,
    })
}
