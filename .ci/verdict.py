"""Count scenarios in behave's JSON report; fail if any failed or none passed."""

from __future__ import annotations

import json
import sys
from pathlib import Path


def count_scenarios(report: Path) -> tuple[int, int]:
    """Return the numbers of passed and failed scenarios; skipped ones do not count."""
    passed = failed = 0
    for feature in json.loads(report.read_text(encoding="utf-8")):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            if element.get("status") == "passed":
                passed += 1
            elif element.get("status") != "skipped":
                failed += 1
    return passed, failed


def main() -> int:
    """Print the known failures and the counts; return the exit status.

    A missing report counts as a failure.
    """
    report = Path(sys.argv[1])
    passed, failed = count_scenarios(report) if report.exists() else (0, 0)
    known_red = Path("KNOWN-RED.txt")
    if known_red.exists():
        print(known_red.read_text(encoding="utf-8"))
    print(f"{passed} passed, {failed} failed")
    return 0 if passed and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
