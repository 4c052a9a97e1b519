"""Hooks of the test run: deterministic properties, real sockets closed."""

from __future__ import annotations

import logging

from hypothesis import settings

logging.getLogger("websockets").setLevel(logging.WARNING)
settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("ci")


def after_scenario(context, scenario):
    """Stop what a scenario started on real sockets."""
    for close in reversed(getattr(context, "closers", [])):
        close()
