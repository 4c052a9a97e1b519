"""Driver that stores claims of idempotency keys in the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import cattrs

from ..decisions.requests.claims import (
    CLAIM_TIMEOUT_MS,
    ClaimBucket,
    ClaimRecord,
    PendingClaim,
    ReadBucket,
    WakeBucketAfter,
    WriteBucket,
    bucket_of,
)
from ..ports.platform import Conflicted, Found, Kind, Missing, Written
from .catalogue import record_converter

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.requests.claims import BucketAction, ClaimResult
    from ..ports.platform import PlatformPort, ReadResult, WriteResult
    from ..timers import TimerService

BUCKETS_PER_SERVICE = 16


@attrs.frozen
class BucketSpec:
    """Stored form of a claim bucket."""

    records: tuple[ClaimRecord, ...] = ()


class Claimer:
    """Claims idempotency keys in the platform and stores the outcomes.

    A request with a key runs only after its claim is granted.

    Parameters
    ----------
    platform : PlatformPort
        Stores the claim buckets.
    timers : TimerService
        Clock, and timer for timeouts and retries.
    """

    def __init__(self, platform: PlatformPort, timers: TimerService) -> None:
        self._platform = platform
        self._timers = timers
        self._buckets: dict[str, ClaimBucket] = {}

    def claim(
        self,
        service: str,
        retention_ms: float,
        record: ClaimRecord,
        done: Callable[[ClaimResult], None],
    ) -> None:
        """Claim the key of `record` and pass the result to `done`, once.

        The result is `Unavailable` if the platform does not confirm the claim
        within `CLAIM_TIMEOUT_MS`. Records are kept for `retention_ms` after their
        claim.
        """
        name = self._bucket_name(service, record.key)
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = ClaimBucket(retention_ms)
        pending = PendingClaim(record, self._timers.now_ms(), done)
        self._execute(name, bucket.claim(pending))
        self._timers.call_later(CLAIM_TIMEOUT_MS, lambda: self._wake(name))

    def store_outcome(self, service: str, record: ClaimRecord) -> None:
        """Store the outcome of a request whose claim was granted."""
        name = self._bucket_name(service, record.key)
        bucket = self._buckets.get(name)
        if bucket is not None:
            now_ms, wall_ms = self._timers.now_ms(), self._timers.wall_ms()
            self._execute(name, bucket.store_outcome(record, now_ms, wall_ms))

    @staticmethod
    def _bucket_name(service: str, key: str) -> str:
        return f"{service}-{bucket_of(key, BUCKETS_PER_SERVICE)}"

    def _wake(self, name: str) -> None:
        now_ms, wall_ms = self._timers.now_ms(), self._timers.wall_ms()
        self._execute(name, self._buckets[name].wake(now_ms, wall_ms))

    def _execute(self, name: str, actions: list[BucketAction]) -> None:
        for action in actions:
            match action:
                case ReadBucket():
                    self._platform.read(
                        Kind.CLAIM_BUCKET,
                        name,
                        lambda result: self._on_read(name, result),
                    )
                case WriteBucket(records, version):
                    self._platform.write(
                        Kind.CLAIM_BUCKET,
                        name,
                        record_converter.unstructure(BucketSpec(records)),
                        version,
                        lambda result: self._on_written(name, result),
                    )
                case WakeBucketAfter(delay_ms):
                    self._timers.call_later(delay_ms, lambda: self._wake(name))

    def _on_read(self, name: str, result: ReadResult) -> None:
        bucket = self._buckets[name]
        now_ms, wall_ms = self._timers.now_ms(), self._timers.wall_ms()
        match result:
            case Found(stored):
                try:
                    spec = record_converter.structure(stored.spec, BucketSpec)
                except (cattrs.BaseValidationError, TypeError, ValueError):
                    self._execute(name, bucket.failed(now_ms))
                    return
                self._execute(
                    name, bucket.was_read(spec.records, stored.version, now_ms, wall_ms)
                )
            case Missing():
                self._execute(name, bucket.was_read((), None, now_ms, wall_ms))
            case _:
                self._execute(name, bucket.failed(now_ms))

    def _on_written(self, name: str, result: WriteResult) -> None:
        bucket = self._buckets[name]
        now_ms, wall_ms = self._timers.now_ms(), self._timers.wall_ms()
        match result:
            case Written(stored):
                self._execute(name, bucket.was_written(stored.version, now_ms, wall_ms))
            case Conflicted():
                self._execute(name, bucket.conflicted(now_ms, wall_ms))
            case _:
                self._execute(name, bucket.failed(now_ms))


__all__ = ["Claimer"]
