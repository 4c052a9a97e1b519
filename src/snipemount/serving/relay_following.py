"""Which daemon this one follows, or whether it follows the store itself.

A daemon follows the first of its zone that offers a complete and current state. It
turns to the store when it has lost that daemon and no other has offered one in time;
the later, the more daemons of the zone come before it, as the store charges for calls.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..decisions.fleet.relay_order import (
    CandidateRotation,
    relay_candidates,
    succeeding_daemons,
)
from ..decisions.fleet.state_age import OUTDATED_SEEK_MS
from ..model.relay import (
    RelayChange,
    RelayConfirmation,
    RelayEvidence,
    RelayListing,
    RelayRemoval,
    RelayStoreLost,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from structlog.typing import FilteringBoundLogger

    from ..model.relay import RelayMessage
    from ..ports.platform import Kind
    from ..ports.relay import DaemonAddress, RelayPort
    from ..timers import TimerService
    from .kind_feed import KindFeed
    from .store_retries import StoreRetries

FOLLOW_DELAY_MS = 500.0  # lets the daemon to follow list the store first
NEXT_CANDIDATE_DELAY_MS = 300.0
# For the daemon that a restarted one follows to hand over its state.
RESTART_FOLLOW_LIMIT_MS = 150.0
FIRST_CONFIRMATIONS_MS = 500.0  # for the first state of each kind to arrive
# Within this time a daemon that follows the store has called it again and caught up.
CATCH_UP_DELAY_MS = 3500.0
# After a return of the store, for the first daemon of the zone to notice and list it.
RETURN_SEEK_DELAYS_MS = (400.0, 1000.0)
STORE_LOST_LIMIT_MS = 1000.0  # without the store, until another daemon is sought
SEEK_PERIOD_MS = 1000.0


class RelayFollowing:
    """Follows another daemon, or lets the kinds follow the store.

    Parameters
    ----------
    relay : RelayPort
        Connects to the daemon that is followed.
    kinds : dict of Kind to KindFeed
        Receive what the followed daemon relays, or follow the store.
    own : DaemonAddress
        This daemon.
    timers : TimerService
        Clock and timers.
    on_evidence : Callable
        Called with the evidence that the followed daemon relays.
    retries : StoreRetries
        Limits the calls to a store that may not answer.
    logger : FilteringBoundLogger
        Receives the changes.

    Attributes
    ----------
    followed : DaemonAddress or None
        The daemon that is followed; None while the store is, or nobody.
    """

    def __init__(
        self,
        relay: RelayPort,
        kinds: dict[Kind, KindFeed],
        own: DaemonAddress,
        timers: TimerService,
        on_evidence: Callable[[RelayEvidence], None],
        retries: StoreRetries,
        logger: FilteringBoundLogger,
    ) -> None:
        self._retries = retries
        self._relay = relay
        self._kinds = kinds
        self._own = own
        self._timers = timers
        self._on_evidence = on_evidence
        self._logger = logger
        self.followed: DaemonAddress | None = None
        self._followed_since_ms = 0.0
        self._daemons: tuple[DaemonAddress, ...] = ()
        self._seeds: tuple[DaemonAddress, ...] = ()
        self._candidates: list[DaemonAddress] = []
        self._asked: DaemonAddress | None = None
        self._offered: list[RelayMessage] = []
        self._first_answer_decides = False
        self._store_answered_ms = timers.now_ms()
        self._sought_ms = 0.0
        self._rotation = CandidateRotation()

    @property
    def _preceding(self) -> list[DaemonAddress]:
        """The daemons of the zone that come before this one."""
        return relay_candidates(self._daemons, self._own)

    @property
    def followed_since_ms(self) -> float | None:
        """Monotonic time since which a daemon is followed; None if none is."""
        return None if self.followed is None else self._followed_since_ms

    @property
    def has_unlisted_kind(self) -> bool:
        """Whether nothing is known yet of some kind."""
        return any(kind.version is None for kind in self._kinds.values())

    def start(
        self, daemons: tuple[DaemonAddress, ...], seeds: tuple[DaemonAddress, ...]
    ) -> None:
        """Take the state from a daemon of the zone at once, or else from the store.

        Parameters
        ----------
        daemons : tuple of DaemonAddress
            All daemons; empty while the store does not answer.
        seeds : tuple of DaemonAddress
            Daemons to ask in that case.
        """
        self.set_daemons(daemons, seeds)
        if self._candidates and daemons:
            # When all daemons restart none has a state: the first one asked refuses.
            self._first_answer_decides = True
            self._timers.call_later(RESTART_FOLLOW_LIMIT_MS, self._list_unlisted)
        else:
            self.follow_store()
        self._ask_next()

    def set_daemons(
        self, daemons: tuple[DaemonAddress, ...], seeds: tuple[DaemonAddress, ...]
    ) -> None:
        """Replace the known daemons.

        Parameters
        ----------
        daemons : tuple of DaemonAddress
            All daemons; empty while the store does not answer.
        seeds : tuple of DaemonAddress
            Daemons to ask while no daemon and not all of the state is known.
        """
        self._seeds = seeds
        if daemons:
            self._daemons = daemons
        self._renew_candidates()

    def seek(self) -> None:
        """Ask the daemons that come before this one, unless one is followed."""
        if self.followed is None:
            wait_ms = FOLLOW_DELAY_MS if self._candidates else 0.0
            self._timers.call_later(wait_ms, self._ask_next_unless_following)

    def follow_store(self) -> None:
        """Let each kind follow the store."""
        for kind in self._kinds.values():
            kind.follow_store()

    def on_store_returned(self) -> None:
        """Seek a daemon that has listed the store since its return.

        A daemon that relays the store may have lost its followers while it was away.
        """
        if self.followed is None and self._preceding:
            for delay_ms in RETURN_SEEK_DELAYS_MS:
                self._retry_later(delay_ms)

    def check(self) -> None:
        """Read the store anew, or itself, before the known state is too old."""
        if self.followed is not None:
            self._check_age(self.followed)
            return
        for kind in self._kinds.values():
            kind.restart_if_silent()
        self._seek_if_store_is_lost()

    def _check_age(self, daemon: DaemonAddress) -> None:
        """Give the followed daemon up before its state of some kind is too old.

        The first in line does so before the others, which then follow that one.
        """
        followed_ms = self._timers.now_ms() - self._followed_since_ms
        others = [d for d in self._preceding if d.name != daemon.name]
        succeeding = succeeding_daemons(self._daemons, self._own)
        has_successors = any(d.name != daemon.name for d in succeeding)
        first_in_line = has_successors and not others
        outdated = [
            kind
            for kind in self._kinds.values()
            if kind.age_ms >= kind.age_limits.age_limit_ms(first_in_line)
            and (kind.age_ms < math.inf or followed_ms >= FIRST_CONFIRMATIONS_MS)
        ]
        if not outdated:
            return
        oldest = max(outdated, key=lambda kind: kind.age_ms)
        self._logger.warning(
            "relay_outdated",
            daemon_followed=daemon.name,
            kind=oldest.kind.value,
            age_ms=round(oldest.age_ms),
        )
        self._relay.unfollow()
        self._lose(daemon, OUTDATED_SEEK_MS if others else 0.0)
        self._retry_later(CATCH_UP_DELAY_MS)
        if others:
            self._ask_next()

    def _seek_if_store_is_lost(self) -> None:
        """Ask any daemon of the zone while the store turns this one away."""
        now_ms = self._timers.now_ms()
        if all(kind.store_reachable for kind in self._kinds.values()):
            self._store_answered_ms = now_ms
            return
        if (
            self._asked is not None
            or self._candidates
            or now_ms - self._store_answered_ms < STORE_LOST_LIMIT_MS
            or now_ms - self._sought_ms < SEEK_PERIOD_MS
        ):
            return
        self._sought_ms = now_ms
        self._renew_candidates()
        succeeding = succeeding_daemons(self._daemons, self._own)
        self._candidates += self._rotation.next_of(succeeding)
        self._ask_next()

    def _renew_candidates(self) -> None:
        self._retries.others_retry = bool(self._preceding)
        self._candidates = self._rotation.next_of(self._preceding)
        if not self._daemons and self.has_unlisted_kind:
            self._candidates = list(self._seeds)

    def _ask_next(self) -> None:
        if not self._candidates:
            self.follow_store()
            return
        daemon = self._candidates.pop(0)
        self._asked = daemon
        self._offered.clear()
        self._relay.follow(
            daemon,
            lambda message: self._on_message(daemon, message),
            lambda: self._on_ended(daemon),
        )

    def _ask_next_unless_following(self) -> None:
        if self.followed is None and self._asked is None:
            self._ask_next()

    def _list_unlisted(self) -> None:
        if self.followed is None and self.has_unlisted_kind:
            self.follow_store()

    def _on_message(self, daemon: DaemonAddress, message: RelayMessage) -> None:
        match message:
            case RelayListing(kind) if self._kinds[kind].is_outdated(message):
                self._refuse(daemon, kind, CATCH_UP_DELAY_MS)
            case RelayConfirmation(kind) if self._is_too_old(message):
                self._refuse(daemon, kind, SEEK_PERIOD_MS)
            case RelayEvidence():
                self._on_evidence(message)
            case RelayStoreLost() if self.followed is None and self.has_unlisted_kind:
                pass  # an old state is better than none
            case RelayStoreLost():
                self._relay.unfollow()
                self._on_ended(daemon)
            case _ if self.followed is None:
                self._on_offered(daemon, message)
            case _:
                self._apply(message)

    def _is_too_old(self, offered: RelayConfirmation) -> bool:
        """Return whether the state that is offered would have to be given up soon."""
        if self.followed is not None or self.has_unlisted_kind:
            return False
        limits = self._kinds[offered.kind].age_limits
        return offered.age_ms >= limits.max_offered_age_ms

    def _refuse(self, daemon: DaemonAddress, kind: Kind, delay_ms: float) -> None:
        """Leave a daemon whose state of a kind is outdated; seek again later."""
        self._logger.info("relay_behind", daemon_followed=daemon.name, kind=kind.value)
        self._relay.unfollow()
        self._lose(daemon)
        self._retry_later(delay_ms)

    def _on_offered(self, daemon: DaemonAddress, message: RelayMessage) -> None:
        """Collect what a daemon offers, and follow it once that is complete.

        Until then this daemon keeps its followers and goes on following the store.
        """
        self._offered.append(message)
        listed = {m.kind for m in self._offered if isinstance(m, RelayListing)}
        if listed != set(self._kinds):
            return
        self._logger.info("relay_followed", daemon_followed=daemon.name)
        self._relay.publish(RelayStoreLost("follows another daemon"))
        self.followed, self._asked = daemon, None
        self._followed_since_ms = self._timers.now_ms()
        self._first_answer_decides = False
        for kind in self._kinds.values():
            kind.follow_relay()
        offered, self._offered = self._offered, []
        for offer in offered:
            self._apply(offer)

    def _apply(self, message: RelayMessage) -> None:
        kind = _kind_of(message)
        if kind is not None:
            self._kinds[kind].apply(message)

    def _lose(self, daemon: DaemonAddress, store_delay_ms: float | None = None) -> None:
        """Record that a daemon is not followed, or not any more.

        The store is called after a time that follows from the age of the state, unless
        `store_delay_ms` states it.
        """
        self._asked = None
        self._offered.clear()
        if self.followed is None:
            return
        self._logger.warning("relay_lost", daemon_followed=daemon.name)
        self.followed = None
        self._store_answered_ms = self._timers.now_ms()
        self._renew_candidates()
        self._candidates = [c for c in self._candidates if c.name != daemon.name]
        self._retries.in_doubt = True
        if store_delay_ms is None:
            store_delay_ms = self._store_delay_ms()
        self._timers.call_later(store_delay_ms, self._follow_store_unless_following)

    def _store_delay_ms(self) -> float:
        """Return how long other daemons are sought before the store is called.

        Not at all for one that had no state but that of a daemon without the store.
        """
        if self._timers.now_ms() - self._followed_since_ms < FIRST_CONFIRMATIONS_MS:
            return 0.0
        earlier = len(self._preceding) - 1
        return min(
            kind.age_limits.store_delay_ms(kind.age_ms, earlier)
            for kind in self._kinds.values()
        )

    def _follow_store_unless_following(self) -> None:
        if self.followed is None:
            self.follow_store()

    def _on_ended(self, daemon: DaemonAddress) -> None:
        self._lose(daemon)
        if self._first_answer_decides:
            self._first_answer_decides = False
            self._list_unlisted()
            self._retry_later(FOLLOW_DELAY_MS)
        elif self._candidates:
            self._timers.call_later(
                NEXT_CANDIDATE_DELAY_MS, self._ask_next_unless_following
            )
        else:
            self._list_unlisted()

    def _retry_later(self, delay_ms: float) -> None:
        def retry() -> None:
            self._renew_candidates()
            self._ask_next_unless_following()

        self._timers.call_later(delay_ms, retry)


def _kind_of(message: RelayMessage) -> Kind | None:
    """Return the kind of object that a message updates, or None."""
    match message:
        case RelayListing(kind) | RelayConfirmation(kind):
            return kind
        case RelayChange(stored):
            return stored.kind
        case RelayRemoval(kind):
            return kind
        case _:
            return None


__all__ = ["RelayFollowing"]
