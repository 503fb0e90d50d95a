"""The answers of one engine are lost. A payment must run once, also if its route is resumable."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from lab import Engine, document, new_attempt, plain, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The dose of answer_lost on the site's standard days: x = 0.4 of the requests, for 4 s, at one
# server of three (share 0.6 there).
LOST_OF_FIVE, TROUBLE_S = 2, 4.0
PAYMENTS, GAP_S = 70, 0.05
ENGINES, SLOTS, WORK_S = 3, 6, 0.06
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Ledger(Engine):
    """Runs each request; `loses` resets the connection in place of some of the answers."""

    loses = False
    ran = 0

    async def run(self, request, reader, writer):
        self.ran += 1
        if self.loses and TROUBLE and self.ran % 5 < LOST_OF_FIVE:
            self.lab.ran(self, request)
            await asyncio.sleep(WORK_S)
            self.lab.note("answer-lost", engine=self.id, attempt=request.attempt)
            writer.transport.abort()
            return False
        await asyncio.sleep(WORK_S)
        return await super().run(request, reader, writer)


async def play(lab):
    engines = [Ledger(lab, "ledger", slots=SLOTS) for _ in range(ENGINES)]
    engines[0].loses = True
    await lab.start()
    payment = route("payment", "/payment/", "non_idempotent", "ledger", TimeoutMs=6000,
                    Resumable=True)
    if await lab.replace(document(3, [plain("ledger")], [payment])) != 200:
        return NOT_RUN
    if not await lab.wait_ready():
        return NOT_RUN
    entry = lab.entries[0]
    statuses = {}

    async def pay():
        attempt = new_attempt()
        lab.note("sent", attempt=attempt)
        statuses[attempt], _, _ = await lab.call(
            entry.ip, lab.ports["front"], "POST", "/payment/1",
            [("Host", "desk.example"), ("Attempt-Id", attempt), ("Deadline-Ms", "6000")],
            b"pay 100", 7)
        lab.note("answered", attempt=attempt, status=statuses[attempt])

    await lab.wait_in_touch()
    begun = time.monotonic()
    payments = []
    for _ in range(PAYMENTS):
        payments.append(asyncio.create_task(pay()))
        await asyncio.sleep(GAP_S)
    if time.monotonic() - begun > TROUBLE_S:
        return NOT_RUN
    await asyncio.gather(*payments)
    twice = {attempt: runs for attempt, runs in lab.runs.items() if len(runs) > 1}
    for attempt, runs in twice.items():
        lab.note("twice", attempt=attempt, engines=",".join(runs),
                 status=statuses.get(attempt))
    print(f"{len(statuses)} payments, {len(lab.runs)} ran, {len(twice)} of them twice")
    if len(lab.runs) < PAYMENTS // 2:
        return NOT_RUN
    return BROKEN if twice else HELD


sys.exit(run_case(play, FOLDER / "record.txt"))
