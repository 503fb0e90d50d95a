"""Restarts every process in turn under load and checks that no call fails."""

import http.client
import random
import sys
import threading
import time
import urllib.error

from deployment import Deployment, ask

WORKERS = 4
BALANCER_PERIOD_SECONDS = 0.05


class Balancer(threading.Thread):
    """Polls /readyz of the entries and lists those that were ready, as the load
    balancer of a platform does."""

    def __init__(self, entries):
        super().__init__(daemon=True)
        self.entries = entries
        self.ready_entries = list(entries)
        self.stopped = threading.Event()

    def run(self):
        while not self.stopped.is_set():
            self.ready_entries = [entry for entry in self.entries if self.is_ready(entry)]
            time.sleep(BALANCER_PERIOD_SECONDS)

    @staticmethod
    def is_ready(entry):
        try:
            return ask(entry.port, "GET", "/readyz", timeout=2).status == 200
        except OSError:
            return False


class Caller(threading.Thread):
    """Sends calls one after another and records those without a complete answer."""

    def __init__(self, deployment, balancer, index, stop):
        super().__init__()
        self.deployment = deployment
        self.balancer = balancer
        self.random = random.Random(index)
        self.stop = stop
        self.problems = []
        self.count = 0

    def run(self):
        while not self.stop.is_set():
            ready_entries = self.balancer.ready_entries
            if not ready_entries:
                time.sleep(0.01)
                continue
            entry = self.random.choice(ready_entries)
            stream = self.random.random() < 0.5
            body = {
                "model": "adv",
                "stream": stream,
                "messages": [{"role": "user", "content": "tokens=40 interval_ms=4"}],
            }
            try:
                answer = ask(
                    entry.port, "POST", "/v1/chat/completions", body, self.deployment.caller_key
                )
            except (OSError, urllib.error.URLError, http.client.HTTPException) as error:
                self.problems.append(f"{entry.name}: {error!r}")
                continue
            self.count += 1
            text = answer.body.decode()
            is_complete = "t39 " in text and ("[DONE]" in text or not stream)
            if answer.status != 200 or not is_complete:
                self.problems.append(f"{entry.name}: {answer.status} {text[-200:]}")


def main():
    deployment = Deployment(engines=2)
    stop = threading.Event()
    problems = []
    try:
        deployment.start()
        deployment.apply(deployment.tree())
        deployment.wait_for_revision(1)
        deployment.wait_for_models(["advice@v2"])
        balancer = Balancer(deployment.entries)
        balancer.start()
        callers = [Caller(deployment, balancer, i, stop) for i in range(WORKERS)]
        for caller in callers:
            caller.start()
        for process in deployment.entries + deployment.controls:
            time.sleep(0.5)
            code = process.stop()
            if code != 0:
                problems.append(f"{process.name} exited with {code}")
            process.restart()
            if process in deployment.entries:
                deployment.wait_for_revision(1)
                deployment.wait_for_models(["advice@v2"])
        time.sleep(0.5)
        stop.set()
        for caller in callers:
            caller.join()
            problems += caller.problems
        balancer.stopped.set()
        print("calls", sum(caller.count for caller in callers))
    finally:
        stop.set()
        deployment.kill_all()
    for problem in problems[:20]:
        print("VIOLATION:", problem)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
