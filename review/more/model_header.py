"""No case: the finding on Model that KNOWN-RED.txt lists.

A request names an adapter with a byte that is no UTF-8 (TROUBLE=0: a1). Exits
with 1 if a control process ended by itself.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from harness import (BROKEN, HELD, NOT_RUN, Engine, document, main, new_attempt, route,
                     service)


async def case(run):
    Engine(run, 0, "ushauri", slots=32, models={"model0": set()})
    await run.start()
    pool = service("ushauri", 240) | {"Engine": {
        "Slots": 32, "KvCapacity": 90190, "WeightsMb": 230000.0, "AdapterSlots": 8,
        "LoadsPerS": 3.1, "Models": [
            {"Name": "model0", "WeightsMb": 72700.0, "LoadTimeS": 3.2, "Adapters": 38,
             "AdapterSizeMb": 66.0}]}}
    routes = [route("advice", "desk.example", "/advice/", "idempotent", "ushauri")]
    if await run.replace_config(document(3, [pool], routes)) != 200:
        return NOT_RUN
    if not await run.wait_ready():
        return NOT_RUN
    host, port = run.fronts[0].listen["Frontend"].split(":")
    adapter = b"\xfc1" if run.trouble else b"a1"
    for _ in range(3):
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /advice/ask HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " +
                     new_attempt().encode() + b"\r\nModel: model0/" + adapter +
                     b"\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n")
        await asyncio.sleep(3)
        writer.close()
    ends = sum(len(node.ends) for node in run.cores)
    run.note(f"control processes ended by themselves {ends} times")
    print(f"control processes ended by themselves {ends} times")
    return BROKEN if ends else HELD


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
