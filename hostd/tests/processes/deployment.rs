//! A deployment of one entry and some agents on loopback addresses of its own.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use platform_standin::{Executor, HostFile, PATIENCE_HEADER, Store, config_text, job_text};
use tokio::time::{Instant, sleep};

/// Time for a deployment to become ready, or a configuration to be in force.
const READY: Duration = Duration::from_secs(20);
const SERVICE: &str = "desk";
const HOST: &str = "callers.example";

/// Processes and stand-ins; ends them when it is dropped.
pub(crate) struct Deployment {
    pub(crate) store: Store,
    pub(crate) executors: Vec<Executor>,
    entry: Child,
    agents: Vec<Child>,
    hosts: Vec<HostFile>,
    settings: Vec<PathBuf>,
    callers: SocketAddr,
    folder: PathBuf,
}

/// Free ports of loopback that differ; the addresses of a deployment are used by no other.
fn free_ports() -> [u16; 4] {
    let sockets = [(); 4].map(|()| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
    sockets.map(|socket| socket.local_addr().expect("an address").port())
}

impl Deployment {
    /// Starts a deployment on the addresses `127.{net}.*` and waits until it serves.
    pub(crate) async fn start(net: &str, agents: usize) -> Deployment {
        let address = |host: usize, port| -> SocketAddr {
            let ip: IpAddr = format!("127.{net}.{host}").parse().expect("an address");
            SocketAddr::new(ip, port)
        };
        let folder = std::env::temp_dir().join(format!("hostd-{}-{net}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let store = Store::default();
        let store_address = store.serve(address(200, 0)).await.expect("a store");
        let [mesh_port, caller_port, readiness_port, heartbeat_port] = free_ports();
        let host = |number: usize| HostFile {
            name: format!("host-{number}"),
            ip: address(number + 1, 0).ip(),
            mesh_port,
            caller_port,
            readiness_port,
            heartbeat_port,
            store: store_address,
        };
        let hosts: Vec<_> = (0..=agents).map(host).collect();
        let settings: Vec<_> =
            (0..=agents).map(|number| folder.join(format!("{number}.toml"))).collect();
        let callers = address(1, caller_port);
        write_settings(&hosts, &settings, callers);
        let mut executors = Vec::new();
        for host in 1..=agents {
            let executor = Executor::new(&format!("i-{host}"), SERVICE, 2_000);
            let registry = address(host + 1, heartbeat_port);
            executor.serve(address(host + 1, 0), registry).await.expect("an executor");
            executors.push(executor);
        }
        let entry = start_process("entry", &settings[0]);
        let agents = settings[1..].iter().map(|path| start_process("agent", path)).collect();
        let deployment =
            Deployment { store, executors, entry, agents, hosts, settings, callers, folder };
        deployment.publish(1, &["/q/"]);
        deployment.wait_for("/q/", 200).await;
        deployment.wait_until_jobs_run().await;
        deployment
    }

    /// Publishes a configuration with these queues.
    pub(crate) fn publish(&self, version: u64, prefixes: &[&str]) {
        self.store.publish(&config_text(version, HOST, SERVICE, prefixes));
    }

    /// Waits until a GET of `path` is answered with `status`.
    pub(crate) async fn wait_for(&self, path: &str, status: u16) {
        let end = Instant::now() + READY;
        while self.get(path).await.0 != status {
            assert!(Instant::now() < end, "{path} was not answered with {status} in {READY:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until every executor has been given work.
    pub(crate) async fn wait_until_jobs_run(&self) {
        let end = Instant::now() + READY;
        let mut job = 0x1000;
        while self.executors.iter().any(|it| it.starts().is_empty()) {
            assert!(Instant::now() < end, "not every executor was given work in {READY:?}");
            submit(self, job, 8, "1").await;
            job += 1;
        }
        for executor in &self.executors {
            executor.forget_starts();
        }
    }

    pub(crate) async fn post(&self, path: &str, body: &str) -> (u16, String) {
        self.request(Method::POST, path, body).await
    }

    pub(crate) async fn get(&self, path: &str) -> (u16, String) {
        self.request(Method::GET, path, "").await
    }

    /// Status and body of an answer; status 0 without one.
    async fn request(&self, method: Method, path: &str, body: &str) -> (u16, String) {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.callers))
            .header("host", HOST)
            .header(PATIENCE_HEADER, "15000")
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a request");
        let Ok(response) = client.request(request).await else { return (0, String::new()) };
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map(|it| it.to_bytes());
        (status, String::from_utf8_lossy(&body.unwrap_or_default()).into_owned())
    }

    /// Sends the entry a signal by name.
    pub(crate) fn signal_entry(&self, name: &str) {
        let id = self.entry.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status().expect("a signal");
        assert!(sent.success());
    }

    /// Waits for the entry to end; returns whether it ended without an error.
    pub(crate) async fn entry_exits_well(&mut self) -> bool {
        let end = Instant::now() + READY;
        loop {
            if let Some(status) = self.entry.try_wait().expect("a status") {
                return status.success();
            }
            assert!(Instant::now() < end, "the entry has not ended in {READY:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills all processes and starts them anew with a seed that nobody listens at.
    pub(crate) fn replace_all_without_seeds(&mut self) {
        for child in self.agents.iter_mut().chain([&mut self.entry]) {
            child.kill().expect("the process is killed");
            child.wait().expect("the process has ended");
        }
        let nobody = "127.99.99.99:1".parse().expect("an address");
        write_settings(&self.hosts, &self.settings, nobody);
        self.entry = start_process("entry", &self.settings[0]);
        for agent in 0..self.agents.len() {
            self.start_agent(agent);
        }
    }

    /// Names the entry as the seed of all processes, without a signal.
    pub(crate) fn name_seeds(&self) {
        write_settings(&self.hosts, &self.settings, self.callers);
    }

    /// Starts all processes anew with empty settings, which are filled soon after.
    pub(crate) async fn restart_while_settings_are_written(&mut self) {
        for child in self.agents.iter_mut().chain([&mut self.entry]) {
            child.kill().expect("the process is killed");
            child.wait().expect("the process has ended");
        }
        for path in &self.settings {
            std::fs::write(path, "").expect("settings");
        }
        self.entry = start_process("entry", &self.settings[0]);
        for agent in 0..self.agents.len() {
            self.start_agent(agent);
        }
        sleep(Duration::from_millis(100)).await;
        write_settings(&self.hosts, &self.settings, self.callers);
    }

    pub(crate) fn kill_agent(&mut self, agent: usize) {
        self.agents[agent].kill().expect("the agent is killed");
        self.agents[agent].wait().expect("the agent has ended");
    }

    pub(crate) fn start_agent(&mut self, agent: usize) {
        self.agents[agent] = start_process("agent", &self.settings[agent + 1]);
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.agents.iter_mut().chain([&mut self.entry]) {
            // A process that has ended by itself cannot be killed.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends a job of `tasks` tasks that run for `work` ms each.
pub(crate) async fn submit(
    deployment: &Deployment,
    job: u64,
    tasks: usize,
    work: &str,
) -> (u16, String) {
    let body = job_text(tasks, work);
    deployment.post(&format!("/q/{job:016x}"), &body).await
}

/// Writes the settings of all hosts, with one seed.
fn write_settings(hosts: &[HostFile], paths: &[PathBuf], seed: SocketAddr) {
    for (host, path) in hosts.iter().zip(paths) {
        std::fs::write(path, host.text(seed)).expect("settings");
    }
}

fn start_process(role: &str, settings: &PathBuf) -> Child {
    Command::new(env!("CARGO_BIN_EXE_primrosemux-hostd"))
        .arg("--settings")
        .arg(settings)
        .args(["--log-level", "warn", role])
        .stdout(Stdio::null())
        .spawn()
        .expect("the program starts")
}

/// Runs an agent whose settings file does not exist.
pub(crate) fn run_without_settings() -> Output {
    Command::new(env!("CARGO_BIN_EXE_primrosemux-hostd"))
        .args(["--settings", "/nonexistent/settings.toml", "agent"])
        .output()
        .expect("the program runs")
}
