"""Takes mechanisms out, one at a time, and shows which features notice.

A feature that stays green without its mechanism proves nothing.
"""

from __future__ import annotations

import contextlib
import io
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import attrs
from behave.configuration import Configuration
from behave.runner import Runner

from snipemount.adapters import strict_json
from snipemount.decisions import (
    admission,
    canary_analysis,
    cold_start,
    merge,
    ownership,
    quarantine,
    query_run,
)
from snipemount.decisions.claims import ClaimBucket
from snipemount.node import catalogue, entry

TESTS = Path(__file__).parents[1] / "tests"


@attrs.frozen
class Removal:
    """A mechanism, how it is taken out, and the feature that must notice."""

    mechanism: str
    target: Any
    name: str
    replacement: Callable[..., Any]
    feature: str


def _false(*arguments: object, **named: object) -> bool:
    return False


def _true(*arguments: object, **named: object) -> bool:
    return True


def _nothing(*arguments: object, **named: object) -> None:
    return None


def _any_partial(self: merge.Merge, partial: Any) -> merge.MergeResult:
    self._partials[partial.shard] = partial
    self._answered += 1
    return merge.MergeResult.MERGED


def _always_two(self: object, fingerprint: str, now_ms: float) -> int:
    return 2


def _whole(self: Any, server: Any, now_ms: float) -> ownership.OwnerShare:
    return ownership.OwnerShare(server.slots, server.connection_limit)


REMOVALS = (
    Removal(
        "merge counts each shard once",
        merge.Merge,
        "add",
        _any_partial,
        "guarantees/coverage.feature",
    ),
    Removal(
        "fall to the cold fraction",
        cold_start.ColdStartGuard,
        "reset_to_cold",
        _nothing,
        "guarantees/cold_start.feature",
    ),
    Removal(
        "one owner for each server",
        ownership.Ownership,
        "share",
        _whole,
        "decisions/ownership.feature",
    ),
    Removal(
        "quarantine after two crashes",
        quarantine.Quarantine,
        "strikes_until_quarantine",
        _always_two,
        "guarantees/refusal.feature",
    ),
    Removal(
        "admission",
        admission.Admission,
        "admits",
        _true,
        "guarantees/refusal.feature",
    ),
    Removal(
        "reply matched by request and daemon",
        entry.PendingExchange,
        "matches",
        _true,
        "decisions/ownership.feature",
    ),
    Removal(
        "hedges",
        query_run.QueryRun,
        "_may_hedge",
        _false,
        "decisions/ownership.feature",
    ),
    Removal(
        "claims decided by what is stored",
        ClaimBucket,
        "_resolve_existing",
        lambda self: (
            [w.done(entry.Granted()) for w in self._pending_claims]
            and self._pending_claims.clear()
        ),
        "guarantees/at_most_once.feature",
    ),
    Removal(
        "alarm of the judge",
        canary_analysis.CanaryAnalysis,
        "_evidence_without_worst_zone",
        lambda self, sums: 0.0,
        "guarantees/versions.feature",
    ),
    Removal(
        "zones taken out",
        catalogue.Catalogue,
        "zones_out",
        lambda self: frozenset(),
        "guarantees/leaving.feature",
    ),
    Removal(
        "configuration from peers",
        catalogue.Catalogue,
        "apply_peer_listing",
        _nothing,
        "guarantees/configuration.feature",
    ),
    Removal(
        "depth of JSON",
        strict_json,
        "_check_depth",
        _nothing,
        "adapters/caller_http.feature",
    ),
)


def failed_scenarios(feature: str) -> int:
    """Run a feature and return how many of its scenarios fail."""
    arguments = ["--no-capture", "--no-summary", "--format", "null"]
    configuration = Configuration([*arguments, str(TESTS / feature)])
    runner = Runner(configuration)
    with (
        contextlib.redirect_stdout(io.StringIO()),
        contextlib.redirect_stderr(io.StringIO()),
    ):
        runner.run()
    return sum(
        scenario.status.name in ("failed", "error")
        for found in runner.features
        for scenario in found.walk_scenarios()
    )


def main() -> int:
    """Print which removals are noticed; fail when one is not."""
    wanted = sys.argv[1:]
    missed = 0
    print(f"{'mechanism taken out':40} {'feature':36} failing scenarios")
    for removal in REMOVALS:
        if wanted and removal.mechanism not in wanted:
            continue
        with mock.patch.object(removal.target, removal.name, removal.replacement):
            failed = failed_scenarios(removal.feature)
        missed += failed == 0
        print(f"{removal.mechanism:40} {removal.feature:36} {failed}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
