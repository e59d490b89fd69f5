"""HTTP/1.1 for the stand-ins: a small server and a client that shows how a request ended."""

import asyncio


class Server(asyncio.Protocol):
    """One connection; `handler(method, target, headers, body)` returns (status, body)."""

    def __init__(self, handler):
        self.handler = handler
        self.buffer = b""
        self.queue = []
        self.busy = False
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                break
            lines = self.buffer[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(self.buffer) < end + 4 + length:
                break
            body = self.buffer[end + 4 : end + 4 + length]
            self.buffer = self.buffer[end + 4 + length :]
            method, target, _ = lines[0].split(" ", 2)
            self.queue.append((method, target, headers, body))
        if self.queue and not self.busy:
            self.busy = True
            asyncio.ensure_future(self.work())

    async def work(self):
        while self.queue:
            status, body = await self.handler(*self.queue.pop(0))
            if not self.transport.is_closing():
                head = f"HTTP/1.1 {status} x\r\ncontent-type: application/json\r\n"
                head += f"content-length: {len(body)}\r\n\r\n"
                self.transport.write(head.encode() + body)
        self.busy = False


async def serve(ip, port, handler):
    """Serves at an address; returns the port."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Server(handler), ip, port, backlog=512)
    return server.sockets[0].getsockname()[1]


async def call(ip, port, method, target, headers=None, body=b"", timeout=5.0):
    """Makes a request on a connection of its own.

    Returns (status, body); the status is "broken" if the connection ended without an answer, and
    "silent" if there was none in time.
    """
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port)
        lines = [f"{method} {target} HTTP/1.1"]
        fields = {"host": f"{ip}:{port}", "content-type": "application/json"}
        fields.update(headers or {})
        fields["content-length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        length = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.strip().lower() == "content-length":
                length = int(value)
        answer = await reader.readexactly(length)
        return int(head.split(" ")[1]), answer

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return "silent", b""
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
        return "broken", b""
    finally:
        if writer is not None:
            writer.close()
