"""Many clients read long streams slowly. The entry has to stay within its memory."""

import asyncio
import os
import pathlib
import signal
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from lab import Engine, document, models, new_attempt, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 240
ENGINES, SLOTS = 18, 32
MEMORY_MB = 260
# One token an event, and a step of 5 ms.
EVENTS, EVENTS_PER_WRITE, WRITE_S = 6700, 10, 0.05
SLOW_BYTES, SLOW_S = 200, 1.0
PLAY_S, SAMPLE_S = 62, 0.05
HELD, BROKEN, NOT_RUN = 0, 1, 2


class LongAnswers(Engine):
    async def run(self, request, reader, writer):
        self.lab.ran(self, request)
        count = EVENTS if request.path.startswith("/advice/long") else 3
        await self.start_stream(request, writer)
        for first in range(1, count + 1, EVENTS_PER_WRITE):
            last = min(count, first + EVENTS_PER_WRITE - 1)
            writer.write(b"".join(self.chunk(b"id: %d\ndata: token\n\n" % i)
                                  for i in range(first, last + 1)))
            await writer.drain()
            await asyncio.sleep(WRITE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def request_head(path):
    lines = [f"POST {path} HTTP/1.1", "Host: desk.example", f"Attempt-Id: {new_attempt()}",
             "Model: m1", f"Token-Usage: 60,{EVENTS}",
             f"Prompt-Prefix: 5c1e07a2:10,{new_attempt()}:50", "Deadline-Ms: 60000",
             "Content-Length: 2", "", "hi"]
    return "\r\n".join(lines).encode()


async def read_stream(address, index, sockets):
    """Reads one long answer, slowly if there is trouble."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(index * 0.01)
    client = socket.socket()
    sockets.append(client)
    client.setblocking(False)
    # Windows as small as those of a network; loopback has larger ones.
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    await loop.sock_connect(client, address)
    await loop.sock_sendall(client, request_head("/advice/long"))
    first = await loop.sock_recv(client, 12)
    if first != b"HTTP/1.1 200":
        return first.decode()
    while True:
        data = await loop.sock_recv(client, SLOW_BYTES if TROUBLE else 65536)
        if not data:
            return "cut"
        if data.endswith(b"0\r\n\r\n"):
            return "complete"
        if TROUBLE:
            await asyncio.sleep(SLOW_S)


async def play(lab):
    for _ in range(ENGINES):
        LongAnswers(lab, "llm", ["m1"], slots=SLOTS)
    await lab.start()
    config = document(3, [models("llm", ["m1"], SLOTS, stride=1)],
                      [route("advice", "/advice/", "streaming", "llm", TimeoutMs=60000)])
    if await lab.replace(config) != 200 or not await lab.wait_ready():
        return NOT_RUN
    await asyncio.sleep(2)
    entry = lab.entries[0]
    address = (entry.ip, lab.ports["front"])
    headers = [("Host", "desk.example"), ("Model", "m1"), ("Token-Usage", "60,3"),
               ("Prompt-Prefix", "5c1e07a2:10,aa:50"), ("Deadline-Ms", "4000")]
    status, _, _ = await lab.call(*address, "POST", "/advice/short",
                                  [*headers, ("Attempt-Id", new_attempt())], b"hi")
    if status != 200:
        return NOT_RUN
    sockets = []
    readers = [asyncio.create_task(read_stream(address, i, sockets)) for i in range(CLIENTS)]
    used = peak = 0.0
    for tick in range(int(PLAY_S / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S)
        used = entry.memory_mb()
        peak = max(peak, used)
        if tick % 20 == 0:
            running = sum(engine.running for engine in lab.engines)
            ended = sum(reader.done() for reader in readers)
            lab.note("entry", memory_mb=round(used), streams_at_engines=running, ended=ended)
        if used > MEMORY_MB or not entry.is_up() or all(r.done() for r in readers):
            break
    is_within = entry.is_up() and peak <= MEMORY_MB
    if peak > MEMORY_MB:
        # What the platform does with a process over its limit.
        lab.note("kill", node=entry.name, memory_mb=round(used), limit_mb=MEMORY_MB)
        entry.signal(signal.SIGKILL)
        entry.process.wait()
    await asyncio.sleep(1)
    results = [("open" if not r.done() else repr(r.exception()) if r.exception() else r.result())
               for r in readers]
    for result in sorted(set(results)):
        lab.note("streams", result=result, count=results.count(result))
    for reader in readers:
        reader.cancel()
    for client in sockets:
        client.close()
    lab.note("result", peak_mb=round(peak), limit_mb=MEMORY_MB,
             verdict="held" if is_within else "broken")
    print(f"peak {peak:.0f} MB, limit {MEMORY_MB} MB: {'held' if is_within else 'broken'}")
    started = sum(1 for runs in lab.runs.values() if runs)
    if started < CLIENTS // 2:
        return NOT_RUN
    return HELD if is_within else BROKEN


sys.exit(run_case(play, FOLDER / "record.txt", memory=(MEMORY_MB, 256)))
