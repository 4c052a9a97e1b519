"""Mutation test: disable mechanisms one at a time and count the failing scenarios.

A feature that passes without its mechanism does not test the mechanism.
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
from snipemount.decisions.fleet import ownership
from snipemount.decisions.moves import canary_analysis
from snipemount.decisions.query import admission, merge, query_run
from snipemount.decisions.requests import quarantine
from snipemount.decisions.requests.claims import ClaimBucket
from snipemount.decisions.servers import cold_start
from snipemount.node import catalogue, entry

TESTS = Path(__file__).parents[1] / "tests"


@attrs.frozen
class DisabledMechanism:
    """A way to disable a mechanism, and the feature that must then fail.

    Parameters
    ----------
    mechanism : str
        Label of the mechanism in the table and on the command line.
    target : object
        Class or module whose attribute is replaced.
    name : str
        Name of the attribute.
    replacement : Callable
        Value that the attribute has while the mechanism is disabled.
    feature : str
        Path of the feature, relative to the tests.
    """

    mechanism: str
    target: Any
    name: str
    replacement: Callable[..., Any]
    feature: str


def _return_false(*arguments: object, **named: object) -> bool:
    return False


def _return_true(*arguments: object, **named: object) -> bool:
    return True


def _do_nothing(*arguments: object, **named: object) -> None:
    return None


def _add_unchecked(self: merge.Merge, partial: Any) -> merge.MergeResult:
    self._partials[partial.shard] = partial
    self._answered += 1
    return merge.MergeResult.MERGED


def _return_two(self: object, fingerprint: str, now_ms: float) -> int:
    return 2


def _full_share(self: Any, server: Any, now_ms: float) -> ownership.OwnerShare:
    return ownership.OwnerShare(server.slots, server.connection_limit)


DISABLED_MECHANISMS = (
    DisabledMechanism(
        "merge counts each shard once",
        merge.Merge,
        "add",
        _add_unchecked,
        "guarantees/coverage.feature",
    ),
    DisabledMechanism(
        "fall to the cold fraction",
        cold_start.ColdStartGuard,
        "reset_to_cold",
        _do_nothing,
        "guarantees/cold_start.feature",
    ),
    DisabledMechanism(
        "one owner for each server",
        ownership.Ownership,
        "share",
        _full_share,
        "decisions/ownership.feature",
    ),
    DisabledMechanism(
        "quarantine after two crashes",
        quarantine.Quarantine,
        "strikes_until_quarantine",
        _return_two,
        "guarantees/refusal.feature",
    ),
    DisabledMechanism(
        "admission",
        admission.Admission,
        "admits",
        _return_true,
        "guarantees/refusal.feature",
    ),
    DisabledMechanism(
        "reply matched by request and daemon",
        entry.PendingExchange,
        "matches",
        _return_true,
        "decisions/ownership.feature",
    ),
    DisabledMechanism(
        "hedges",
        query_run.QueryRun,
        "_may_hedge",
        _return_false,
        "decisions/ownership.feature",
    ),
    DisabledMechanism(
        "claims decided by what is stored",
        ClaimBucket,
        "_resolve_existing",
        lambda self: (
            [w.done(entry.Granted()) for w in self._pending_claims]
            and self._pending_claims.clear()
        ),
        "guarantees/at_most_once.feature",
    ),
    DisabledMechanism(
        "alarm of the judge",
        canary_analysis.CanaryAnalysis,
        "_evidence_without_worst_zone",
        lambda self, sums: 0.0,
        "guarantees/versions.feature",
    ),
    DisabledMechanism(
        "zones taken out",
        catalogue.Catalogue,
        "zones_out",
        lambda self: frozenset(),
        "guarantees/leaving.feature",
    ),
    DisabledMechanism(
        "configuration from peers",
        catalogue.Catalogue,
        "apply_peer_listing",
        _do_nothing,
        "guarantees/configuration.feature",
    ),
    DisabledMechanism(
        "depth of JSON",
        strict_json,
        "_check_depth",
        _do_nothing,
        "adapters/caller_http.feature",
    ),
)


def failed_scenarios(feature: str) -> int:
    """Run a feature and return the number of its scenarios that fail."""
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
        for feature_run in runner.features
        for scenario in feature_run.walk_scenarios()
    )


def main() -> int:
    """Print the failing scenarios for each mechanism that is disabled.

    Command line arguments select mechanisms by label; without any, all are disabled
    in turn.

    Returns
    -------
    int
        1 if a feature passes without its mechanism, otherwise 0.
    """
    selected = sys.argv[1:]
    undetected = 0
    print(f"{'mechanism taken out':40} {'feature':36} failing scenarios")
    for disabled in DISABLED_MECHANISMS:
        if selected and disabled.mechanism not in selected:
            continue
        with mock.patch.object(disabled.target, disabled.name, disabled.replacement):
            failed = failed_scenarios(disabled.feature)
        undetected += failed == 0
        print(f"{disabled.mechanism:40} {disabled.feature:36} {failed}", flush=True)
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main())
