#!/usr/bin/env python3
"""Runs the real programs with calls that must run at most once, before engines
that reject, crash, stall, answer errors or break off, while entries are killed,
frozen and stopped and control instances are killed. Between entries and engines
are links that delay, reset and are cut for a time; what was sent before a cut
arrives when it is over, also if the entry has given up by then. Run by hand:
refusals.py [SEED [ENTRIES]]

Exits with 1 if a call ran that was refused with a status that promises that it
has not and never will, or if one ran twice. A refusal once rested on an answer to
another call.
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
sys.path.insert(0, str(ROOT / "tests" / "processes"))

from engine_statements import HOST, POOL
from harness import (BROKEN, HELD, NOT_RUN, Client, document, main, new_attempt, route,
                     serve_http, service)
from retry_budget import ENGINES, FaultyEngine

PROMISES = (408, 421, 429, 503)
CLIENTS = 60
RUN_S = 75
LINK_DELAY_S = 0.03
RESET_SHARE = 0.01


class Link:
    """Forwards connections to an engine with a delay. A reset loses what is on
    its way; a cut holds it up."""

    def __init__(self, engine):
        self.engine = engine
        self.whole = asyncio.Event()
        self.whole.set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.connection, self.engine.ip, self.engine.port, reuse_address=True)
        self.engine.run.servers.append(self.server)

    async def connection(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.engine.inner_ip, self.engine.port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pump(reader, far_writer, writer),
                             self.pump(far_reader, writer, far_writer))

    async def pump(self, reader, writer, other):
        try:
            while data := await reader.read(65536):
                await asyncio.sleep(LINK_DELAY_S)
                await self.whole.wait()
                if random.random() < RESET_SHARE:
                    writer.transport.abort()
                    other.transport.abort()
                    return
                writer.write(data)
            writer.close()
        except OSError:
            writer.transport.abort()


class BreakingEngine(FaultyEngine):
    """Answers each call in one of several ways; some of them are no answers."""

    def __init__(self, run, number):
        super().__init__(run, number)
        self.inner_ip = run.address()
        self.link = Link(self)

    async def start(self):
        self.server = await serve_http(self.inner_ip, self.port, self.answer)
        self.run.servers.append(self.server)
        if not hasattr(self.link, "server"):
            await self.link.start()

    async def behave_now(self, request, execute):
        kind = random.choice(["sound"] * 5 + [
            "reject", "reject without id", "late reject", "run and refuse",
            "run and err", "run and fall silent", "run and break off"])
        if kind == "reject":
            return self.rejection(request, {})
        if kind == "reject without id":
            return 429, {"Not-Executed": "1"}, b""
        if kind == "late reject":
            await asyncio.sleep(random.random())
            return self.rejection(request, {})
        status, headers, body = await execute(request)
        if kind == "run and refuse":
            return 503, {"Attempt-Id": request.headers["attempt-id"]}, b""
        if kind == "run and err":
            return 500, headers, b"failed"
        if kind == "run and fall silent":
            await asyncio.sleep(4)
        if kind == "run and break off":
            raise ValueError("the connection ends without an answer")
        return status, headers, body


async def send_calls(run, statuses):
    while True:
        client = Client(run, random.choice(run.fronts))
        for _ in range(8):
            attempt = new_attempt()
            status, _, _ = await client.call(
                "POST", "/pay/1",
                {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "3000"}, b"x",
                timeout=4)
            statuses[attempt] = status
            await asyncio.sleep(random.random() * 0.2)
            if status <= 0:
                break
        client.close()


async def disturb(run):
    some = 1 + len(run.fronts) // 8
    running = [node for node in run.fronts if node.is_running()]
    chosen = random.sample(running, min(2 * some, len(running)))
    stopped = chosen[some:]
    for node in chosen[:some]:
        node.kill()
    for node in stopped:
        node.signal(signal.SIGSTOP)
    if random.random() < 0.3:
        random.choice(run.cores).kill()
    engine = random.choice(run.engines)
    engine.awake.clear()
    cut = random.choice(run.engines).link
    cut.whole.clear()
    if random.random() < 0.5:
        run.tasks.append(asyncio.ensure_future(
            random.choice(run.engines).crash(random.uniform(0.5, 3))))
    await asyncio.sleep(random.uniform(0.2, 5))
    for node in stopped:
        node.signal(signal.SIGCONT)
    engine.awake.set()
    cut.whole.set()
    await asyncio.sleep(random.uniform(0.2, 3))


async def refusals(run):
    for number in range(ENGINES):
        BreakingEngine(run, number)
    await run.start()
    routes = [route("pay", HOST, "/pay/", "non_idempotent", POOL, attempts=2)]
    accepted = await run.replace_config(document(3, [service(POOL)], routes)) == 200
    if not accepted or not await run.wait_ready(30):
        return NOT_RUN
    statuses = {}
    run.tasks += [asyncio.ensure_future(send_calls(run, statuses))
                  for _ in range(CLIENTS)]
    end = time.monotonic() + RUN_S
    while time.monotonic() < end:
        await disturb(run)
    await asyncio.sleep(5)
    runs = collections.Counter(
        attempt for engine in run.engines for attempt, *_ in engine.runs)
    refused = [a for a, status in statuses.items() if status in PROMISES]
    ran = [a for a in refused if runs[a]]
    twice = [a for a, count in runs.items() if count > 1]
    print(f"{len(statuses)} calls, {len(refused)} refused, {len(ran)} of these ran, "
          f"{len(twice)} ran twice")
    return BROKEN if ran or twice else HELD


if __name__ == "__main__":
    random.seed(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
    entries = int(sys.argv[2]) if len(sys.argv) > 2 else 8
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(main(refusals, folder, fronts=entries))
