//! Deployment of entry and agent processes, each on its own loopback address.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use nix::sys::signal::Signal;
use platform::READINESS_PATH;
use platform_standin::{
    DEADLINE_HEADER, Executor, HostSettings, ProcessLimits, Span, Store, add_seed, config_text,
    heartbeat_path, heartbeat_text, job_text,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep},
};

use crate::{
    invariants::parse_task_name,
    process::Process,
    proxy::{DatagramProxy, StreamProxy},
};

/// Time limit for a deployment to become ready or a configuration to be applied.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Default timeout of callers, in ms.
pub(crate) const DEFAULT_TIMEOUT_MS: u64 = 15_000;
/// Capacity of an executor, in thousandths of a core.
pub(crate) const EXECUTOR_CPU: u64 = 2_000;
/// Time after which nothing may start in an evacuated zone, in ms.
const EVACUATION_MS: u64 = 5_000;
/// Default port of the metrics of a process.
const METRICS_PORT: u16 = 9_464;
/// Zones of a deployment without evacuations.
const ONE_ZONE: [&str; 1] = ["z"];
/// Service that all executors provide.
pub(crate) const SERVICE: &str = "desk";
/// Host name in the requests of callers.
pub(crate) const HOST: &str = "callers.example";

/// Processes and stand-ins; the processes are killed on drop.
pub(crate) struct Deployment {
    pub(crate) store: Store,
    pub(crate) executors: Vec<Executor>,
    /// Entries, then agents.
    pub(crate) processes: Vec<Process>,
    pub(crate) entries: usize,
    proxies: Option<Proxies>,
    hosts: Vec<HostSettings>,
    /// Addresses of the entries for callers.
    callers: Vec<SocketAddr>,
    client: Client<HttpConnector, Full<Bytes>>,
    /// Latency objective of jobs beyond twice their work, in ms.
    target: u64,
    /// Folder with the settings and logs of the processes.
    folder: PathBuf,
}

/// Size and options of a deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Layout {
    pub(crate) entries: usize,
    pub(crate) agents: usize,
    /// Latency objective of jobs beyond twice their work, in ms.
    pub(crate) target: u64,
    /// Seed of the proxies between all processes; none runs without proxies.
    pub(crate) proxies: Option<u64>,
    /// Availability zones, to which the hosts belong in turn; evacuations are enabled if there are
    /// several.
    pub(crate) zones: &'static [&'static str],
    /// Memory and descriptors that each process may use.
    pub(crate) limits: ProcessLimits,
}

/// Ports of a process for HTTP.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Port {
    /// For callers.
    Callers,
    /// For the load balancer's checks.
    Readiness,
    /// For heartbeats of the endpoint.
    Heartbeats,
    /// For metrics.
    Metrics,
}

impl Default for Layout {
    /// One entry and one agent in a zone.
    fn default() -> Layout {
        Layout {
            entries: 1,
            agents: 1,
            target: 5_000,
            proxies: None,
            zones: &ONE_ZONE,
            limits: ProcessLimits::default(),
        }
    }
}

/// Proxies between the processes.
pub(crate) struct Proxies {
    pub(crate) datagrams: Arc<DatagramProxy>,
    /// In front of each entry.
    pub(crate) callers: Vec<StreamProxy>,
    /// Between each process and the store.
    pub(crate) stores: Vec<StreamProxy>,
    /// Between each agent and its executor.
    pub(crate) executors: Vec<StreamProxy>,
}

/// Client of the entries; clones share connections.
#[derive(Clone)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    /// Addresses of the entries for callers.
    callers: Vec<SocketAddr>,
}

