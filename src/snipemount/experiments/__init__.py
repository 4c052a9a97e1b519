"""Experiments on a simulated deployment in virtual time, with fakes of the ports."""

from __future__ import annotations

__all__: list[str] = []
