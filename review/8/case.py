"""Some answers of one service are an event without end. Callers of another service must
still get a final answer when their route's time is over."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from lab import Engine, document, new_attempt, plain, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENGINES, SLOTS = 18, 32
# Shares of garble in the users' own day: 0.6 of the servers, 0.2 of their answers.
TROUBLED, ONE_ANSWER_OF = 10, 5
STREAMS, STREAM_GAP_S, STREAM_DEADLINE_S = 500, 0.01, 12
# A sound stream: 47 events, as on the sheet.
EVENTS, EVENT_GAP_S = 47, 0.03
TOKEN = b"x\n"
TOKENS_PER_WRITE = 500
PAYMENTS, PAYMENT_GAP_S, PAYMENT_DEADLINE_S = 150, 0.1, 6
TIMEOUT_S, GRACE_S = 2.0, 0.5
HELD, BROKEN, NOT_RUN = 0, 1, 2


class EndlessEvent(Engine):
    is_troubled = False
    ran = spoilt = 0

    async def run(self, request, reader, writer):
        self.lab.ran(self, request)
        self.ran += 1
        await self.start_stream(request, writer)
        if not (TROUBLE and self.is_troubled and self.ran % ONE_ANSWER_OF == 0):
            for number in range(1, EVENTS + 1):
                writer.write(self.chunk(b"id: %d\ndata: token\n\n" % number))
                await writer.drain()
                await asyncio.sleep(EVENT_GAP_S)
            writer.write(b"0\r\n\r\n")
            return True
        self.spoilt += 1
        tokens = self.chunk(TOKEN) * TOKENS_PER_WRITE
        while not writer.is_closing():
            writer.write(tokens)
            await writer.drain()
        return False


async def play(lab):
    for index in range(ENGINES):
        EndlessEvent(lab, "advice", slots=SLOTS).is_troubled = index < TROUBLED
    for _ in range(3):
        Engine(lab, "ledger", slots=6)
    await lab.start()
    config = document(3, [plain("advice"), plain("ledger")],
                      [route("advice", "/advice/", "streaming", "advice", Sticky=False,
                             TimeoutMs=STREAM_DEADLINE_S * 1000),
                       route("payment", "/payment/", "non_idempotent", "ledger",
                             TimeoutMs=round(TIMEOUT_S * 1000))])
    if await lab.replace(config) != 200 or not await lab.wait_ready():
        return NOT_RUN
    entry = lab.entries[0]

    async def call(path, deadline_s):
        begun = time.monotonic()
        status, _, _ = await lab.call(
            entry.ip, lab.ports["front"], "POST", path,
            [("Host", "desk.example"), ("Attempt-Id", new_attempt()),
             ("Deadline-Ms", str(deadline_s * 1000))], b"x", deadline_s)
        took = time.monotonic() - begun
        lab.note("answer", path=path, status=status, after_s=round(took, 2))
        return status, took

    async def stream(index):
        await asyncio.sleep(index * STREAM_GAP_S)
        return await call("/advice/1", STREAM_DEADLINE_S)

    async def probe():
        begun = time.monotonic()
        status, _, _ = await lab.call(entry.ip, lab.ports["ready"], "GET", "/api/readyz",
                                      [("Host", "platform")], b"", 1.0)
        lab.note("readyz", status=status, after_s=round(time.monotonic() - begun, 2))
        return status

    lags = []

    async def watch_own_loop():
        while True:
            begun = time.monotonic()
            await asyncio.sleep(0.05)
            lags.append(time.monotonic() - begun - 0.05)

    if (await call("/payment/0", PAYMENT_DEADLINE_S))[0] != 200:
        return NOT_RUN
    await lab.wait_in_touch()
    begun = time.monotonic()
    watch = asyncio.create_task(watch_own_loop())
    streams = [asyncio.create_task(stream(i)) for i in range(STREAMS)]
    payments, probes = [], []
    for number in range(PAYMENTS):
        payments.append(asyncio.create_task(call("/payment/1", PAYMENT_DEADLINE_S)))
        if number % round(1 / PAYMENT_GAP_S) == 0:
            probes.append(asyncio.create_task(probe()))
        await asyncio.sleep(PAYMENT_GAP_S)
    results = await asyncio.gather(*payments)
    await asyncio.gather(*streams)
    ready = await asyncio.gather(*probes)
    watch.cancel()
    lab.note("own-loop", longest_lag_s=round(max(lags), 3))
    longer = [took for _, took in results if took > TIMEOUT_S]
    late = [took for took in longer if took > TIMEOUT_S + GRACE_S]
    is_broken = len(late) >= 8 and len(late) > len(longer) / 2
    text = (f"{len(results)} payments, {len(longer)} without an answer at their route's time, "
            f"{len(late)} of them half a second later, the last after "
            f"{max(took for _, took in results):.1f} s; {ready.count(200)} of {len(ready)} "
            f"readiness probes answered")
    lab.note("result", text=f'"{text}"', verdict="broken" if is_broken else "held")
    print(text, f"; the stand-ins were late by {max(lags):.2f} s at most")
    spoilt = sum(getattr(engine, "spoilt", 0) for engine in lab.engines)
    lab.note("spoilt", answers=spoilt)
    print(f"{spoilt} of {STREAMS} streams were spoilt")
    if sum(len(engine.arrivals) for engine in lab.engines) < STREAMS // 2 or max(lags) > 0.25:
        return NOT_RUN
    if not lab.is_in_touch(begun):
        return NOT_RUN
    return BROKEN if is_broken else HELD


sys.exit(run_case(play, FOLDER / "record.txt"))
