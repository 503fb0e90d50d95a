#!/usr/bin/env python3
"""Runs the real programs before engines that end under one request, which is
sent again and again at any entry. Run by hand:
ending_requests.py CHECK [SEED [ENTRIES]]

body:     the request is told from sound ones by its body only.
query:    by its query only.
once:     its route permits one run.
entries:  entries are killed in turn beside it.
controls: control instances are killed in turn beside it.

Exits with 1 if the request reached engines more often than allowed later than the
contact time after the third engine had ended under it.
"""

import asyncio
import pathlib
import random
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

from harness import (BOUNDS, BROKEN, HELD, NOT_RUN, Client, Engine, document, main,
                     new_attempt, route, service)

HOST = "status.example"
POOL = "desk"
ENGINES = 6
CALLERS = 24
RUN_S = 50
# The platform's bound.
TOLERATED_CRASHES = 3
TOLERATED_ARRIVALS = 3


class EndingEngine(Engine):
    """Ends 40 ms after it has begun a certain request, before any byte of the
    answer, and is back under another id after four seconds."""

    def __init__(self, run, number):
        super().__init__(run, number, POOL, slots=16, work_s=0.06)
        self.down = asyncio.Event()

    async def answer(self, request):
        if self.down.is_set():
            raise ConnectionResetError
        return await super().answer(request)

    async def execute(self, request):
        if self.run.is_ending(request):
            self.run.arrivals.append(time.monotonic())
            await asyncio.sleep(0.04)
            if not self.down.is_set():
                self.run.crashes.append(time.monotonic())
                self.run.tasks.append(asyncio.ensure_future(self.crash()))
            raise ConnectionResetError
        work = asyncio.ensure_future(super().execute(request))
        down = asyncio.ensure_future(self.down.wait())
        try:
            await asyncio.wait([work, down], return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # The case has ended.
            raise ConnectionResetError from None
        down.cancel()
        if self.down.is_set():
            work.cancel()
            raise ConnectionResetError
        return await work

    async def crash(self):
        self.down.set()
        self.server.close()
        await asyncio.sleep(1.5)
        self.is_listed = False
        await asyncio.sleep(2.5)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.running = 0
        self.down = asyncio.Event()
        self.is_listed = True
        await self.start()


async def send(run, calls, path, body, gap):
    """Sends a request again and again, each time to a random entry."""
    while True:
        client = Client(run, random.choice(run.fronts))
        status, _, _ = await client.call(
            "POST", path() if callable(path) else path,
            {"Host": HOST, "Attempt-Id": new_attempt(), "Deadline-Ms": "6000"},
            body() if callable(body) else body)
        client.close()
        calls.append(status)
        await asyncio.sleep(random.uniform(*gap))


async def kill_in_turn(nodes, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for node in nodes:
            node.kill()
            await asyncio.sleep(2)


def check(name):
    is_query = name == "query"
    path = "/status/x?bad" if is_query else "/status/x"
    body = b"" if is_query else b"bad"

    async def case(run):
        run.crashes, run.arrivals = [], []
        run.is_ending = lambda r: r.path == path and r.body == body
        for number in range(ENGINES):
            EndingEngine(run, number)
        await run.start()
        kind = "non_idempotent" if name == "once" else "idempotent"
        routes = [route("status", HOST, "/status/", kind, POOL, attempts=3)]
        accepted = await run.replace_config(document(3, [service(POOL)], routes)) == 200
        if not accepted or not await run.wait_ready():
            return NOT_RUN
        # All machines are in touch from here on.
        await asyncio.sleep(BOUNDS["ContactMs"] / 1000)
        sound, ending = [], []
        sound_path = (lambda: f"/status/x?{random.getrandbits(40)}") if is_query else path
        sound_body = b"" if is_query else (lambda: f"{random.getrandbits(40)}".encode())
        run.tasks += [asyncio.ensure_future(send(run, sound, sound_path, sound_body, (0.2, 0.5)))
                      for _ in range(CALLERS)]
        run.tasks.append(asyncio.ensure_future(send(run, ending, path, body, (0.3, 0.9))))
        if name in ("entries", "controls"):
            await kill_in_turn(run.fronts if name == "entries" else run.cores, RUN_S)
        else:
            await asyncio.sleep(RUN_S)
        late = 0
        if len(run.crashes) >= TOLERATED_CRASHES:
            since = run.crashes[TOLERATED_CRASHES - 1] + BOUNDS["ContactMs"] / 1000
            late = sum(at > since for at in run.arrivals)
        served = sound.count(200) / max(1, len(sound))
        print(f"{len(ending)} sent, {len(run.crashes)} engines ended, {late} late arrivals, "
              f"{served:.3f} of {len(sound)} sound requests served")
        return BROKEN if late > TOLERATED_ARRIVALS else HELD

    return case


if __name__ == "__main__":
    random.seed(int(sys.argv[2]) if len(sys.argv) > 2 else 1)
    entries = int(sys.argv[3]) if len(sys.argv) > 3 else 8
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(main(check(sys.argv[1]), folder, fronts=entries))
