#!/usr/bin/env python3
"""Runs the real programs before engines that say that they are brittle, and prints
how often they fell over. brittle_engines.py [CASE [SEED [ENTRIES]]]

overload: more callers than the engines have room for. Each engine says in all its
          answers Server-Brittle: 3; from ContactMs later one that turns away more
          than 3 requests in a second for want of room falls over: it resets its
          connections, is away for 3 s and comes back with another id. Entries that
          try a full engine once each, unaware of each other, make all of them fall.

Exits with 1 if the engines fell over more often than 2 + a tenth of their number
(rule LIMIT), and with 2 if the run shows nothing, as when the entries kept the rule
by sending the engines hardly any call.
"""

import asyncio
import collections
import pathlib
import random
import sys
import tempfile
import time
import tomllib
import types

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

import harness
from harness import (BOUNDS, BROKEN, HELD, NOT_RUN, Client, Engine, document, main,
                     new_attempt, read_request, route, service)

CASES = ("overload",)
HOST = "desk.example"
POOL = "daftari"
ENTRIES = 3
ENGINES = 6
CLIENTS = 90
PAUSE_S = 0.05
RUNNING_PLACES = 2
WAITING_PLACES = 2
WORK_S = 0.1
MAX_TURNED_AWAY = 3
CONTACT_S = BOUNDS["ContactMs"] / 1000
BEFORE_S = 1
# A busy machine takes long to elect a leader.
START_S = 45
BRITTLE_S = 10
AWAY_S = 3
LISTED_AFTER_FALL_S = 0.8
# Share of what all engines could serve in the time, below which a run without
# falls shows only that the engines were left idle.
MIN_SERVED_SHARE = 0.25

Call = collections.namedtuple("Call", "sent front status")


class Brittleness:
    """When the engines of the service say that they are brittle."""

    def __init__(self):
        self.since = None

    def is_said(self):
        return self.since is not None

    def is_fatal(self):
        return self.is_said() and time.monotonic() >= self.since + CONTACT_S


class Life:
    """What an engine's process holds; a fall ends it."""

    def __init__(self):
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(RUNNING_PLACES)
        self.turned_away = collections.deque()
        self.has_ended = False


