"""Checks that an instance joins while the only instances that it was told of follow:
the leader is named to nobody by the settings."""

import sys

from deployment import Deployment, wait_until

# The shortest time after which an instance that is back must bear the next loss.
CATCH_UP_SECONDS = 4


def main():
    deployment = Deployment(entries=2, engines=1)
    joiner = None
    problems = []
    try:
        deployment.start()
        deployment.wait_for_voters()
        status = deployment.admin_anywhere("GET", "/admin/status").json()
        leader = status["voters"][status["leader"]]["instance"]
        joiner = deployment.joiner("control-4", without=[leader])
        joiner.start()
        wait_until(
            lambda: "control-4" in deployment.voters().values(),
            seconds=CATCH_UP_SECONDS,
            what="the new instance to vote",
        )
        for name, code in deployment.stop().items():
            if code != 0:
                problems.append(f"{name} exited with {code}")
    except RuntimeError as error:
        problems.append(str(error))
    finally:
        if joiner is not None:
            joiner.kill()
        deployment.kill_all()
    for problem in problems:
        print("VIOLATION:", problem)
    if problems:
        print("logs in", deployment.folder)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
