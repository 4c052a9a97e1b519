"""Durable claims of idempotency keys, grouped into buckets."""

from __future__ import annotations

import hashlib
from enum import IntEnum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

MOST_RECORDS = 2000
MOST_OUTCOME_CHARS = 2048
GIVE_UP_MS = 150.0
RETRY_AFTER_MS = 20.0


class ClaimState(IntEnum):
    """What a claim record says of its request."""

    CLAIMED = 0
    DONE = 1
    NOT_RUN = 2


@attrs.define
class ClaimRecord:
    """One claimed key in a bucket.

    Parameters
    ----------
    key : str
        Caller identity and idempotency key.
    fingerprint : str
        Fingerprint of the request that claimed it.
    claim_id : str
        Unique id of the claim; settles lost replies.
    claimed_at_ms : float
        Wall-clock time of the claim.
    state : ClaimState
        What is known of the request.
    outcome : str
        Answer as JSON text once done; empty when it was too large to keep.
    """

    key: str
    fingerprint: str
    claim_id: str
    claimed_at_ms: float
    state: ClaimState = ClaimState.CLAIMED
    outcome: str = ""


@attrs.frozen
class Granted:
    """The key is claimed for this request, which may now run."""


@attrs.frozen
class Existing:
    """The key was claimed before, by this record."""

    record: ClaimRecord


@attrs.frozen
class Unavailable:
    """The platform did not confirm the claim in time; do not run."""

    full: bool = False


ClaimResult = Granted | Existing | Unavailable


@attrs.frozen
class ReadBucket:
    """Read the bucket from the platform."""


@attrs.frozen
class WriteBucket:
    """Write the records conditionally; `version` None creates the bucket."""

    records: tuple[ClaimRecord, ...]
    version: int | None


@attrs.frozen
class WakeBucketAfter:
    """Call `wake` after this delay."""

    delay_ms: float


BucketAction = ReadBucket | WriteBucket | WakeBucketAfter


@attrs.define(eq=False)
class Wanted:
    """A claim that is waiting for the platform."""

    record: ClaimRecord
    since_ms: float
    done: Callable[[ClaimResult], None]
    written: bool = False