class BrittleEngine(Engine):
    def __init__(self, run, number, brittleness):
        super().__init__(run, number, POOL, slots=RUNNING_PLACES, work_s=WORK_S)
        self.brittleness = brittleness
        self.life = None
        self.writers = set()
        self.falls = []
        self.rejections = []
        self.served = []

    async def start(self):
        self.life = Life()
        self.server = await asyncio.start_server(
            self.connection, self.ip, self.port, reuse_address=True, limit=1 << 20)
        self.run.servers.append(self.server)

    def load(self):
        return f"{self.life.running},{self.life.waiting},{self.slots}"

    async def connection(self, reader, writer):
        life = self.life
        self.writers.add(writer)
        try:
            while not life.has_ended:
                status, headers, body = await self.answer(await read_request(reader))
                if life.has_ended:
                    break
                if self.brittleness.is_said():
                    headers = {**headers, "Server-Brittle": str(MAX_TURNED_AWAY)}
                headers = {"Content-Type": "application/json",
                           "Content-Length": str(len(body)), **headers}
                writer.write(f"HTTP/1.1 {status} X\r\n".encode() + b"".join(
                    f"{k}: {v}\r\n".encode() for k, v in headers.items()) +
                    b"\r\n" + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def execute(self, request):
        life = self.life
        if life.running + life.waiting >= RUNNING_PLACES + WAITING_PLACES:
            return self.turn_away(request)
        life.waiting += 1
        async with life.free:
            life.waiting -= 1
            life.running += 1
            await asyncio.sleep(self.work_s)
            life.running -= 1
        attempt = request.headers.get("attempt-id", "")
        if not life.has_ended:
            self.served.append(time.monotonic())
        return 200, {"Attempt-Id": attempt, "Server-Stamp": f"3e1b.{attempt}",
                     "Instance-Load": self.load()}, f"done {attempt}".encode()

    def turn_away(self, request):
        now = time.monotonic()
        self.rejections.append(now)
        if self.brittleness.is_fatal():
            recent = self.life.turned_away
            recent.append(now)
            while recent[0] <= now - 1:
                recent.popleft()
            if len(recent) > MAX_TURNED_AWAY:
                self.fall()
        return 503, {"Attempt-Id": request.headers.get("attempt-id", ""),
                     "Not-Executed": "1", "Instance-Load": self.load()}, b"full"

    def fall(self):
        if self.life.has_ended:
            return
        self.run.note(f"{self.id} falls over")
        self.falls.append(time.monotonic())
        self.life.has_ended = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.run.tasks.append(asyncio.ensure_future(self.come_back()))

    async def come_back(self):
        await asyncio.sleep(LISTED_AFTER_FALL_S)
        self.is_listed = False
        await asyncio.sleep(AWAY_S - LISTED_AFTER_FALL_S)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        await self.start()
        self.is_listed = True


async def send_calls(run, calls):
    """A client that keeps its connection and calls again soon, whatever the answer."""
    front = random.choice(run.fronts)
    client = Client(run, front)
    while True:
        sent = time.monotonic()
        status, _, _ = await client.call(
            "POST", "/status/1",
            {"Host": HOST, "Attempt-Id": new_attempt(), "Deadline-Ms": "3000"}, b"x",
            timeout=4)
        calls.append(Call(sent, front.name, status))
        await asyncio.sleep(random.random() * 2 * PAUSE_S)


async def overload(run):
    brittleness = Brittleness()
    engines = [BrittleEngine(run, number, brittleness) for number in range(ENGINES)]
    await run.start()
    routes = [route("status", HOST, "/status/", "idempotent", POOL, attempts=2)]
    accepted = await run.replace_config(document(3, [service(POOL)], routes), START_S) == 200
    if not accepted or not await run.wait_ready(START_S):
        print("the deployment did not get ready")
        return NOT_RUN
    calls = []
    run.tasks += [asyncio.ensure_future(send_calls(run, calls))
                  for _ in range(CLIENTS)]
    await asyncio.sleep(BEFORE_S)
    brittleness.since = time.monotonic()
    await asyncio.sleep(BRITTLE_S)
    return judge(run, engines, list(calls), brittleness.since)


def judge(run, engines, calls, since):
    falls = sorted(t for engine in engines for t in engine.falls)
    allowed = 2 + len(engines) / 10
    in_time = [call for call in calls if call.sent >= since]
    statuses = collections.Counter(call.status for call in in_time)
    served = sum(t >= since for engine in engines for t in engine.served)
    rejected = [t for engine in engines for t in engine.rejections]
    before = sum(t < since for t in rejected)
    fatal = sum(t >= since + CONTACT_S for t in rejected)
    whole = len(engines) * RUNNING_PLACES / WORK_S * BRITTLE_S
    print(f"overload: {len(falls)} falls, {allowed:.1f} allowed; at "
          f"{', '.join(f'{t - since:.1f}' for t in falls) or 'no time'} s after the "
          f"first statement")
    print(f"{len(in_time)} calls, by status {dict(statuses)}; engines served {served} "
          f"of {whole:.0f} at most, turned away {before} in the second before, "
          f"{len(rejected) - before - fatal} in the {CONTACT_S:.0f} s after and "
          f"{fatal} later")
    ended = [node.name for node in run.cores + run.fronts if node.ends]
    if ended:
        print(f"ended by themselves: {ended}")
        return NOT_RUN
    if len(falls) > allowed:
        return BROKEN
    refused = sum(status != 200 for status in statuses.elements())
    if refused == 0 or served < MIN_SERVED_SHARE * whole:
        print("too little was refused or served")
        return NOT_RUN
    return HELD


def use_built_programs():
    """Lets the harness start the programs of scripts/build."""

    def deploy_file(text):
        deploy = tomllib.loads(text)
        for role, fields in deploy["roles"].items():
            fields["run"] = str(ROOT / "build" / f"celeryspread-platform-{role}")
        return deploy

    harness.tomllib = types.SimpleNamespace(loads=deploy_file)


if __name__ == "__main__":
    if sys.argv[1:] == ["--list"]:
        print("\n".join(CASES))
        sys.exit(0)
    case = sys.argv[1] if len(sys.argv) > 1 else CASES[0]
    if case not in CASES:
        sys.exit(__doc__)
    random.seed(int(sys.argv[2]) if len(sys.argv) > 2 else 1)
    entries = int(sys.argv[3]) if len(sys.argv) > 3 else ENTRIES
    use_built_programs()
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(main(overload, folder, fronts=entries))
