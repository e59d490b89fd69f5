"""Stand-in of an executor, as PROTOCOL.md describes one ("Running tasks").

The spec of a task begins with its duration in ms; what follows a space is ignored. The executor
does not guard its capacity (admissionCheck false). Every event goes to `note`.
"""

import asyncio
import json

import web

MAX_HOLD_MS = 1000
BEAT_S = 1.5


class Run:
    def __init__(self, task, number, started, ends):
        self.task, self.number, self.started, self.ends = task, number, started, ends
        self.stopping = False
        self.timer = None


class Executor:
    def __init__(self, name, service, labels, cpu, note, stop_ms=40):
        self.name, self.service, self.labels, self.cpu = name, service, labels, cpu
        self.note, self.stop_ms = note, stop_ms
        self.loop = asyncio.get_running_loop()
        self.born = self.loop.time()
        self.token = 0
        self.lease = 0.0
        self.running = {}
        self.closed = {}
        self.ends = []
        self.next_end = 1
        self.end_event = asyncio.Event()
        self.sequence = 0
        self.address = None
        self.lapse_timer = None

    def clock(self):
        return (self.loop.time() - self.born) * 1000

    async def serve(self, ip):
        port = await web.serve(ip, 0, self.handle)
        self.address = (ip, port)

    async def beat(self, ip, port):
        """Sends heartbeats to the agent of the machine."""
        while True:
            self.sequence += 1
            body = {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": "z",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memoryRequestMb": 262144, "gpus": 0},
                "labels": self.labels,
                "clockMs": int(self.clock()),
                "sequence": self.sequence,
            }
            target = f"/v1/instances/{self.name}"
            await web.call(ip, port, "PUT", target, body=json.dumps(body).encode(), timeout=1.0)
            await asyncio.sleep(BEAT_S)

    async def handle(self, _method, target, headers, body):
        if headers.get("primrosemux-expected-instance", self.name) != self.name:
            return 421, b"{}"
        call = json.loads(body)
        token = call.get("fencingToken", 0)
        if token < self.token:
            return self.reject("fence")
        self.token = token
        if target == "/v1/run-start":
            return self.start(call)
        if target == "/v1/run-stop":
            return self.stop(call)
        if target == "/v1/hold":
            return await self.hold(call)
        return 404, b"{}"

    def reject(self, reason):
        return 409, json.dumps({"clockMs": int(self.clock()), "reason": reason}).encode()

    def accept(self):
        return 200, json.dumps({"clockMs": int(self.clock())}).encode()

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + MAX_HOLD_MS))
        self.watch_lease()

    def watch_lease(self):
        if self.lapse_timer is None:
            left = max(0.001, (self.lease - self.clock()) / 1000)
            self.lapse_timer = self.loop.call_later(left, self.check_lease)

    def check_lease(self):
        self.lapse_timer = None
        if self.clock() > self.lease:
            for run in list(self.running.values()):
                self.end(run, "lapsed")
        elif self.running:
            self.watch_lease()

    def start(self, call):
        task, number = call["task"], call["runId"]
        if call["deadlineMs"] < self.clock():
            return self.reject("late")
        self.extend(call["deadlineMs"])
        if (task, number) in self.running:
            return self.accept()
        if number <= self.closed.get(task, 0):
            return self.reject("old")
        duration = float(call["spec"].split(" ", 1)[0])
        now = self.clock()
        run = Run(task, number, now, now + duration)
        run.timer = self.loop.call_later(duration / 1000, self.end, run, "done")
        self.running[(task, number)] = run
        self.watch_lease()
        self.note("start", executor=self.name, task=task, run=number)
        return self.accept()

    def stop(self, call):
        task, number = call["task"], call["runId"]
        self.closed[task] = max(number, self.closed.get(task, 0))
        run = self.running.get((task, number))
        if run and not run.stopping:
            run.stopping = True
            self.note("stop asked", executor=self.name, task=task, run=number)
            self.loop.call_later(self.stop_ms / 1000, self.end, run, "stopped")
        return self.accept()

    def end(self, run, how):
        if self.running.pop((run.task, run.number), None) is None:
            return
        run.timer.cancel()
        self.closed[run.task] = max(run.number, self.closed.get(run.task, 0))
        self.ends.append([self.next_end, run.task, run.number, how, ""])
        self.next_end += 1
        self.note("end", executor=self.name, task=run.task, run=run.number, how=how)
        self.end_event.set()
        self.end_event = asyncio.Event()

    async def hold(self, call):
        if call.get("deadlineMs") is not None:
            self.extend(call["deadlineMs"])
        cursor = call.get("ackCursor", 0)
        self.ends = [row for row in self.ends if row[0] > cursor]
        wait_ms = min(call.get("waitMs", 0), 2000)
        if wait_ms and not self.ends:
            try:
                await asyncio.wait_for(self.end_event.wait(), wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
        now = self.clock()
        running = [
            [it.task, it.number, "", min(99, int((now - it.started) * 100 / (it.ends - it.started)))]
            for it in self.running.values()
        ]
        answer = {"clockMs": int(now), "running": running, "finished": self.ends[:500]}
        return 200, json.dumps(answer).encode()
