"""Starts the project's programs on loopback addresses, beside the stand-ins.

Every process has an address of its own, as every machine has, and gets the settings of a small
deployment. `record` keeps what was sent, answered and run; `save` writes it to the file that run.sh
names.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import web
from executor import Executor
from store import Store

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
PROGRAM = "target/release/primrosemux-hostd"
SERVICE = "huvo11a"
HOST = "nony24.example"
PREFIX = "/lohu930/"
RESEND_S = 1.3
CANCEL_S = 3.0
ACK_S = 4.0

SETTINGS = """\
nodeName = "{name}"
role = "{role}"
machineClass = "{machine}"
serves = ["{machine}"]
ip = "{ip}"
zone = "{zone}"
region = "south-coast"
internalPortRange = [{mesh},{mesh}]
seedNodes = [{seeds}]
bootstrap = true
discovery = "local"
entry = "virtual_ip"
heartbeatIntervalMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "call"
[zones]
{zones}
[listenAddresses]
{listen}
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
fileDescriptors = 4100
[bounds]
contactTimeoutMs = 3000
ackTimeoutMs = 4000
drainTimeoutMs = 2000
gracePeriodS = 6
configApplyMs = 2000
recoveryS = 12
maxHoldMs = 1000
stopTimeoutMs = 50
cancel_ms = 3000
remoteFactor = 1.5
resendIntervalMs = 1300
[platform]
address = "{store}"
form = "log"
writesPerS = 800
readsPerS = 2000
"""


# Exit statuses of a case; run.sh makes a 1 of the first and a 2 of all others, so that a mistake of
# the case never looks like a broken rule.
BROKEN = 10
HELD = 0
NOT_RUN = 2


class CannotRun(Exception):
    """The case could not run; it says nothing of the rule."""


class Machine:
    """A machine with one process of the system."""

    def __init__(self, deployment, number, role, zone):
        self.deployment, self.role, self.zone = deployment, role, zone
        self.ip = deployment.ip(number)
        self.name = f"{'frontend' if role == 'entry' else 'side'}-{zone}-{number}"
        self.child = None

    def start(self):
        it = self.deployment
        path = os.path.join(it.folder, self.name + ".toml")
        listen = f'control = "{self.ip}:{it.control}"'
        if self.role == "entry":
            listen = (
                f'frontend = "{self.ip}:{it.front}"\nreadiness = "{self.ip}:{it.readiness}"'
            )
        text = SETTINGS.format(
            name=self.name,
            role=self.role,
            machine="frontend" if self.role == "entry" else "side",
            ip=self.ip,
            zone=self.zone,
            mesh=it.mesh,
            seeds=",".join(f'"{ip}:{it.control}"' for ip in it.seeds),
            zones="\n".join(f'{zone} = "south-coast"' for zone in it.zones),
            listen=listen,
            store=f"{it.store_address[0]}:{it.store_address[1]}",
        )
        with open(path, "w") as file:
            file.write(text)
        # Each process has a log of its own; the folder is removed at the end.
        log = open(os.path.join(it.folder, f"{self.name}.log"), "a")
        environment = {"PRIMROSEMUX_CONFIG": path, "LANG": "C"}
        for name in ("PATH", "HOME"):
            environment[name] = os.environ.get(name, "/")
        self.child = subprocess.Popen(
            [PROGRAM, self.role], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        it.record("process starts", machine=self.name)

    def signal(self, number):
        self.deployment.record("signal", machine=self.name, signal=signal.Signals(number).name)
        self.child.send_signal(number)

    def kill(self):
        if self.child is not None and self.child.poll() is None:
            self.deployment.record("signal", machine=self.name, signal="SIGKILL")
            self.child.kill()
        if self.child is not None:
            self.child.wait()


class Deployment:
    def __init__(self, record_path, zones):
        self.record_path, self.zones = record_path, zones
        self.started = time.monotonic()
        self.lines = []
        self.machines = []
        self.executors = []
        self.tasks = []
        self.store = Store()
        self.folder = tempfile.mkdtemp(prefix="review-")
        chance = random.Random(os.getpid() * 7919 + int(time.time()))
        self.net = (chance.randrange(64, 250), chance.randrange(1, 250))
        self.mesh, self.control, self.front, self.readiness = self.free_ports(4)
        self.seeds = []

    def ip(self, number):
        return f"127.{self.net[0]}.{self.net[1]}.{number}"

    def free_ports(self, count):
        sockets = []
        for _ in range(count):
            it = socket.socket()
            it.bind((self.ip(1), 0))
            sockets.append(it)
        ports = [it.getsockname()[1] for it in sockets]
        for it in sockets:
            it.close()
        return ports

    def now(self):
        return time.monotonic() - self.started

    def record(self, event, **fields):
        self.lines.append((self.now(), event, fields))

    def say(self, text):
        self.record("note", text=text)
        print(text, flush=True)

    def save(self):
        with open(self.record_path, "w") as file:
            for at, event, fields in self.lines:
                shown = " ".join(f"{key}={value}" for key, value in fields.items())
                file.write(f"{at:9.4f} {event}: {shown}\n")

    async def begin(self, entries, agents, routes, cpu=64000):
        """Starts `entries` (a zone each) and `agents` (zone and labels each), and waits until all
        serve."""
        self.store_address = (self.ip(250), await web.serve(self.ip(250), 0, self.store.handle))
        self.store.publish(self.config(1, routes))
        number = 1
        for zone in entries:
            self.machines.append(Machine(self, number, "entry", zone))
            number += 1
        for zone, labels in agents:
            machine = Machine(self, number, "agent", zone)
            self.machines.append(machine)
            executor = Executor(f"i-{number:08x}", SERVICE, labels, cpu, self.record)
            await executor.serve(self.ip(number + 100))
            self.executors.append(executor)
            number += 1
        self.entries = [it for it in self.machines if it.role == "entry"]
        self.agents = [it for it in self.machines if it.role == "agent"]
        self.seeds = [it.ip for it in self.machines[:3]]
        for machine in self.machines:
            machine.start()
        for machine, executor in zip(self.agents, self.executors):
            self.tasks.append(asyncio.ensure_future(executor.beat(machine.ip, self.control)))
        await self.until_served()

    def config(self, version, routes):
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}
        limits.update({"headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
        service = {"name": SERVICE, "healthPath": "/health", "maxConnections": 64}
        service.update({"protocol": "h1", "tls": False, "admissionCheck": False, "standby": False})
        return {"version": version, "routes": routes, "services": [service], "limits": limits}

    async def until_served(self):
        """Sends short jobs until each entry has started a task on every executor; each task takes
        more than half of one."""
        end = time.monotonic() + 20
        for entry in self.entries:
            missing = {it.name for it in self.executors}
            while missing:
                if time.monotonic() > end:
                    raise CannotRun(f"{entry.name} does not reach {sorted(missing)}")
                mark = len(self.lines)
                job = f"{random.getrandbits(64):016x}"
                steps = [step(count=len(self.executors), cpu=self.executors[0].cpu * 6 // 10, estimate=20)]
                status, _ = await self.submit(entry, job, "20", steps, 1500, quiet=True)
                if status == 200:
                    for _, event, fields in self.lines[mark:]:
                        if event == "start" and fields["task"].startswith(job):
                            missing.discard(fields["executor"])
                await asyncio.sleep(0.05)
            self.record("the entry serves", machine=entry.name)

    async def submit(self, entry, job, spec, steps, deadline, quiet=False):
        """Submits a job that needn't be kept, and waits for its answer as long as `deadline` ms."""
        body = json.dumps({"spec": spec, "bestEffort": True, "steps": steps}).encode()
        headers = {"host": HOST, "primrosemux-request-deadline": str(deadline)}
        if not quiet:
            self.record("POST", job=job, at=entry.name, deadline_ms=deadline)
        status, answer = await web.call(
            entry.ip, self.front, "POST", PREFIX + job, headers, body, deadline / 1000
        )
        if not quiet:
            text = answer.decode()
            self.record("answer to POST", job=job, at=entry.name, status=status, body=text)
        return status, answer

    async def cancel(self, entry, job):
        self.record("DELETE", job=job, at=entry.name)
        headers = {"host": HOST}
        status, answer = await web.call(entry.ip, self.front, "DELETE", PREFIX + job, headers)
        self.record(
            "answer to DELETE", job=job, at=entry.name, status=status, body=answer.decode()
        )
        return status

    def close(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            if machine.child is not None and machine.child.poll() is None:
                machine.child.send_signal(signal.SIGCONT)
                machine.child.kill()
            if machine.child is not None:
                machine.child.wait()
        if os.environ.get("KEEP_LOGS") == "1":
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def step(count, cpu, estimate, **more):
    return {"count": count, "cpu": cpu, "estimatedDurationMs": estimate, **more}


def route(timeout, target=60):
    return {
        "name": "r-3hwrr6x",
        "hostname": HOST,
        "pathPrefix": PREFIX,
        "kind": "non_idempotent",
        "timeoutMs": timeout,
        "targetLatencyMs": target,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 2,
        "stretchFactor": 1.6,
    }


def runs(lines):
    """All runs: (executor, task, run, start, end, how); the end is none if it goes on."""
    found = {}
    for at, event, fields in lines:
        if event == "start":
            key = (fields["executor"], fields["task"], fields["run"])
            found[key] = [*key, at, None, None]
        elif event == "end":
            key = (fields["executor"], fields["task"], fields["run"])
            if key in found:
                found[key][4:] = [at, fields["how"]]
    return [tuple(it) for it in found.values()]


def main(play, zones):
    """Plays a case and exits.

    `play(deployment, trouble)` returns the list of what broke the rule. The argument of the program
    is the path of the record; the disruption is left out if TROUBLE is 0.
    """
    record_path = sys.argv[1]
    trouble = os.environ["TROUBLE"] != "0"
    if not os.path.exists(os.path.join(ROOT, PROGRAM)):
        print("the program of the deploy file is not built")
        sys.exit(NOT_RUN)

    async def run():
        deployment = Deployment(record_path, zones)
        # Its processes are ended also if the case itself is.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            broken = await asyncio.wait_for(play(deployment, trouble), 110)
            for text in broken:
                deployment.say(f"BROKEN: {text}")
            if not broken:
                deployment.say("the rule held")
            return BROKEN if broken else HELD
        except (Exception, asyncio.CancelledError) as error:
            deployment.say(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            deployment.close()
            deployment.save()

    sys.exit(asyncio.run(run()))
