"""Durable claims of idempotency keys.

A claim is a record in a bucket, an object that the platform stores with
conditional writes. A request with a key runs only after its claim is stored.
"""

from __future__ import annotations

import hashlib
from enum import IntEnum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...model.store_version import StoreVersion

MAX_RECORDS_PER_BUCKET = 2000
MAX_OUTCOME_CHARS = 2048
CLAIM_TIMEOUT_MS = 150.0
RETRY_DELAY_MS = 20.0


class ClaimState(IntEnum):
    """Recorded state of the request that claimed a key."""

    CLAIMED = 0
    DONE = 1
    NOT_RUN = 2


@attrs.define
class ClaimRecord:
    """Claim of one idempotency key, as stored in its bucket.

    Parameters
    ----------
    key : str
        Caller identity and idempotency key, joined by a slash.
    fingerprint : str
        Fingerprint of the request that claimed the key.
    claim_id : str
        Unique id of the claim; shows after a lost reply to a write whether this
        claim was stored.
    claimed_at_ms : float
        Wall-clock time of the claim.
    state : ClaimState
        Recorded state of the request.
    outcome : str
        Answer as JSON text once the request is done; empty if it was too large
        to store.
    """

    key: str
    fingerprint: str
    claim_id: str
    claimed_at_ms: float
    state: ClaimState = ClaimState.CLAIMED
    outcome: str = ""


@attrs.frozen
class Granted:
    """The claim is stored and the request may run."""


@attrs.frozen
class AlreadyClaimed:
    """The key is already claimed by `record`."""

    record: ClaimRecord


@attrs.frozen
class Unavailable:
    """The claim was not stored; the request must not run.

    Parameters
    ----------
    full : bool
        True if the bucket holds its maximum of records; False if the platform
        did not confirm the claim in time.
    """

    full: bool = False


ClaimResult = Granted | AlreadyClaimed | Unavailable


@attrs.frozen
class ReadBucket:
    """Read the bucket from the platform."""


@attrs.frozen
class WriteBucket:
    """Write `records` if the bucket still has `version`.

    With `version` None, create the bucket.
    """

    records: tuple[ClaimRecord, ...]
    version: StoreVersion | None


@attrs.frozen
class WakeBucketAfter:
    """Call `ClaimBucket.wake` after `delay_ms`."""

    delay_ms: float


BucketAction = ReadBucket | WriteBucket | WakeBucketAfter


@attrs.define(eq=False)
class PendingClaim:
    """A claim that the platform has not confirmed yet.

    Parameters
    ----------
    record : ClaimRecord
        Record to store.
    since_ms : float
        When the claim was requested; the claim timeout counts from here.
    done : Callable
        Receives the result, exactly once.
    written : bool
        Whether a write that contains the record has been sent, so that the
        claim may be stored even if no reply arrives.
    """

    record: ClaimRecord
    since_ms: float
    done: Callable[[ClaimResult], None]
    written: bool = False


