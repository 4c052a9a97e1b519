"""Which configuration the daemons of a soak have in force at its end."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from .deployment import SoakDeployment

METRICS_PORT = 9464
VERSION_LINE = re.compile(r"^snipemount_configuration_version ([0-9.e+]+)$", re.M)
TIMEOUT_S = 5.0


async def configuration_violations(deployment: SoakDeployment) -> tuple[str, ...]:
    """Return a line for each daemon that does not have the newest one in force.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment without faults since some seconds.
    """
    violations = []
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for daemon in deployment.daemons:
            if not daemon.is_alive:
                continue
            version = await _version_in_force(session, daemon.ip)
            if version != deployment.version:
                violations.append(
                    f"{daemon.name}: configuration {version} is in force, "
                    f"{deployment.version} is the newest"
                )
    return tuple(violations)


async def _version_in_force(session: aiohttp.ClientSession, ip: str) -> int | None:
    """Return the version that a daemon's metrics state; None without an answer."""
    try:
        async with session.get(f"http://{ip}:{METRICS_PORT}/metrics") as response:
            found = VERSION_LINE.search(await response.text())
    except (aiohttp.ClientError, TimeoutError):
        return None
    return int(float(found.group(1))) if found else None


__all__ = ["configuration_violations"]
