"""Hooks of the test run: deterministic property tests and cleanup of sockets."""

from __future__ import annotations

import logging

from hypothesis import settings

logging.getLogger("websockets").setLevel(logging.WARNING)
settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("ci")


def after_scenario(context, scenario):
    """Call the cleanup functions that a scenario registered, last one first."""
    for close in reversed(getattr(context, "closers", [])):
        close()
