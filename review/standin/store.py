"""Stand-in of the platform's store: keyed topics of one partition (PROTOCOL.md)."""

import asyncio
import base64
import json
import struct
import urllib.parse

ANSWER_S = 0.004


class Store:
    def __init__(self):
        self.topics = {}
        self.grown = asyncio.Event()

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    def write(self, topic, key, value):
        self.records(topic).append((key, value))
        self.grown.set()
        self.grown = asyncio.Event()

    def publish(self, config):
        self.write("keyed.op", "config", json.dumps(config).encode())

    async def handle(self, method, target, _headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = query.get("topic", "")
        await asyncio.sleep(ANSWER_S)
        if url.path == "/v1/log-append":
            return self.append(topic, body)
        if url.path == "/v1/log-newest":
            return self.newest(topic, query.get("after", ""))
        if url.path == "/v1/log-read":
            return await self.read(topic, int(query["from"]), int(query.get("waitMs", "0")))
        return 404, b"{}"

    def append(self, topic, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        first = len(self.records(topic))
        while body:
            (length,) = struct.unpack(">I", body[:4])
            record, body = body[4 : 4 + length], body[4 + length :]
            key_length = record[0]
            key = record[1 : 1 + key_length].decode()
            self.write(topic, key, record[1 + key_length :])
        return 200, json.dumps({"offset": first, "endOffset": len(self.records(topic))}).encode()

    def newest(self, topic, after):
        newest = {}
        for offset, (key, value) in enumerate(self.records(topic)):
            newest[key] = (value, offset)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if value and key > after
        ]
        page = items[:500]
        answer = {
            "items": page,
            "hasMore": len(items) > len(page),
            "endOffset": len(self.records(topic)),
        }
        return 200, json.dumps(answer).encode()

    async def read(self, topic, first, wait_ms):
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_ms / 1000
        while len(self.records(topic)) <= first and loop.time() < end:
            try:
                await asyncio.wait_for(self.grown.wait(), max(0.0, end - loop.time()))
            except asyncio.TimeoutError:
                break
        records = self.records(topic)
        answer = struct.pack(">QQ", len(records), 0)
        for key, value in records[first:]:
            record = bytes([len(key)]) + key.encode() + value
            answer += struct.pack(">I", len(record)) + record
        return 200, answer