def bucket_of(key: str, buckets: int) -> int:
    """Return the bucket, from 0 to `buckets` - 1, that holds `key`."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % buckets


class ClaimBucket:
    """One bucket object: claims and outcomes that share its writes.

    At most one read or write is under way. A write whose reply is lost is
    settled by reading back: the claim id tells whose claim took effect.

    Parameters
    ----------
    retention_ms : float
        How long a record is kept.
    """

    def __init__(self, retention_ms: float) -> None:
        self._retention_ms = retention_ms
        self._version: int | None = None
        self._records: dict[str, ClaimRecord] = {}
        self._fresh = False
        self._busy = False
        self._waiting: list[Wanted] = []
        self._outcomes: dict[str, ClaimRecord] = {}

    @property
    def idle(self) -> bool:
        """Whether no claim and no outcome waits for the platform."""
        return not (self._waiting or self._outcomes or self._busy)

    def claim(self, wanted: Wanted) -> list[BucketAction]:
        """Ask for a claim; the result goes to `wanted.done`."""
        self._waiting.append(wanted)
        known = self._records.get(wanted.record.key)
        if known is not None and known.state is ClaimState.CLAIMED:
            self._fresh = False
        return self._proceed(wanted.since_ms, wanted.record.claimed_at_ms)

    def settle(
        self, record: ClaimRecord, now_ms: float, wall_ms: float
    ) -> list[BucketAction]:
        """Store what became of a claimed request."""
        self._outcomes[record.key] = record
        return self._proceed(now_ms, wall_ms)

    def wake(self, now_ms: float, wall_ms: float) -> list[BucketAction]:
        """Try again after a failure and give up on what is overdue."""
        self._give_up(now_ms)
        return self._proceed(now_ms, wall_ms)

    def was_read(
        self,
        records: tuple[ClaimRecord, ...],
        version: int | None,
        now_ms: float,
        wall_ms: float,
    ) -> list[BucketAction]:
        """Take the bucket as the platform holds it; `version` None: none yet."""
        self._busy = False
        self._fresh = True
        self._version = version
        self._records = {record.key: record for record in records}
        return self._proceed(now_ms, wall_ms)

    def was_written(
        self, version: int, now_ms: float, wall_ms: float
    ) -> list[BucketAction]:
        """Take the confirmation of the write under way."""
        self._busy = False
        self._version = version
        self._fresh = True
        return self._proceed(now_ms, wall_ms)

    def conflicted(self, now_ms: float, wall_ms: float) -> list[BucketAction]:
        """Read again after another daemon has written the bucket."""
        self._busy = False
        self._fresh = False
        return self._proceed(now_ms, wall_ms)

    def failed(self, now_ms: float) -> list[BucketAction]:
        """Doubt all that is known of the bucket after a call without a reply."""
        self._busy = False
        self._fresh = False
        self._give_up(now_ms)
        if self.idle:
            return []
        return [WakeBucketAfter(RETRY_AFTER_MS)]

    def _proceed(self, now_ms: float, wall_ms: float) -> list[BucketAction]:
        if self._busy or not (self._waiting or self._outcomes):
            return []
        if not self._fresh:
            self._busy = True
            return [ReadBucket()]
        self._answer_known()
        changed = self._prepare(wall_ms)
        if not changed:
            return []
        self._busy = True
        self._fresh = False
        return [WriteBucket(tuple(self._records.values()), self._version)]

    def _answer_known(self) -> None:
        """Answer the claims that the confirmed records already decide."""
        waiting, self._waiting = self._waiting, []
        for wanted in waiting:
            known = self._records.get(wanted.record.key)
            if known is None or self._may_reclaim(known, wanted):
                self._waiting.append(wanted)
            elif known.claim_id == wanted.record.claim_id:
                wanted.done(Granted())
            else:
                wanted.done(Existing(known))

    @staticmethod
    def _may_reclaim(known: ClaimRecord, wanted: Wanted) -> bool:
        same = known.fingerprint == wanted.record.fingerprint
        return same and known.state is ClaimState.NOT_RUN

    def _prepare(self, wall_ms: float) -> bool:
        """Put waiting claims and outcomes into the records to write."""
        self._prune(wall_ms)
        changed = self._apply_outcomes()
        for wanted in list(self._waiting):
            key = wanted.record.key
            taken = self._records.get(key)
            if taken is not None and not self._may_reclaim(taken, wanted):
                continue
            if taken is None and len(self._records) >= MOST_RECORDS:
                self._waiting.remove(wanted)
                wanted.done(Unavailable(full=True))
                continue
            self._records[key] = wanted.record
            wanted.written = True
            changed = True
        return changed

    def _apply_outcomes(self) -> bool:
        changed = False
        for key, outcome in list(self._outcomes.items()):
            known = self._records.get(key)
            same = known is not None and known.claim_id == outcome.claim_id
            if not same or known == outcome:
                del self._outcomes[key]
                continue
            self._records[key] = outcome
            changed = True
        return changed

    def _prune(self, wall_ms: float) -> None:
        oldest_ms = wall_ms - self._retention_ms
        for key, record in list(self._records.items()):
            if record.claimed_at_ms < oldest_ms:
                del self._records[key]

    def _give_up(self, now_ms: float) -> None:
        """Refuse overdue claims; one that may stand is marked as not run."""
        for wanted in list(self._waiting):
            if now_ms - wanted.since_ms < GIVE_UP_MS:
                continue
            self._waiting.remove(wanted)
            if wanted.written:
                abandoned = attrs.evolve(wanted.record, state=ClaimState.NOT_RUN)
                self._outcomes[abandoned.key] = abandoned
            wanted.done(Unavailable())


__all__ = [
    "MOST_OUTCOME_CHARS",
    "BucketAction",
    "ClaimBucket",
    "ClaimRecord",
    "ClaimResult",
    "ClaimState",
    "Existing",
    "Granted",
    "ReadBucket",
    "Unavailable",
    "WakeBucketAfter",
    "Wanted",
    "WriteBucket",
    "bucket_of",
]