/// Four distinct free loopback ports; each deployment has its own range of addresses.
fn free_ports() -> [u16; 4] {
    let sockets = [(); 4].map(|()| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
    sockets.map(|socket| socket.local_addr().expect("an address").port())
}

impl Deployment {
    /// Starts a deployment with one entry and waits until it serves jobs.
    pub(crate) async fn start(net: [u8; 2], agents: usize) -> Deployment {
        Deployment::start_with(net, Layout { agents, ..Layout::default() }).await
    }

    /// Starts a deployment on the addresses `127.{net}.*` and waits until it serves jobs.
    pub(crate) async fn start_with(net: [u8; 2], layout: Layout) -> Deployment {
        let Layout { entries, agents, target, proxies: seed, zones, limits } = layout;
        let ip = |host: usize| {
            let host = u8::try_from(host).expect("a host of the deployment");
            Ipv4Addr::new(127, net[0], net[1], host)
        };
        let address = |host: usize, port: u16| SocketAddrV4::new(ip(host), port);
        let name = format!("hostd-{}-{}-{}", std::process::id(), net[0], net[1]);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let [mesh_port, caller_port, readiness_port, heartbeat_port] = free_ports();
        // Last byte of the address: hosts from 1 on, their processes behind proxies from 101 on.
        // Listeners on ephemeral ports use 51 and up, so they never take a port of the settings.
        let public = |host: usize| address(host + 1, mesh_port);
        let own = |host: usize| address(host + 101, mesh_port);

        let store = Store::default();
        let store_address = store.serve(address(200, 0).into()).await.expect("a store");
        let mut proxies = match seed {
            None => None,
            Some(seed) => {
                let all: Vec<_> = (0..entries + agents).map(|it| (public(it), own(it))).collect();
                let datagrams = DatagramProxy::start(&all, seed).await;
                let (callers, stores, executors) = (Vec::new(), Vec::new(), Vec::new());
                Some(Proxies { datagrams, callers, stores, executors })
            }
        };
        let mut hosts = Vec::new();
        let mut callers = Vec::new();
        let mut executors = Vec::new();
        for host in 0..entries + agents {
            let any = address(host + 51, 0).into();
            let mut store = store_address;
            if let Some(proxies) = &mut proxies {
                let proxy = StreamProxy::start(any, store).await;
                store = proxy.address;
                proxies.stores.push(proxy);
            }
            if host < entries {
                let mut caller = address(host + 1, caller_port).into();
                if let Some(proxies) = &mut proxies {
                    let proxy = StreamProxy::start(any, caller).await;
                    caller = proxy.address;
                    proxies.callers.push(proxy);
                }
                callers.push(caller);
            } else {
                let executor = Executor::new(&format!("i-{host}"), SERVICE, EXECUTOR_CPU);
                let mut endpoint_address = executor.serve(any).await.expect("an executor");
                if let Some(proxies) = &mut proxies {
                    let proxy = StreamProxy::start(any, endpoint_address).await;
                    endpoint_address = proxy.address;
                    proxies.executors.push(proxy);
                }
                executor.register(endpoint_address, address(host + 1, heartbeat_port).into());
                executors.push(executor);
            }
            hosts.push(HostSettings {
                name: format!("host-{host}"),
                zone: zones[host % zones.len()].to_owned(),
                evacuation: (zones.len() > 1).then_some(EVACUATION_MS),
                ip: ip(host + 1).into(),
                mesh_port,
                caller_port,
                readiness_port,
                heartbeat_port,
                store,
                limits,
            });
        }
        let process = |host: usize| {
            let role = if host < entries { "entry" } else { "agent" };
            let bind = seed.map(|_| own(host));
            Process::new(role, folder.join(format!("{host}.toml")), bind)
        };
        let processes = (0..entries + agents).map(process).collect();
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut deployment = Deployment {
            store,
            executors,
            processes,
            entries,
            proxies,
            hosts,
            callers,
            client,
            target,
            folder,
        };
        deployment.write_seeds();
        deployment.start_all();
        deployment.publish(1, &["/q/"]);
        deployment.wait_for("/q/", 200).await;
        deployment.wait_until_jobs_run().await;
        deployment
    }

    /// The proxies of a deployment that was started with them.
    pub(crate) fn proxies(&self) -> &Proxies {
        self.proxies.as_ref().expect("a deployment with proxies")
    }

    /// Creates a client of the entries.
    pub(crate) fn caller(&self) -> Caller {
        Caller { client: self.client.clone(), callers: self.callers.clone() }
    }

    /// Publishes a configuration with these queues.
    pub(crate) fn publish(&self, version: u64, prefixes: &[&str]) {
        self.store.publish(&config_text(version, HOST, SERVICE, prefixes, self.target));
    }

    /// Address of a process's HTTP port.
    pub(crate) fn address(&self, process: usize, port: Port) -> SocketAddr {
        let host = &self.hosts[process];
        let port = match port {
            Port::Callers => host.caller_port,
            Port::Readiness => host.readiness_port,
            Port::Heartbeats => host.heartbeat_port,
            Port::Metrics => METRICS_PORT,
        };
        SocketAddr::new(host.ip, port)
    }

    /// Waits until every entry answers a GET of `path` with `status`.
    pub(crate) async fn wait_for(&self, path: &str, status: u16) {
        let end = Instant::now() + READY_TIMEOUT;
        let caller = self.caller();
        for entry in 0..self.entries {
            while caller.get(entry, path).await.0 != status {
                assert!(
                    Instant::now() < end,
                    "entry {entry} did not answer {path} with {status} in {READY_TIMEOUT:?}"
                );
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Submits jobs until every executor has run a task of them.
    pub(crate) async fn wait_until_jobs_run(&self) {
        let end = Instant::now() + READY_TIMEOUT;
        let caller = self.caller();
        for executor in &self.executors {
            executor.clear_spans();
        }
        let mut job = FIRST_PROBE;
        while self.executors.iter().any(|it| it.spans().is_empty()) {
            assert!(Instant::now() < end, "not every executor got work in {READY_TIMEOUT:?}");
            let entry = job as usize % self.entries;
            caller.submit(entry, job, DEFAULT_TIMEOUT_MS, &job_text(8, "1")).await;
            job += 1;
        }
        for executor in &self.executors {
            executor.clear_spans();
        }
    }

    pub(crate) async fn post(&self, path: &str, body: &str) -> (u16, String) {
        self.caller().request(0, Method::POST, path, DEFAULT_TIMEOUT_MS, body).await
    }

    pub(crate) async fn get(&self, path: &str) -> (u16, String) {
        self.caller().get(0, path).await
    }

    /// Metrics of a process.
    pub(crate) async fn metrics(&self, process: usize) -> String {
        let url = format!("http://{}/metrics", self.address(process, Port::Metrics));
        let request = Request::get(url).body(Full::default()).expect("a request");
        let response = self.client.request(request).await.expect("metrics");
        let body = response.into_body().collect().await.expect("a body").to_bytes();
        String::from_utf8_lossy(&body).into_owned()
    }

    /// Runs of each executor.
    pub(crate) fn spans(&self) -> Vec<Vec<Span>> {
        self.executors.iter().map(Executor::spans).collect()
    }

    /// Number of starts of a job's tasks.
    pub(crate) fn starts_of(&self, job: u64) -> usize {
        let spans = self.spans();
        spans.iter().flatten().filter(|it| parse_task_name(&it.task).0 == job).count()
    }

    /// Sends the first entry a signal.
    pub(crate) fn signal_entry(&mut self, signal: Signal) {
        self.processes[0].signal(signal);
    }

    /// Waits until the first entry exits; returns whether it exited with success.
    pub(crate) async fn entry_exits_successfully(&mut self) -> bool {
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            if let Some(status) = self.processes[0].exit() {
                return status.success();
            }
            assert!(Instant::now() < end, "the entry has not exited in {READY_TIMEOUT:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills an entry and starts it again.
    pub(crate) fn restart_entry(&mut self, entry: usize) {
        self.processes[entry].kill();
        self.processes[entry].start();
    }

    /// Status and `Retry-After` of the answer to a job at an entry, and its readiness; waits until
    /// it listens.
    pub(crate) async fn refusal(&self, entry: usize) -> (StatusCode, Option<String>, StatusCode) {
        let readiness = self.address(entry, Port::Readiness);
        let job =
            Request::post(format!("http://{}/q/{:016x}", self.address(entry, Port::Callers), 1))
                .header("host", HOST)
                .body(Full::new(Bytes::from(job_text(1, "1"))));
        let readiness = Request::get(format!("http://{readiness}{READINESS_PATH}"))
            .body(Full::new(Bytes::new()));
        let readiness = self.answer(readiness.expect("a request")).await;
        let answer = self.answer(job.expect("a request")).await;
        let retry_after = answer.headers().get("retry-after");
        let retry_after = retry_after.map(|it| it.to_str().expect("a number").to_owned());
        (answer.status(), retry_after, readiness.status())
    }

    /// Answer to a request that is repeated until its receiver listens.
    async fn answer(&self, request: Request<Full<Bytes>>) -> Response<Incoming> {
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            if let Ok(answer) = self.client.request(request.clone()).await {
                return answer;
            }
            assert!(Instant::now() < end, "{} is not answered in {READY_TIMEOUT:?}", request.uri());
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills and restarts all processes with a seed address at which nothing listens.
    pub(crate) fn restart_all_without_seeds(&mut self) {
        self.kill_all();
        self.write_settings("127.99.99.99:1".parse().expect("an address"));
        self.start_all();
    }

    /// Writes the first entry as seed to the settings of all processes; sends no signal.
    pub(crate) fn write_seeds(&self) {
        self.write_settings(self.address(0, Port::Heartbeats));
    }

    /// Restarts all processes with empty settings files, which are written 100 ms later.
    pub(crate) async fn restart_while_settings_are_written(&mut self) {
        self.kill_all();
        for process in &self.processes {
            std::fs::write(&process.settings, "").expect("settings");
        }
        self.start_all();
        sleep(Duration::from_millis(100)).await;
        self.write_seeds();
    }

    /// Kills and restarts all processes with an additional seed in their settings.
    pub(crate) fn restart_all_with_seed(&mut self, seed: &str) {
        self.kill_all();
        for process in &self.processes {
            let text = std::fs::read_to_string(&process.settings).expect("settings");
            std::fs::write(&process.settings, add_seed(&text, seed)).expect("settings");
        }
        self.start_all();
    }

    /// Sends an agent a heartbeat of another endpoint, with `cpu` as JSON; returns the status.
    pub(crate) async fn heartbeat(&self, agent: usize, address: &str, cpu: &str) -> u16 {
        let agent = self.address(self.entries + agent, Port::Heartbeats);
        let body = heartbeat_text(SERVICE, address, cpu);
        let request = Request::put(format!("http://{agent}{}", heartbeat_path("i-odd")))
            .body(Full::new(Bytes::from(body)));
        self.answer(request.expect("a request")).await.status().as_u16()
    }

    pub(crate) fn kill_agent(&mut self, agent: usize) {
        self.processes[self.entries + agent].kill();
    }

    pub(crate) fn start_agent(&mut self, agent: usize) {
        self.processes[self.entries + agent].start();
    }

    pub(crate) fn start_all(&mut self) {
        for process in &mut self.processes {
            process.start();
        }
    }

    pub(crate) fn kill_all(&mut self) {
        for process in &mut self.processes {
            process.kill();
        }
    }

    /// Writes the settings of all hosts, with one seed.
    fn write_settings(&self, seed: SocketAddr) {
        for (host, process) in self.hosts.iter().zip(&self.processes) {
            std::fs::write(&process.settings, host.text(seed)).expect("settings");
        }
    }
}

/// First id of the jobs that check whether executors get work.
pub(crate) const FIRST_PROBE: u64 = 0xffff_0000;

impl Drop for Deployment {
    fn drop(&mut self) {
        self.kill_all();
        if std::thread::panicking() {
            eprintln!("the logs are kept in {}", self.folder.display());
        } else {
            // A folder that is left behind is harmless.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Caller {
    pub(crate) async fn get(&self, entry: usize, path: &str) -> (u16, String) {
        self.request(entry, Method::GET, path, DEFAULT_TIMEOUT_MS, "").await
    }

    /// Submits a job.
    pub(crate) async fn submit(
        &self,
        entry: usize,
        job: u64,
        timeout: u64,
        body: &str,
    ) -> (u16, String) {
        self.request(entry, Method::POST, &format!("/q/{job:016x}"), timeout, body).await
    }

    /// Opens a connection to an entry.
    pub(crate) async fn connect(&self, entry: usize) -> TcpStream {
        TcpStream::connect(self.callers[entry]).await.expect("a connection")
    }

    /// Sends a job and closes the connection at once.
    pub(crate) async fn submit_and_leave(&self, entry: usize, job: u64, body: &str) {
        send_job(&mut self.connect(entry).await, job, DEFAULT_TIMEOUT_MS, body).await;
    }

    /// Sends a request; returns status and body of the answer, or status 0 if there is none.
    async fn request(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        timeout: u64,
        body: &str,
    ) -> (u16, String) {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.callers[entry]))
            .header("host", HOST)
            .header(DEADLINE_HEADER, timeout.to_string())
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a request");
        let Ok(response) = self.client.request(request).await else { return (0, String::new()) };
        let status = response.status().as_u16();
        match response.into_body().collect().await {
            Ok(body) => (status, String::from_utf8_lossy(&body.to_bytes()).into_owned()),
            Err(_) => (0, String::new()),
        }
    }
}

/// Sends a job on an open connection, without waiting for the answer.
pub(crate) async fn send_job(stream: &mut TcpStream, job: u64, timeout: u64, body: &str) {
    let request = format!(
        "POST /q/{job:016x} HTTP/1.1\r\nhost: {HOST}\r\n{DEADLINE_HEADER}: {timeout}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.expect("a request that fits into the buffer");
}

/// Status of the next answer on a connection.
pub(crate) async fn status(mut stream: TcpStream) -> u16 {
    let mut line = [0; "HTTP/1.1 200".len()];
    stream.read_exact(&mut line).await.expect("an answer");
    let line = str::from_utf8(&line).expect("a status line");
    line.rsplit(' ').next().and_then(|it| it.parse().ok()).expect("a status")
}

/// Submits a job of `tasks` tasks that run for `work` ms each to the first entry.
pub(crate) async fn submit(
    deployment: &Deployment,
    job: u64,
    tasks: usize,
    work: &str,
) -> (u16, String) {
    deployment.caller().submit(0, job, DEFAULT_TIMEOUT_MS, &job_text(tasks, work)).await
}
