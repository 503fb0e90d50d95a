"""Starts a small deployment, declares models, calls them and shuts it down."""

import sys

from deployment import Deployment, ask, wait_until


def chat(deployment, entry, model, stream, headers=None):
    return ask(
        deployment.entries[entry].port,
        "POST",
        "/v1/chat/completions",
        {
            "model": model,
            "stream": stream,
            "messages": [{"role": "user", "content": "How much salt for 12 kg?"}],
        },
        deployment.caller_key,
        headers,
    )


def expect(condition, text):
    if not condition:
        raise RuntimeError(text)


# Calls models by the names of each naming scheme, with and without streaming.
def call_names(deployment):
    names = [
        ("adv", {}),
        ("meat/curing/advice", {}),
        ("KN-ADVICE", {"X-Naming-Scheme": "legacy"}),
        ("adv:sw@a1", {}),
        ("KN-SW", {}),
        ("led", {}),
        ("orders/ledger", {}),
        ("legacy!KN-LEDGER", {}),
    ]
    for i, (name, headers) in enumerate(names):
        for stream in (False, True):
            entry = i % len(deployment.entries)
            answer = chat(deployment, entry, name, stream, headers)
            expect(answer.status == 200, f"{name}: {answer.status} {answer.body}")
            if stream:
                events = answer.body.decode().split("\n\n")
                expect(events[-2] == "data: [DONE]", f"{name}: stream ended without [DONE]")
                print(f"  {name:22} streamed by entry-{entry + 1}: {len(events) - 2} tokens")
            else:
                body = answer.json()
                text = body["choices"][0]["message"]["content"]
                print(f"  {name:22} reached {body['model']}: {text[:40]}...")


# Sends one payment three times with the same idempotency key; it may run once.
def pay_once(deployment):
    headers = {"Idempotency-Key": "payment-7"}
    bodies = []
    for entry in (0, 1, 2):
        answer = ask(
            deployment.entries[entry].port,
            "POST",
            "/services/payments/transfer",
            {"amount": 120},
            deployment.caller_key,
            headers,
        )
        expect(answer.status == 200, f"payment: {answer.status} {answer.body}")
        bodies.append(answer.json())
    expect(all(body["run"] == 1 for body in bodies), f"payment ran twice: {bodies}")
    print("  payment-7 sent three times at three entries: run", bodies[0]["run"], "time")


def main():
    deployment = Deployment()
    try:
        deployment.start()
        print("started:", ", ".join(p.name for p in deployment.all()))
        deployment.apply(deployment.tree())
        deployment.wait_for_revision(1)
        print("settings of revision 1 are in force on every entry")
        deployment.wait_for_models(["advice@v2", "advice:swahili@a1", "ledger"])
        print("calls:")
        call_names(deployment)
        pay_once(deployment)
        listing = deployment.ctl("list", "names")
        print("names:\n" + "".join("  " + l + "\n" for l in listing.stdout.splitlines()))
        codes = deployment.stop()
        print("exit codes:", codes)
        expect(all(code == 0 for code in codes.values()), "a process exited with a nonzero code")
    except RuntimeError as error:
        print("demo failed:", error, "logs in", deployment.folder, file=sys.stderr)
        return 1
    finally:
        deployment.kill_all()
    return 0


if __name__ == "__main__":
    sys.exit(main())
