"""Clients send PATCH requests whose bodies hold the text of another request;
other clients record payments beside them."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from harness import (BROKEN, HELD, NOT_RUN, Client, Engine, document, main,
                     new_attempt, route, service)

REQUESTS = 10
# Length that the quoted request of every second body gives for its own body,
# which the quote leaves out.
QUOTED_LENGTH = 150
HOST = "desk.example"


def note_body(payment, is_whole):
    """A saved HTTP exchange, as a support note on an order may quote it."""
    body = "amount=250&to=123"
    length = len(body) if is_whole else QUOTED_LENGTH
    return ("POST /payments/record HTTP/1.1\r\n"
            f"Host: {HOST}\r\n"
            f"Attempt-Id: {payment}\r\n"
            "Deadline-Ms: 6000\r\n"
            f"Content-Length: {length}\r\n\r\n" + (body if is_whole else "")).encode()


async def case(run):
    engine = Engine(run, 1, "daftari")
    await run.start()
    routes = [route("notes", HOST, "/notes/", "idempotent", "daftari"),
              route("payments", HOST, "/payments/", "non_idempotent", "daftari",
                    attempts=1)]
    if await run.replace_config(document(3, [service("daftari")], routes)) != 200:
        return NOT_RUN
    if not await run.wait_ready():
        return NOT_RUN
    # Without the trouble, the same bodies are sent with another method.
    method = "PATCH" if run.trouble else "PUT"
    sent = {}
    others = []
    for number in range(REQUESTS):
        client = Client(run, run.fronts[0])
        attempt, payment = new_attempt(), new_attempt()
        body = note_body(payment, is_whole=number % 2 == 0)
        path = f"/notes/{number}"
        sent[attempt] = (method, path, body)
        run.note(f"client sends {attempt} {method} {path} body {len(body)} B, which "
                 f"quotes {payment}")
        status, _, _ = await client.call(
            method, path, {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "6000",
                           "Content-Type": "message/http"}, body)
        run.note(f"client got {attempt} {status}")
        await asyncio.sleep(0.3)
        client.close()
        # Another client records a payment.
        client = Client(run, run.fronts[0])
        attempt = new_attempt()
        body = f"amount={number}&secret={attempt}".encode()
        sent[attempt] = ("POST", "/payments/record", body)
        others.append(attempt)
        status, _, _ = await client.call(
            "POST", "/payments/record",
            {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "3000"}, body)
        run.note(f"another client sent {attempt} POST /payments/record, got {status}")
        client.close()
    never_sent = [r for r in engine.runs if r[0] not in sent]
    changed = [r for r in engine.runs if r[0] in sent and r[1:] != sent[r[0]]]
    ran = {r[0] for r in engine.runs}
    swallowed = [a for a in others if a not in ran
                 and any(a.encode() in r[3] for r in never_sent)]
    for attempt in swallowed:
        run.note(f"the payment {attempt} of another client was not run; its head and "
                 "body were read as the body of a request that no client sent")
    run.note(f"{len(sent)} requests sent, {len(engine.runs)} runs, {len(changed)} with "
             f"a changed body, {len(never_sent)} of requests that no client sent")
    # UNASKED: an engine runs a request whose id no client sent, or one that was
    # smuggled inside another request, or with its body changed.
    is_broken = bool(never_sent or changed)
    run.note("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
