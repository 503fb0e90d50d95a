#!/usr/bin/env python3
"""Runs the real programs while the disks of control instances take no writes,
one after another and never two at once, beside changes of the operator. Run by
hand: full_disks.py [SEED [CONTROL_INSTANCES [START_DELAY_S]]]

A full disk is a limit on the size of files that the process may write, which it
may not exceed by a byte. The harness starts a process that ends by itself again;
with a long START_DELAY_S it stays away, as with a platform that waits longer.

Prints what the operator saw. Exits with 1 if a control instance ended by itself
or if a change had no acknowledgement while no disk was full.
"""

import asyncio
import functools
import pathlib
import random
import resource
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

import harness
from harness import BOUNDS, BROKEN, HELD, NOT_RUN, Engine, document, main, route, service

HOST = "desk.example"
POOL = "daftari"
ROUNDS = 2
CHANGE_PERIOD_S = 0.3
ACK_S = BOUNDS["AckMs"] / 1000


def set_disk_full(node, is_full):
    """Lets the process write no byte more, or as much as it likes."""
    limit = 0 if is_full else resource.RLIM_INFINITY
    try:
        resource.prlimit(node.process.pid, resource.RLIMIT_FSIZE,
                         (limit, resource.RLIM_INFINITY))
    except ProcessLookupError:
        return
    node.run.note(f"{node.name} disk {'full' if is_full else 'has room'}")


class Operator:
    """Sends one change after the other, each until it is acknowledged."""

    def __init__(self, run):
        self.run, self.version = run, 1
        self.acknowledged = []
        self.pending_since = None

    def next_document(self):
        self.version += 1
        routes = [route(f"r{i}", HOST, f"/r{i}/", "idempotent", POOL)
                  for i in range(1 + self.version % 40)]
        return document(self.version, [service(POOL)], routes)

    async def send_all(self):
        while True:
            self.pending_since = time.monotonic()
            status = await self.run.replace_config(self.next_document(), seconds=60)
            if status == 200:
                self.acknowledged.append((self.pending_since, time.monotonic()))
            self.pending_since = None
            await asyncio.sleep(CHANGE_PERIOD_S)


async def full_disks(run):
    Engine(run, 0, POOL)
    await run.start()
    operator = Operator(run)
    run.tasks.append(asyncio.ensure_future(operator.send_all()))
    if not await run.wait_ready(20):
        return NOT_RUN
    await asyncio.sleep(2)
    for _ in range(ROUNDS):
        for node in random.sample(run.cores, len(run.cores)):
            set_disk_full(node, True)
            await asyncio.sleep(random.choice([2, 4, 7]))
            set_disk_full(node, False)
            await asyncio.sleep(1)
    last_room = time.monotonic()
    await asyncio.sleep(2 * ACK_S)
    ends = [why for node in run.cores for _, why in node.ends]
    waits = [done - sent for sent, done in operator.acknowledged]
    late = operator.pending_since is not None and \
        time.monotonic() - max(operator.pending_since, last_room) > ACK_S
    print(f"{len(waits)} changes acknowledged, the slowest after {max(waits):.1f} s; "
          f"the last one {'was not' if late else 'was'} acknowledged in time; "
          f"{len(ends)} ends by themselves {sorted(set(ends))}")
    return BROKEN if ends or late else HELD


if __name__ == "__main__":
    # A write beyond the limit fails, as on a full disk, instead of ending the
    # process. The programs inherit this.
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    asyncio.create_subprocess_exec = functools.partial(
        asyncio.create_subprocess_exec, restore_signals=False)
    defaults = [1, 3, 0]
    arguments = [int(text) for text in sys.argv[1:]]
    seed, cores, delay = arguments + defaults[len(arguments):]
    random.seed(seed)
    harness.RESTART_DELAY_S = delay or harness.RESTART_DELAY_S
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(main(full_disks, folder, cores=cores))
