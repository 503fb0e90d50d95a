#!/usr/bin/env python3
"""Runs the real programs under planned work only: entries are stopped with
SIGTERM and started again, engines are released, configurations change. Clients
keep their connections until these are closed. Run by hand:
planned_work.py [SEED [ENTRIES]]

Prints the requests that got no answer, and those of calls that must run once at
most that were refused or repeated although an engine had run them. Exits with 1
if there is one. A stream's end once closed a connection whose caller had not
been told, so the caller's next request got no answer.
"""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

from harness import (BOUNDS, BROKEN, HELD, NOT_RUN, Engine, document, main,
                     new_attempt, read_body, read_head, read_request, route, service)

HOST = "desk.example"
POOLS = ["sklad", "other"]
PATHS = {"pay": "/pay/1", "look": "/look/1", "chat": "/chat/1"}
ENGINES_OF_A_POOL = 3
CLIENTS = 24
RUN_S = 75
EVENTS = 10
REJECTED_SHARE = 0.05
PROMISES = (408, 421, 429, 503)
DRAIN_S = BOUNDS["DrainMs"] / 1000


class StreamingEngine(Engine):
    """Answers /chat/ with a stream, and breaks its connections when it stops."""

    def __init__(self, run, number, pool, runs):
        super().__init__(run, number, pool, slots=6)
        self.run_counts = runs
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.connection, self.ip, self.port, reuse_address=True, limit=1 << 20)
        self.run.servers.append(self.server)

    def stop(self):
        self.is_listed = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request.path.startswith("/chat/"):
                    await self.stream(request, writer)
                    continue
                status, headers, body = await self.answer(request)
                headers = {"Content-Length": str(len(body)), **headers}
                writer.write(f"HTTP/1.1 {status} X\r\n".encode() + b"".join(
                    f"{k}: {v}\r\n".encode() for k, v in headers.items()) + b"\r\n" + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def execute(self, request):
        attempt = request.headers.get("attempt-id", "")
        if random.random() < REJECTED_SHARE:
            return 503, {"Attempt-Id": attempt, "Not-Executed": "1"}, b""
        self.run_counts[attempt] += 1
        await asyncio.sleep(random.choice([0.01, 0.03, 0.06, 0.4]))
        return 200, {"Attempt-Id": attempt, "Server-Stamp": f"s{attempt}"}, b"done"

    async def stream(self, request, writer):
        attempt = request.headers["attempt-id"]
        writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
                     f"Server-Stamp: s{attempt}\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")


Sent = collections.namedtuple("Sent", "kind attempt outcome")


async def send_one(reader, writer):
    """Sends a request; returns it and whether the connection stays open."""
    kind, path = random.choice(list(PATHS.items()))
    attempt, body = new_attempt(), b"y" * random.choice([0, 20, 500, 70_000])
    try:
        writer.write(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                     f"Deadline-Ms: 2500\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                     + body)
        await writer.drain()
        line, headers = await asyncio.wait_for(read_head(reader), 6)
        answer = await asyncio.wait_for(read_body(reader, headers), 6)
    except (OSError, asyncio.IncompleteReadError):
        return Sent(kind, attempt, "closed"), False
    except asyncio.TimeoutError:
        return Sent(kind, attempt, "silent"), False
    status = int(line.split()[1])
    is_short = kind == "chat" and status == 200 and answer.count(b"id: ") != EVENTS
    is_open = headers.get("connection", "").lower() != "close"
    return Sent(kind, attempt, "short" if is_short else status), is_open


async def client(run, sent):
    while True:
        host, port = random.choice(run.fronts).listen["Frontend"].split(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.2)
            continue
        is_open = True
        for _ in range(random.randint(1, 60)):
            request, is_open = await send_one(reader, writer)
            sent.append(request)
            if not is_open:
                break
            await asyncio.sleep(random.random() * 0.1)
        writer.close()


async def stop_entry(node):
    if not node.is_running() or node.expected_end:
        return
    node.expected_end = True
    process = node.process
    node.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(process.wait(), BOUNDS["GraceS"])
    except asyncio.TimeoutError:
        process.kill()


async def release_engine(run, runs):
    engine = random.choice([e for e in run.engines if e.is_listed and e.state == "ready"])
    engine.state = "draining"
    await StreamingEngine(run, len(run.engines), engine.service, runs).start()
    await asyncio.sleep(DRAIN_S + 0.5 + random.random() * 3)
    engine.stop()


def configuration(version):
    pools = random.sample(POOLS, 2)
    routes = [route("pay", HOST, "/pay/", "non_idempotent", pools[0], 2500, attempts=1),
              route("look", HOST, "/look/", "idempotent", pools[1], 2500),
              route("chat", HOST, "/chat/", "streaming", pools[1])]
    return document(version, [service(pool) for pool in POOLS], routes)


async def disturb(run, runs):
    version = 3
    end = time.monotonic() + RUN_S
    while time.monotonic() < end:
        await asyncio.sleep(random.random() * 1.5)
        work = random.choice(["stop", "change", "release"])
        if work == "stop":
            task = stop_entry(random.choice(run.fronts))
        elif work == "change":
            version += random.randint(1, 5)
            task = run.replace_config(configuration(version))
        else:
            task = release_engine(run, runs)
        run.tasks.append(asyncio.ensure_future(task))


async def case(run):
    runs, sent = collections.Counter(), []
    for number in range(ENGINES_OF_A_POOL * len(POOLS)):
        StreamingEngine(run, number, POOLS[number % len(POOLS)], runs)
    await run.start()
    if await run.replace_config(configuration(3)) != 200 or not await run.wait_ready():
        return NOT_RUN
    await asyncio.sleep(BOUNDS["ContactMs"] / 1000)
    run.tasks += [asyncio.ensure_future(client(run, sent)) for _ in range(CLIENTS)]
    await disturb(run, runs)
    await asyncio.sleep(6)
    unanswered = [s for s in sent if s.outcome in ("closed", "silent", "short")]
    once = [s for s in sent if s.kind == "pay"]
    refused = [s for s in once if s.outcome in PROMISES and runs[s.attempt]]
    repeated = [s for s in once if runs[s.attempt] > 1]
    print(f"{len(sent)} requests, {len(unanswered)} without a whole answer, "
          f"{len(refused)} refused that had run, {len(repeated)} run twice")
    for request in unanswered[:5] + refused[:5] + repeated[:5]:
        print("  ", request, "runs:", runs[request.attempt])
    return BROKEN if unanswered or refused or repeated else HELD


if __name__ == "__main__":
    random.seed(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
    with tempfile.TemporaryDirectory() as folder:
        entries = int(sys.argv[2]) if len(sys.argv) > 2 else 6
        sys.exit(main(case, folder, fronts=entries))
