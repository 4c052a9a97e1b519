"""Decides when this daemon acquires, renews and gives up the lease of a duty."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ..model.store_version import UNKNOWN_ERA
from ..ports.platform import Found, Missing, Written
from .events import (
    EndSave,
    NotifyAcquired,
    NotifyLost,
    ReadEnded,
    ReportStoodBack,
    ReportUnreadable,
    SaveRequested,
    SendRead,
    SendWrite,
    StandBackRequested,
    StopRequested,
    Woken,
    WriteEnded,
)
from .observation import Observation
from .pending_call import LeaseState, PendingRead, PendingWrite
from .record import LeaseRecord, read_record

if TYPE_CHECKING:
    from random import Random

    from ..model.store_version import StoreVersion
    from ..ports.platform import ReadResult, StoredObject, WriteResult
    from .events import Action, Event, Save

RENEWALS_PER_LEASE = 3
READ_JITTER_RATIO = 0.2
STAND_BACK_LEASES = 2
MIN_BACKOFF_MS = 200.0  # upper bound of the jitter after the first failed call
MAX_BACKOFF_DOUBLINGS = 10


class LeaseElection:
    """State machine of one process: events and a time in, actions out.

    Calls to the store come before notifications among the actions.

    All times are of the boot-time clock, which counts suspension. At most one call to
    the store is pending at any moment.

    Safety rests on three rules. The holder takes the lease as valid from the start of
    a confirmed write. A candidate waits until it has read one store version over a
    longer span, between calls that succeeded; versions with their eras are unique, so
    nobody has written in between. Every write is conditional on the version known, so a
    late one cannot undo what others wrote since.

    When the store returns from an older copy, a new era begins. Each candidate waits
    anew then, longer than any lease confirmed before the return is valid, also where
    the copy holds its own record. So a holder whose lease is still valid may write over
    what the copy holds, and restores the checkpoint.

    Parameters
    ----------
    daemon : str
        Name of this daemon.
    run : str
        Random id of this process.
    lease_ms : int
        Time for which the lease is valid after the start of a confirmed write.
    random : Random
        Generator for the jitter.
    now_ms : float
        Time of the start.

    Attributes
    ----------
    state : LeaseState
        What this daemon is to the lease.
    """

    def __init__(
        self, daemon: str, run: str, lease_ms: int, random: Random, now_ms: float
    ) -> None:
        self._daemon = daemon
        self._run = run
        self._lease_ms = lease_ms
        self._random = random
        self.state = LeaseState.CANDIDATE
        self._may_stand = False
        self._observation: Observation | None = None
        self._is_observation_current = False
        self._call: PendingRead | PendingWrite | None = None
        self._due_ms: float | None = now_ms
        self._valid_until_ms = 0.0
        self._fence = 0
        self._renewal = 0
        self._written_era = UNKNOWN_ERA  # era in which this process wrote last
        self._confirmed_era = UNKNOWN_ERA  # the same of the last confirmed write
        self._checkpoint: dict[str, Any] = {}
        self._failures = 0
        self._saves: list[Save] = []  # the last one is to be stored

    @property
    def wake_ms(self) -> float | None:
        """Time at which a `Woken` event is wanted; None while there is none."""
        if self.state is not LeaseState.HELD:
            return self._due_ms if self._call is None else None
        if self._call is None and self._due_ms is not None:
            return min(self._due_ms, self._valid_until_ms)
        return self._valid_until_ms

    def remaining_ms(self, now_ms: float) -> float:
        """Return for how long the lease is still valid; 0 while it is not held."""
        if self.state is not LeaseState.HELD:
            return 0.0
        return max(0.0, self._valid_until_ms - now_ms)

    def fence(self, now_ms: float) -> int:
        """Return the fencing token; 0 while the lease is not held."""
        return self._fence if self.remaining_ms(now_ms) > 0 else 0

    def handle(self, event: Event, may_stand: bool, now_ms: float) -> list[Action]:
        """Apply an event and return what is to be done.

        Parameters
        ----------
        event : Event
            What happened.
        may_stand : bool
            Whether this daemon is a candidate now.
        now_ms : float
            Boot time of the event.
        """
        self._may_stand = may_stand
        lapsed = self.state is LeaseState.HELD and now_ms >= self._valid_until_ms
        lost = self._lose("expired", now_ms) if lapsed else []
        match event:
            case Woken():
                return self._on_woken(now_ms) + lost
            case ReadEnded(result):
                return self._on_read(result, now_ms) + lost
            case WriteEnded(result):
                return self._on_written(result, now_ms) + lost
            case SaveRequested(save):
                return self._on_save(save, now_ms) + lost
            case StandBackRequested(reason):
                return self._stand_back(reason, now_ms) + lost
            case StopRequested():
                return self._stop(now_ms) + lost

    def _on_woken(self, now_ms: float) -> list[Action]:
        if self._call is not None or self._due_ms is None or now_ms < self._due_ms:
            return []
        if self.state is LeaseState.STOOD_BACK:
            self.state = LeaseState.CANDIDATE
        if self.state is LeaseState.HELD and self._is_observation_current:
            return self._renew(now_ms)
        if self.state is LeaseState.CANDIDATE and not self._may_stand:
            self._due_ms = self._next_read_ms(now_ms)
            return []
        self._call = PendingRead(now_ms)
        return [SendRead()]

    def _on_read(self, result: ReadResult, now_ms: float) -> list[Action]:
        call, self._call = self._call, None
        if self.state is LeaseState.STOOD_BACK or not isinstance(call, PendingRead):
            return []
        match result:
            case Found(stored):
                self._failures = 0
                return self._on_found(stored, call.started_ms, now_ms)
            case Missing():
                self._failures = 0
                return self._on_missing(now_ms)
        self._retry_later(now_ms)
        return []

    def _on_found(
        self, stored: StoredObject, started_ms: float, now_ms: float
    ) -> list[Action]:
        actions: list[Action] = []
        observation = self._observation
        if observation is not None and observation.version == stored.version:
            observation = attrs.evolve(observation, last_ms=started_ms)
        else:
            record = read_record(stored.spec)
            self._note_checkpoint(record, stored.version)
            observation = Observation(stored.version, record, now_ms, started_ms)
            if record is None:
                actions.append(ReportUnreadable(stored.version))
        self._observation = observation
        self._is_observation_current = True
        if self.state is LeaseState.HELD:
            if self._is_own(observation) or self._is_from_copy(observation.version):
                return actions + self._renew(now_ms)
            reason = "taken_over" if observation.record else "unreadable"
            actions += self._lose(reason, now_ms)
        elif self._may_stand and (
            self._is_own(observation) or observation.has_expired(self._lease_ms)
        ):
            return actions + self._acquire(now_ms)
        expiry_ms = observation.expiry_ms(self._lease_ms)
        self._due_ms = min(self._next_read_ms(now_ms), expiry_ms)
        return actions

    def _on_missing(self, now_ms: float) -> list[Action]:
        """Create the object without acquiring the lease.

        That it is missing has no revision on which a write could be conditional, so a
        lease acquired with it could overlap with that of an object deleted since.
        """
        self._observation = None
        actions: list[Action] = []
        if self.state is LeaseState.HELD:
            actions += self._lose("deleted", now_ms)
        if not self._may_stand:
            self._due_ms = self._next_read_ms(now_ms)
            return actions
        record = LeaseRecord("", "", 0, self._lease_ms, self._checkpoint)
        self._call = PendingWrite(now_ms, record, self.state, None)
        return [SendWrite(record.spec(), None), *actions]

    def _acquire(self, now_ms: float) -> list[Action]:
        self.state = LeaseState.ACQUIRING
        return self._write(None, now_ms)

    def _renew(self, now_ms: float) -> list[Action]:
        return self._write(self._saves[-1] if self._saves else None, now_ms)

    def _write(self, save: Save | None, now_ms: float) -> list[Action]:
        if self._observation is None:
            return []
        self._renewal += 1
        record = LeaseRecord(
            self._daemon,
            self._run,
            self._renewal,
            self._lease_ms,
            save.checkpoint if save else self._checkpoint,
        )
        self._call = PendingWrite(now_ms, record, self.state, save)
        version = self._observation.version
        self._written_era = version.era
        return [SendWrite(record.spec(), version)]

    def _on_written(self, result: WriteResult, now_ms: float) -> list[Action]:
        call, self._call = self._call, None
        if self.state is LeaseState.STOOD_BACK or not isinstance(call, PendingWrite):
            return []
        if isinstance(result, Written):
            self._failures = 0
            version = result.stored.version
            self._observation = Observation(version, call.record, now_ms, now_ms)
            self._is_observation_current = True
            self._checkpoint = call.record.checkpoint
            self._confirmed_era = version.era
            return self._on_confirmed(call, version, now_ms)
        self._is_observation_current = False
        if self.state is LeaseState.ACQUIRING:
            self.state = LeaseState.CANDIDATE
        self._retry_later(now_ms)
        return self._end_saves(confirmed=None, kept=self._saves[-1:])

    def _on_confirmed(
        self, call: PendingWrite, version: StoreVersion, now_ms: float
    ) -> list[Action]:
        valid_until_ms = call.started_ms + self._lease_ms
        self._due_ms = call.started_ms + self._lease_ms / RENEWALS_PER_LEASE
        if self.state is not call.written_as or now_ms >= valid_until_ms:
            # The lease lapsed during the write: it is read and written once more.
            self.state = LeaseState.CANDIDATE
            self._due_ms = now_ms
            return []
        if self.state is LeaseState.CANDIDATE:
            self._due_ms = self._next_read_ms(now_ms)
            return []
        self._valid_until_ms = valid_until_ms
        if self.state is LeaseState.ACQUIRING:
            self.state = LeaseState.HELD
            self._fence = version.fencing_token
            return [NotifyAcquired(self._fence, call.record.checkpoint)]
        later = [save for save in self._saves if save is not call.save]
        actions = self._end_saves(confirmed=call.save, kept=later)
        return (self._renew(now_ms) if later else []) + actions

    def _on_save(self, save: Save, now_ms: float) -> list[Action]:
        if self.state is not LeaseState.HELD:
            return [EndSave(save, False)]
        call = self._call
        written = call.save if isinstance(call, PendingWrite) else None
        kept = [other for other in self._saves if other is written]
        actions = self._end_saves(confirmed=None, kept=kept)
        self._saves.append(save)
        if call is None and self._is_observation_current:
            return self._renew(now_ms) + actions
        return actions

    def _end_saves(self, confirmed: Save | None, kept: list[Save]) -> list[Action]:
        ended = [save for save in self._saves if save not in kept]
        self._saves = kept
        return [EndSave(save, save is confirmed) for save in ended]

    def _stand_back(self, reason: str, now_ms: float) -> list[Action]:
        actions: list[Action] = [ReportStoodBack(reason)]
        if self.state is LeaseState.HELD:
            actions += self._lose("stood_back", now_ms)
        self.state = LeaseState.STOOD_BACK
        self._due_ms = now_ms + STAND_BACK_LEASES * self._lease_ms
        return actions

    def _stop(self, now_ms: float) -> list[Action]:
        held = self.state is LeaseState.HELD
        actions = self._lose("stopped", now_ms) if held else []
        self.state = LeaseState.STOPPED
        self._due_ms = None
        return actions

    def _lose(self, reason: str, now_ms: float) -> list[Action]:
        fence, self._fence = self._fence, 0
        self.state = LeaseState.CANDIDATE
        self._due_ms = now_ms
        saves = self._end_saves(confirmed=None, kept=[])
        return [NotifyLost(fence, reason), *saves]

    def _is_own(self, observation: Observation) -> bool:
        """Return whether this process wrote the object last.

        A copy of the store may hold a record of this process from before others wrote.
        """
        record = observation.record
        if record is None or observation.version.era != self._written_era:
            return False
        return (record.holder, record.run) == (self._daemon, self._run)

    def _is_from_copy(self, version: StoreVersion) -> bool:
        """Return whether the store has returned since the last confirmed write.

        While the lease is valid nobody else can have acquired it in the new era.
        """
        return version.era != self._confirmed_era

    def _note_checkpoint(
        self, record: LeaseRecord | None, version: StoreVersion
    ) -> None:
        """Take over a stored checkpoint, unless a newer one is known."""
        if self.state is LeaseState.HELD and self._is_from_copy(version):
            return
        known = self._observation.record if self._observation else None
        if known and record and record.is_earlier_state_of(known):
            return
        self._checkpoint = record.checkpoint if record else {}

    def _next_read_ms(self, now_ms: float) -> float:
        jitter = self._random.uniform(1 - READ_JITTER_RATIO, 1 + READ_JITTER_RATIO)
        return now_ms + self._lease_ms / RENEWALS_PER_LEASE * jitter

    def _retry_later(self, now_ms: float) -> None:
        """Wait after a failed call: backoff with full jitter, below a read's period."""
        doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
        self._failures += 1
        longest_ms = self._lease_ms / RENEWALS_PER_LEASE
        backoff_ms = min(MIN_BACKOFF_MS * 2.0**doublings, longest_ms)
        self._due_ms = now_ms + self._random.uniform(0.0, backoff_ms)


__all__ = ["LeaseElection"]
