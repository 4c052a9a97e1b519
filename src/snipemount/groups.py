"""Groups of subcommands that share a first word, such as `profile list`."""

from __future__ import annotations

import attrs
import cappa

from .commands.move import MoveHold, MoveResume, MoveStart, MoveTakeBack
from .commands.profile import ProfileApply
from .commands.zone import ZoneBack, ZoneOut
from .queries.config import ConfigCheck
from .queries.profile import ProfileCheck, ProfileDiff, ProfileList, ProfileShow
from .queries.status import MoveStatusCommand, ZoneStatusCommand


@cappa.command(name="config", help="Check configurations.")
@attrs.define
class ConfigGroup:
    """Subcommands on the configuration that operators write to the store."""

    command: cappa.Subcommands[ConfigCheck]


@cappa.command(name="profile", help="Show, check and change profiles.")
@attrs.define
class ProfileGroup:
    """Subcommands that show, check and change profiles."""

    command: cappa.Subcommands[
        ProfileList | ProfileShow | ProfileCheck | ProfileDiff | ProfileApply
    ]


@cappa.command(name="zone", help="Take availability zones out and bring them back.")
@attrs.define
class ZoneGroup:
    """Subcommands that take availability zones out and bring them back."""

    command: cappa.Subcommands[ZoneOut | ZoneBack | ZoneStatusCommand]


@cappa.command(name="move", help="Move traffic to another version of a service.")
@attrs.define
class MoveGroup:
    """Subcommands that start, show and control moves between versions."""

    command: cappa.Subcommands[
        MoveStart | MoveStatusCommand | MoveHold | MoveResume | MoveTakeBack
    ]


__all__ = ["ConfigGroup", "MoveGroup", "ProfileGroup", "ZoneGroup"]
