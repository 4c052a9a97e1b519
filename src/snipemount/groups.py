"""Groups of subcommands, made of commands and queries."""

from __future__ import annotations

import attrs
import cappa

from .commands.move import MoveHold, MoveResume, MoveStart, MoveTakeBack
from .commands.profile import ProfileApply
from .commands.zone import ZoneBack, ZoneOut
from .queries.profile import ProfileCheck, ProfileDiff, ProfileList, ProfileShow
from .queries.status import MoveStatusCommand, ZoneStatusCommand


@cappa.command(name="profile", help="Look at profiles and set them.")
@attrs.define
class ProfileGroup:
    """Subcommands on profiles."""

    command: cappa.Subcommands[
        ProfileList | ProfileShow | ProfileCheck | ProfileDiff | ProfileApply
    ]


@cappa.command(name="zone", help="Take availability zones out and back.")
@attrs.define
class ZoneGroup:
    """Subcommands on availability zones."""

    command: cappa.Subcommands[ZoneOut | ZoneBack | ZoneStatusCommand]


@cappa.command(name="move", help="Move traffic to a new version.")
@attrs.define
class MoveGroup:
    """Subcommands on version moves."""

    command: cappa.Subcommands[
        MoveStart | MoveStatusCommand | MoveHold | MoveResume | MoveTakeBack
    ]


__all__ = ["MoveGroup", "ProfileGroup", "ZoneGroup"]
