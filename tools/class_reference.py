"""Prints docs/CLASSES.md from the doc comments of the headers."""

import re
import subprocess

PACKAGES = (
    "core settings catalog telemetry consensus ledger wire storage http reports "
    "routing placement admission retry entry control ctl main tools"
).split()
DECLARATION = re.compile(
    r"((?:^///.*\n)+)(?:^template<.*>\n)?^(class|struct|enum class) (\w+)[^;]*?$", re.M
)


def brief(comment):
    """Returns the text of a doc comment before its first tag such as @pre."""
    text = " ".join(line[3:].strip() for line in comment.strip().splitlines())
    return re.split(r" @(?:pre|thread|error|unit|return)", text)[0].strip()


def main():
    print("# Classes\n")
    print("Made by `scripts/generate` from the doc comments of the headers.")
    for package in PACKAGES:
        listing = subprocess.run(
            ["git", "ls-files", "--cached", "--others", "--exclude-standard", f"{package}/*.h"],
            capture_output=True,
            text=True,
            check=True,
        )
        rows = []
        for path in sorted(listing.stdout.split()):
            if ".capnp." in path:
                continue
            with open(path) as header:
                for comment, kind, name in DECLARATION.findall(header.read()):
                    rows.append((name, path, brief(comment)))
        if not rows:
            continue
        print(f"\n## {package}\n")
        print("| name | header | purpose |\n| --- | --- | --- |")
        for name, path, text in rows:
            print(f"| `{name}` | `{path}` | {text.replace('|', '/')} |")


if __name__ == "__main__":
    main()
