"""Stand-in of the platform's ingress (PROTOCOL.md, "Ingress"): which node a new connection gets."""

import asyncio

import web

MISSES = 2


class Ingress:
    """Asks every node for its readiness once a second."""

    def __init__(self, system):
        self.system = system
        self.misses = {entry.name: 0 for entry in system.entries}
        self.watches = [asyncio.ensure_future(self.watch(entry)) for entry in system.entries]

    async def watch(self, entry):
        while True:
            status, _ = await web.call(
                entry.ip, self.system.readiness, "GET", "/v1/readiness", timeout=1.0
            )
            was = self.is_in(entry)
            self.misses[entry.name] = 0 if status == 200 else self.misses[entry.name] + 1
            if self.is_in(entry) != was:
                change = "leaves the rotation" if was else "is in rotation again"
                self.system.record(f"a node {change}", machine=entry.name)
            await asyncio.sleep(1.0)

    def is_in(self, entry):
        return self.misses[entry.name] < MISSES

    def node(self, zone, client):
        """The node of a client's new connection.

        If no node is in rotation anywhere, those of the other zones are used all the same, as the
        page says of a zone without one.
        """
        own = [it for it in self.system.entries if it.zone == zone]
        ready = [it for it in own if self.is_in(it)]
        if ready:
            nodes = ready if 2 * len(ready) >= len(own) else own
        else:
            others = [it for it in self.system.entries if it.zone != zone] or own
            nodes = [it for it in others if self.is_in(it)] or others
        return nodes[client % len(nodes)]

    def close(self):
        for watch in self.watches:
            watch.cancel()
