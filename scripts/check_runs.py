"""History check on real processes with kills, stops, restarts, lost disks."""

import argparse
import random
import shutil
import sys
import threading
import time

import http.client
import signal
import urllib.error

from deployment import Deployment, ask, wait_until

WORKERS = 6


class History:
    """What callers were told, by key."""

    def __init__(self):
        self.lock = threading.Lock()
        self.outcomes = {}
        self.problems = []
        self.counts = {}

    def note(self, key, outcome):
        with self.lock:
            self.outcomes.setdefault(key, []).append(outcome)
            self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def problem(self, text):
        with self.lock:
            self.problems.append(text)


class Worker(threading.Thread):
    """Sends keyed payments, sometimes twice at once, and chats."""

    def __init__(self, deployment, history, index, seed, stop):
        super().__init__()
        self.deployment = deployment
        self.history = history
        self.index = index
        self.random = random.Random(seed * 1000 + index)
        self.stop_event = stop
        self.count = 0

    def run(self):
        while not self.stop_event.is_set():
            self.count += 1
            if self.random.random() < 0.3:
                self.chat()
            else:
                self.pay()

    def entry(self):
        return self.random.choice(self.deployment.entries)

    def send(self, entry, key, body):
        """Sends one payment and returns the outcome a caller can rely on."""
        try:
            answer = ask(
                entry.port,
                "POST",
                "/services/payments/transfer",
                body,
                self.deployment.caller_key,
                {"Idempotency-Key": key},
                timeout=8,
            )
        except (OSError, urllib.error.URLError, http.client.HTTPException):
            return "no_answer"
        if answer.status == 200:
            told = answer.json()
            # A settled claim has no echo; the service's own answer has one.
            if told.get("key") != key:
                self.history.problem(f"{key}: got the answer of {told.get('key')}")
            return "answered"
        return answer.json()["error"]["outcome"]

    def pay(self):
        key = f"k-{self.index}-{self.count}"
        body = {"amount": self.count, "key": key}
        twin = None
        if self.random.random() < 0.3:
            entry = self.entry()
            twin = threading.Thread(
                target=lambda: self.history.note(key, self.send(entry, key, body))
            )
            twin.start()
        for _ in range(3):
            outcome = self.send(self.entry(), key, body)
            self.history.note(key, outcome)
            if outcome == "answered" or self.stop_event.is_set():
                break
            time.sleep(0.05)
        if twin is not None:
            twin.join()

    def chat(self):
        prompt = f"p-{self.index}-{self.count}-end tokens=3"
        try:
            answer = ask(
                self.entry().port,
                "POST",
                "/v1/chat/completions",
                {"model": "adv", "messages": [{"role": "user", "content": prompt}]},
                self.deployment.caller_key,
                timeout=8,
            )
        except (OSError, urllib.error.URLError, http.client.HTTPException):
            return
        if answer.status != 200:
            return
        text = answer.json()["choices"][0]["message"]["content"]
        if not text.endswith("for:" + prompt) or not text.startswith("t0 t1 t2 "):
            self.history.problem(f"{prompt}: got {text}")


class Faults:
    """Seeded schedule of faults; at most one control instance is hurt at once."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.log = []

    def step(self):
        fault = self.random.choice(
            [self.kill_control, self.stop_control, self.lose_disk, self.kill_entry, self.stop_entry]
        )
        self.log.append(fault.__name__)
        fault()

    def kill_control(self):
        control = self.random.choice(self.deployment.controls)
        control.kill()
        time.sleep(self.random.uniform(0.1, 1.5))
        control.restart()

    def lose_disk(self):
        control = self.random.choice(self.deployment.controls)
        self.deployment.wait_for_voters()
        lost = [id for id, name in self.deployment.voters().items() if name == control.name]
        control.kill()
        shutil.rmtree(self.deployment.data_folder(control))
        time.sleep(self.random.uniform(0.1, 0.5))
        control.restart()
        self.deployment.wait_for_voters(lost)

    def stop_control(self):
        control = self.random.choice(self.deployment.controls)
        control.signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.5, 3))
        control.signal(signal.SIGCONT)

    def kill_entry(self):
        entry = self.random.choice(self.deployment.entries)
        entry.kill()
        time.sleep(self.random.uniform(0.1, 0.5))
        entry.restart()

    def stop_entry(self):
        entry = self.random.choice(self.deployment.entries)
        entry.signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.2, 1.5))
        entry.signal(signal.SIGCONT)


def check(deployment, history):
    """Holds what callers were told against what the service executed."""
    executions = ask(deployment.service.port, "GET", "/executions").json()
    for key, runs in executions.items():
        if runs > 1:
            history.problem(f"{key} ran {runs} times")
    for key, outcomes in history.outcomes.items():
        runs = executions.get(key, 0)
        if "answered" in outcomes and runs != 1:
            history.problem(f"{key} was answered but ran {runs} times")
        if set(outcomes) == {"not_run"} and runs != 0:
            history.problem(f"{key} is said not_run but ran")
    return executions


def check_quiet_entries(deployment, history):
    """An entry without settings must wait for them, not ask in a loop."""
    limit = 256 * 1024
    time.sleep(2)
    for entry in deployment.entries:
        for line in ask(entry.port, "GET", "/metrics").body.decode().splitlines():
            if line.startswith("celeryspread_wire_bytes ") and float(line.split()[1]) > limit:
                history.problem(f"{entry.name} moved {line.split()[1]} bytes without settings")


def run(seconds, seed):
    deployment = Deployment(engines=2)
    history = History()
    stop = threading.Event()
    faults = Faults(deployment, seed)
    try:
        deployment.start()
        check_quiet_entries(deployment, history)
        deployment.apply(deployment.tree())
        deployment.wait_for_revision(1)
        deployment.wait_for_models(["advice@v2"])
        workers = [Worker(deployment, history, i, seed, stop) for i in range(WORKERS)]
        for worker in workers:
            worker.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            faults.step()
            time.sleep(0.5)
        stop.set()
        for worker in workers:
            worker.join()
        deployment.wait_for_leader()
        executions = check(deployment, history)
        if deployment.admin("GET", "/admin/tree").json()["revision"] != 1:
            history.problem("the accepted revision was lost")
        codes = deployment.stop()
        for name, code in codes.items():
            if code != 0:
                history.problem(f"{name} exited with {code}")
    finally:
        stop.set()
        deployment.kill_all()
    print(f"seed {seed}: faults {faults.log}")
    print(f"keys {len(history.outcomes)}, executed {len(executions)}, told {history.counts}")
    for problem in history.problems:
        print("VIOLATION:", problem)
    if history.problems:
        print("logs in", deployment.folder)
    return 1 if history.problems else 0


def main():
    parser = argparse.ArgumentParser(prog="scripts/check-runs")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    return run(options.seconds, options.seed)


if __name__ == "__main__":
    sys.exit(main())