def bucket_of(key: str, buckets: int) -> int:
    """Return the number of the bucket for `key`, from 0 to `buckets` - 1."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % buckets


class ClaimBucket:
    """State machine of one bucket; groups claims and outcomes into few writes.

    At most one read or write is pending at a time. After a write without a
    reply the bucket is read again, and the claim id of the stored record shows
    which claim took effect. Each method returns the platform calls to make.

    Parameters
    ----------
    retention_ms : float
        Age at which a record is dropped, counted from the claim.
    """

    def __init__(self, retention_ms: float) -> None:
        self._retention_ms = retention_ms
        self._version: StoreVersion | None = None
        self._records: dict[str, ClaimRecord] = {}
        self._records_current = False
        self._call_pending = False
        self._pending_claims: list[PendingClaim] = []
        self._pending_outcomes: dict[str, ClaimRecord] = {}

    @property
    def idle(self) -> bool:
        """Whether no claim, outcome or platform call is pending."""
        return not (
            self._pending_claims or self._pending_outcomes or self._call_pending
        )

    def claim(self, pending: PendingClaim) -> list[BucketAction]:
        """Request a claim; `pending.done` receives the result."""
        self._pending_claims.append(pending)
        existing = self._records.get(pending.record.key)
        if existing is not None and existing.state is ClaimState.CLAIMED:
            self._records_current = False
        return self._next_actions(pending.since_ms, pending.record.claimed_at_ms)

    def store_outcome(
        self, record: ClaimRecord, now_ms: float, wall_ms: float
    ) -> list[BucketAction]:
        """Store the outcome of a request whose claim was granted."""
        self._pending_outcomes[record.key] = record
        return self._next_actions(now_ms, wall_ms)

    def wake(self, now_ms: float, wall_ms: float) -> list[BucketAction]:
        """Retry after a failed call and time out overdue claims."""
        self._expire_overdue_claims(now_ms)
        return self._next_actions(now_ms, wall_ms)

    def was_read(
        self,
        records: tuple[ClaimRecord, ...],
        version: StoreVersion | None,
        now_ms: float,
        wall_ms: float,
    ) -> list[BucketAction]:
        """Handle the reply to a read.

        Parameters
        ----------
        records : tuple of ClaimRecord
            Records that the platform holds.
        version : StoreVersion or None
            Version of the stored bucket; None if it does not exist yet.
        now_ms : float
            Monotonic time.
        wall_ms : float
            Wall-clock time.
        """
        self._call_pending = False
        self._records_current = True
        self._version = version
        self._records = {record.key: record for record in records}
        return self._next_actions(now_ms, wall_ms)

    def was_written(
        self, version: StoreVersion, now_ms: float, wall_ms: float
    ) -> list[BucketAction]:
        """Handle the confirmation of the pending write."""
        self._call_pending = False
        self._version = version
        self._records_current = True
        return self._next_actions(now_ms, wall_ms)

    def conflicted(self, now_ms: float, wall_ms: float) -> list[BucketAction]:
        """Read again after a write conflicted with that of another daemon."""
        self._call_pending = False
        self._records_current = False
        return self._next_actions(now_ms, wall_ms)

    def failed(self, now_ms: float) -> list[BucketAction]:
        """Discard the cached records after a call without a reply.

        The call may have taken effect, so that the bucket is read again before
        anything is decided.
        """
        self._call_pending = False
        self._records_current = False
        self._expire_overdue_claims(now_ms)
        if self.idle:
            return []
        return [WakeBucketAfter(RETRY_DELAY_MS)]

    def _next_actions(self, now_ms: float, wall_ms: float) -> list[BucketAction]:
        if self._call_pending or not (self._pending_claims or self._pending_outcomes):
            return []
        if not self._records_current:
            self._call_pending = True
            return [ReadBucket()]
        self._resolve_existing()
        changed = self._apply_pending(wall_ms)
        if not changed:
            return []
        self._call_pending = True
        self._records_current = False
        return [WriteBucket(tuple(self._records.values()), self._version)]

    def _resolve_existing(self) -> None:
        """Resolve pending claims whose key has a record in the stored bucket."""
        pending_claims, self._pending_claims = self._pending_claims, []
        for pending in pending_claims:
            existing = self._records.get(pending.record.key)
            if existing is None or self._may_reclaim(existing, pending):
                self._pending_claims.append(pending)
            elif existing.claim_id == pending.record.claim_id:
                pending.done(Granted())
            else:
                pending.done(AlreadyClaimed(existing))

    @staticmethod
    def _may_reclaim(existing: ClaimRecord, pending: PendingClaim) -> bool:
        same_request = existing.fingerprint == pending.record.fingerprint
        return same_request and existing.state is ClaimState.NOT_RUN

    def _apply_pending(self, wall_ms: float) -> bool:
        """Apply pending claims and outcomes to the records; return if any changed."""
        self._drop_expired_records(wall_ms)
        changed = self._apply_outcomes()
        for pending in list(self._pending_claims):
            key = pending.record.key
            existing = self._records.get(key)
            if existing is not None and not self._may_reclaim(existing, pending):
                continue
            if existing is None and len(self._records) >= MAX_RECORDS_PER_BUCKET:
                self._pending_claims.remove(pending)
                pending.done(Unavailable(full=True))
                continue
            self._records[key] = pending.record
            pending.written = True
            changed = True
        return changed

    def _apply_outcomes(self) -> bool:
        changed = False
        for key, outcome in list(self._pending_outcomes.items()):
            existing = self._records.get(key)
            same_claim = existing is not None and existing.claim_id == outcome.claim_id
            if not same_claim or existing == outcome:
                del self._pending_outcomes[key]
                continue
            self._records[key] = outcome
            changed = True
        return changed

    def _drop_expired_records(self, wall_ms: float) -> None:
        oldest_kept_ms = wall_ms - self._retention_ms
        for key, record in list(self._records.items()):
            if record.claimed_at_ms < oldest_kept_ms:
                del self._records[key]

    def _expire_overdue_claims(self, now_ms: float) -> None:
        """Resolve overdue claims as unavailable.

        A claim that may have been stored gets the outcome `NOT_RUN`, so that the
        same request can claim the key again.
        """
        for pending in list(self._pending_claims):
            if now_ms - pending.since_ms < CLAIM_TIMEOUT_MS:
                continue
            self._pending_claims.remove(pending)
            if pending.written:
                abandoned = attrs.evolve(pending.record, state=ClaimState.NOT_RUN)
                self._pending_outcomes[abandoned.key] = abandoned
            pending.done(Unavailable())


__all__ = [
    "MAX_OUTCOME_CHARS",
    "AlreadyClaimed",
    "BucketAction",
    "ClaimBucket",
    "ClaimRecord",
    "ClaimResult",
    "ClaimState",
    "Granted",
    "PendingClaim",
    "ReadBucket",
    "Unavailable",
    "WakeBucketAfter",
    "WriteBucket",
    "bucket_of",
]
