"""Checks that a control instance whose replica was removed joins anew within the
same process: a paused instance is replaced by another process under its name, and
resumed once that has ended."""

import signal
import sys
import time

from deployment import Deployment, wait_until


def replica_of(deployment, instance):
    """Returns the voting replica of an instance, or None."""
    for replica, name in deployment.voters().items():
        if name == instance:
            return replica
    return None


def main():
    deployment = Deployment(entries=2, engines=1)
    replacement = None
    problems = []
    try:
        deployment.start()
        deployment.wait_for_voters()
        paused = deployment.controls[-1]
        old_replica = replica_of(deployment, paused.name)
        paused.signal(signal.SIGSTOP)
        # The replacement has an empty disk and ports of its own; the leader
        # removes the paused replica, as its instance has another one.
        replacement = deployment.replacement_for(paused)
        replacement.start()
        wait_until(
            lambda: replica_of(deployment, paused.name) not in (None, old_replica),
            what="the replacement to vote",
        )
        new_replica = replica_of(deployment, paused.name)
        replacement.kill()
        paused.signal(signal.SIGCONT)
        wait_until(
            lambda: replica_of(deployment, paused.name)
            not in (None, old_replica, new_replica),
            what="the resumed instance to vote again",
        )
        if paused.child.poll() is not None:
            problems.append(f"the process ended with {paused.child.poll()}")
        time.sleep(0.5)
        for name, code in deployment.stop().items():
            if code != 0:
                problems.append(f"{name} exited with {code}")
    except RuntimeError as error:
        problems.append(str(error))
        if deployment.controls[-1].child.poll() is not None:
            problems.append(f"the process ended with {deployment.controls[-1].child.poll()}")
    finally:
        if replacement is not None:
            replacement.kill()
        deployment.kill_all()
    for problem in problems:
        print("VIOLATION:", problem)
    if problems:
        print("logs in", deployment.folder)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
