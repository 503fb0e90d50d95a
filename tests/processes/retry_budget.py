#!/usr/bin/env python3
"""Runs the real programs before engines that turn calls away, stall or crash
while entries are killed, and counts the repeats that reach the engines. Run by
hand: retry_budget.py CHECK [SEED [ENTRIES]]

onset:  engines begin to reject after a calm time, and all entries are killed
        right after they have spent the retries that the calm time had earned. A
        restarted entry once earned them a second time in the same window.
turns:  the same with entries killed one after the other.
stall:  half of the engines reject, the others read nothing for longer than a
        window and then everything at once. Retries of two windows once arrived
        in one.
refuse: half of the engines reject each call at once and state no load, the
        others are idle. Each first choice that is known to fail is a repeat too
        many.
herd:   random rounds of all of this; engines crash and come back with other ids,
        control instances are killed and entries frozen beside it.

Exits with 1 if more repeats than allowed reached a service within a window.
"""

import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))
sys.path.insert(0, str(ROOT / "tests" / "processes"))

from engine_statements import POOL, SpeakingEngine, begin_calls, worst_excess
from engine_statements import HOST
from harness import BOUNDS, BROKEN, HELD, NOT_RUN, document, main, route, service

ENGINES = 6
CLIENTS = 60
CLIENT_GAP_S = 0.15
CALM_S = 2 * BOUNDS["RetryWindowS"] + 2
# An entry spends what a calm time has earned within a second of rejections.
SPENDING_S = 0.8
STALL_S = 1.6 * BOUNDS["RetryWindowS"]


class FaultyEngine(SpeakingEngine):
    """Answers, rejects, or reads no request until it is woken. While it is down
    its connections are reset."""

    def __init__(self, run, number):
        super().__init__(run, number, type(self).behave_now)
        self.slots = 64
        self.rejected_share = 0.0
        self.awake = asyncio.Event()
        self.awake.set()

    async def execute(self, request):
        # A request that an engine has not read has not arrived.
        await self.awake.wait()
        return await super().execute(request)

    async def behave_now(self, request, execute):
        if random.random() < self.rejected_share:
            return self.rejection(request, {})
        return await execute(request)

    def rejection(self, request, headers):
        status, answer, body = super().rejection(request, headers)
        return status, answer | {"Instance-Load": f"0,0,{self.slots}"}, body

    async def crash(self, seconds):
        """Ends and comes back with another id at the same address."""
        self.server.close()
        self.is_listed = False
        await asyncio.sleep(seconds)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.is_listed = True
        await self.start()


def reject(run, share):
    for engine in run.engines:
        engine.rejected_share = share


async def onset(run):
    for _ in range(2):
        reject(run, 0.0)
        await asyncio.sleep(CALM_S)
        reject(run, 1.0)
        await asyncio.sleep(SPENDING_S)
        for node in run.fronts:
            node.kill()
        await asyncio.sleep(BOUNDS["RetryWindowS"])


async def turns(run):
    await asyncio.sleep(CALM_S)
    for _ in range(2):
        reject(run, 1.0)
        await asyncio.sleep(SPENDING_S)
        for node in run.fronts:
            node.kill()
            await asyncio.sleep(4 / len(run.fronts))
        await asyncio.sleep(2)
        reject(run, 0.0)
        await asyncio.sleep(CALM_S)


async def stall(run):
    await asyncio.sleep(CALM_S)
    for _ in range(2):
        for engine in run.engines[::2]:
            engine.rejected_share = 1.0
        for engine in run.engines[1::2]:
            engine.awake.clear()
        await asyncio.sleep(STALL_S)
        for engine in run.engines:
            engine.awake.set()
        await asyncio.sleep(4)


async def refuse(run):
    await asyncio.sleep(BOUNDS["RetryWindowS"] + 2)
    for engine in run.engines[::2]:
        engine.rejected_share = 1.0
    await asyncio.sleep(45)


async def herd(run):
    await asyncio.sleep(BOUNDS["RetryWindowS"] + 2)
    end = time.monotonic() + 60
    while time.monotonic() < end:
        reject(run, 0.0)
        await asyncio.sleep(random.uniform(0, 12))
        reject(run, random.choice([0.5, 0.8, 1.0]))
        for engine in random.sample(run.engines, random.randrange(3)):
            run.tasks.append(asyncio.ensure_future(engine.crash(random.uniform(0.5, 3))))
        stalled = random.sample(run.engines, random.randrange(3))
        for engine in stalled:
            engine.awake.clear()
        await asyncio.sleep(random.uniform(0.2, 2))
        frozen = random.sample(run.fronts, random.randrange(len(run.fronts) // 2))
        for node in frozen:
            node.signal(signal.SIGSTOP)
        for node in run.fronts:
            if node not in frozen and random.random() < 0.7:
                node.kill()
        if random.random() < 0.5:
            random.choice(run.cores).kill()
        await asyncio.sleep(random.uniform(0.5, 4))
        for node in frozen:
            node.signal(signal.SIGCONT)
        await asyncio.sleep(random.uniform(0.5, 3))
        for engine in stalled:
            engine.awake.set()


SCENES = {"onset": onset, "turns": turns, "stall": stall, "refuse": refuse,
          "herd": herd}


def check(scene):
    async def body(run):
        for number in range(ENGINES):
            FaultyEngine(run, number)
        await run.start()
        routes = [route("status", HOST, "/status/", "idempotent", POOL, attempts=3)]
        accepted = await run.replace_config(document(3, [service(POOL)], routes)) == 200
        if not accepted or not await run.wait_ready():
            return NOT_RUN
        calls = begin_calls(run, clients=CLIENTS, gap=CLIENT_GAP_S)
        await scene(run)
        await asyncio.sleep(1)
        seen, repeats = set(), []
        for at, attempt in sorted(a for e in run.engines for a in e.arrivals):
            if attempt in seen:
                repeats.append(at)
            seen.add(attempt)
        served = sum(call.status == 200 for call in calls)
        excess = worst_excess(repeats, [call.sent for call in calls])
        print(f"{len(calls)} calls, {served} served, {len(repeats)} repeats, "
              f"at worst {excess:.1f} above the bound")
        return BROKEN if excess > 0 else HELD

    return body


if __name__ == "__main__":
    random.seed(int(sys.argv[2]) if len(sys.argv) > 2 else 1)
    entries = int(sys.argv[3]) if len(sys.argv) > 3 else 8
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(main(check(SCENES[sys.argv[1]]), folder, fronts=entries))
