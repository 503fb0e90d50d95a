"""The operator sends one configuration that is cut short inside a character."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from harness import BROKEN, HELD, NOT_RUN, Engine, document, main, route, service

WATCH_S = 60
ENDS_OF_A_MACHINE = 3


async def case(run):
    Engine(run, 1, "sklad")
    await run.start()
    routes = [route("наличност", "sklad.example", "/stock/", "idempotent", "sklad")]
    first = document(7, [service("sklad")], routes)
    if await run.replace_config(first, label="version 7, valid") != 200:
        return NOT_RUN
    if not await run.wait_ready():
        return NOT_RUN
    if run.trouble:
        text = json.dumps(document(9, [service("sklad")], routes), ensure_ascii=False)
        whole = text.encode()
        # The first byte of the two of a Cyrillic letter is the last one sent.
        cut = whole[:whole.index("наличност".encode()) + 1]
        status = await run.replace_config(
            cut, seconds=WATCH_S, label=f"version 9, cut short to {len(cut)} bytes")
        run.note(f"the invalid configuration got {status or 'no response'}")
    else:
        await asyncio.sleep(WATCH_S)
    status = await run.replace_config(
        document(12, [service("sklad")], routes), label="version 12, valid")
    run.note(f"the valid configuration got {status or 'no response'}")
    if any(node.signalled_at for node in run.cores):
        return NOT_RUN
    often = [n for n in run.cores if len(n.ends) >= ENDS_OF_A_MACHINE]
    for node in run.cores:
        run.note(f"{node.name}: ended by itself {len(node.ends)} times; last lines "
                 f"{node.log_tail()}")
    # Fault: on half of the core, processes end by themselves three times.
    is_broken = 2 * len(often) >= len(run.cores)
    run.note("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
