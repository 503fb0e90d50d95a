"""No case: the finding on Server-Limit that KNOWN-RED.txt lists.

One of two engines names 1 request a second; the leading control process is
killed once (TROUBLE=0: not at all). Exits like the scripts of the cases.
"""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from harness import (BROKEN, HELD, NOT_RUN, Client, Engine, document, main,
                     new_attempt, route, service)

HOST = "desk.example"
LIMIT = 1.0


async def client(run, node):
    while True:
        one = Client(run, node)
        await one.call("POST", "/status/read", {
            "Host": HOST, "Attempt-Id": new_attempt(), "Deadline-Ms": "6000"}, b"?")
        one.close()
        await asyncio.sleep(random.random() * 0.2)


async def case(run):
    engine = Engine(run, 0, "daftari", slots=6, work_s=0.05)
    Engine(run, 1, "daftari", slots=6, work_s=0.05)
    await run.start()
    routes = [route("status", HOST, "/status/", "idempotent", "daftari")]
    if await run.replace_config(document(3, [service("daftari")], routes)) != 200:
        return NOT_RUN
    if not await run.wait_ready():
        return NOT_RUN
    run.tasks += [asyncio.ensure_future(client(run, run.fronts[i % len(run.fronts)]))
                  for i in range(16)]
    await asyncio.sleep(6)
    arrivals, execute = [], engine.execute

    async def limited(request):
        arrivals.append(time.monotonic())
        status, headers, body = await execute(request)
        return status, headers | {"Server-Limit": str(LIMIT)}, body

    engine.execute = limited
    named = time.monotonic()
    await asyncio.sleep(10)
    if run.trouble:
        for node in run.cores:
            status, _ = await run.operator_call(node, "GET", "/api/Config.Read", follow=0)
            if status == 200:
                node.kill()
                break
    await asyncio.sleep(10)
    judged = [t for t in arrivals if t > named + 4]
    worst = max((sum(t <= u < t + 4 for u in judged) for t in judged), default=0)
    allowed = 1.5 * LIMIT * 4 + 5
    run.note(f"{worst} requests in some 4 s, {allowed:.0f} are allowed")
    print(f"{worst} requests in some 4 s, {allowed:.0f} are allowed")
    return BROKEN if worst > allowed else HELD


if __name__ == "__main__":
    sys.exit(main(case, FOLDER, fronts=8))
