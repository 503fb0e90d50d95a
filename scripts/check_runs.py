"""Checks the outcomes of calls while real processes are killed, paused and
restarted, and while control instances lose their disks."""

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
    """Outcomes that callers received, by idempotency key, and violations found."""

    def __init__(self):
        self.lock = threading.Lock()
        self.outcomes = {}
        self.problems = []
        self.counts = {}

    def record(self, key, outcome):
        with self.lock:
            self.outcomes.setdefault(key, []).append(outcome)
            self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def add_problem(self, text):
        with self.lock:
            self.problems.append(text)


class Worker(threading.Thread):
    """Sends payments with idempotency keys, some of them twice at the same time,
    and chat completions."""

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

    def random_entry(self):
        return self.random.choice(self.deployment.entries)

    def send(self, entry, key, body):
        """Sends one payment and returns its outcome as the caller sees it."""
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
            payment = answer.json()
            # The service puts the key into its answer, also when the answer is
            # replayed from a claim. Only a claim that an operator settled has no
            # answer of the service, and this script settles none.
            if payment.get("key") != key:
                self.history.add_problem(f"{key}: got the answer of {payment.get('key')}")
            return "answered"
        return answer.json()["error"]["outcome"]

    def pay(self):
        key = f"k-{self.index}-{self.count}"
        body = {"amount": self.count, "key": key}
        duplicate = None
        if self.random.random() < 0.3:
            entry = self.random_entry()
            duplicate = threading.Thread(
                target=lambda: self.history.record(key, self.send(entry, key, body))
            )
            duplicate.start()
        for _ in range(3):
            outcome = self.send(self.random_entry(), key, body)
            self.history.record(key, outcome)
            if outcome == "answered" or self.stop_event.is_set():
                break
            time.sleep(0.05)
        if duplicate is not None:
            duplicate.join()

    def chat(self):
        prompt = f"p-{self.index}-{self.count}-end tokens=3"
        try:
            answer = ask(
                self.random_entry().port,
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
            self.history.add_problem(f"{prompt}: got {text}")


class FaultInjector:
    """Injects a seeded schedule of faults one after another, so that at most one
    control instance is faulty at a time."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.log = []

    def inject_fault(self):
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

    # Restarts a control instance with an empty data folder and waits until a new
    # replica votes in place of its old one.
    def lose_disk(self):
        control = self.random.choice(self.deployment.controls)
        self.deployment.wait_for_voters()
        lost = [id for id, name in self.deployment.voters().items() if name == control.name]
        control.kill()
        shutil.rmtree(self.deployment.data_folder(control))
        time.sleep(self.random.uniform(0.1, 0.5))
        control.restart()
        self.deployment.wait_for_voters(lost)

    # Pauses a control instance.
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

    # Pauses an entry.
    def stop_entry(self):
        entry = self.random.choice(self.deployment.entries)
        entry.signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.2, 1.5))
        entry.signal(signal.SIGCONT)


def check_outcomes(deployment, history):
    """Compares the outcomes that callers received with the executions of the
    service and returns the executions."""
    executions = ask(deployment.service.port, "GET", "/executions").json()
    for key, runs in executions.items():
        if runs > 1:
            history.add_problem(f"{key} ran {runs} times")
    for key, outcomes in history.outcomes.items():
        runs = executions.get(key, 0)
        if "answered" in outcomes and runs != 1:
            history.add_problem(f"{key} was answered but ran {runs} times")
        if set(outcomes) == {"not_run"} and runs != 0:
            history.add_problem(f"{key} was reported as not_run but ran")
    return executions


def check_quiet_entries(deployment, history):
    """Checks that entries without settings wait for them and don't request them
    in a loop."""
    max_bytes = 256 * 1024
    time.sleep(2)
    for entry in deployment.entries:
        for line in ask(entry.port, "GET", "/metrics").body.decode().splitlines():
            if line.startswith("celeryspread_wire_bytes ") and float(line.split()[1]) > max_bytes:
                history.add_problem(
                    f"{entry.name} exchanged {line.split()[1]} bytes without settings"
                )


def run(seconds, seed):
    deployment = Deployment(engines=2)
    history = History()
    stop = threading.Event()
    faults = FaultInjector(deployment, seed)
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
            faults.inject_fault()
            time.sleep(0.5)
        stop.set()
        for worker in workers:
            worker.join()
        deployment.wait_for_leader()
        executions = check_outcomes(deployment, history)
        if deployment.read_tree()["revision"] != 1:
            history.add_problem("the accepted revision was lost")
        codes = deployment.stop()
        for name, code in codes.items():
            if code != 0:
                history.add_problem(f"{name} exited with {code}")
    finally:
        stop.set()
        deployment.kill_all()
    print(f"seed {seed}: faults {faults.log}")
    print(f"keys {len(history.outcomes)}, executed {len(executions)}, outcomes {history.counts}")
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
