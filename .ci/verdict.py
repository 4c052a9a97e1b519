"""Counts the scenarios in behave's JSON report; fails when none has run."""

from __future__ import annotations

import json
import sys
from pathlib import Path


def count(report: Path) -> tuple[int, int]:
    """Return the numbers of passed and failed scenarios."""
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
    """Print the verdict and return the exit status."""
    report = Path(sys.argv[1])
    passed, failed = count(report) if report.exists() else (0, 0)
    red = Path("KNOWN-RED.txt")
    if red.exists():
        print(red.read_text(encoding="utf-8"))
    print(f"{passed} passed, {failed} failed")
    return 0 if passed and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
