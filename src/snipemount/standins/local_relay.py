"""The relay between daemons in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..adapters.relay_codec import decode_relay, encode_relay
from ..ports.relay import RelayPort

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.relay import RelayMessage
    from ..ports.relay import DaemonAddress
    from ..timers import TimerService

DELAY_MS = 0.5
SILENCE_MS = 1500.0
CHECK_MS = 100.0


class LocalRelays:
    """The daemons that can follow each other.

    Parameters
    ----------
    timers : TimerService
        Virtual time.
    """

    def __init__(self, timers: TimerService) -> None:
        self.timers = timers
        self.relays: dict[tuple[str, int], LocalRelay] = {}

    def add(
        self,
        host: str,
        snapshot: Callable[[], list[RelayMessage]],
        on_report: Callable[[RelayMessage], None],
    ) -> LocalRelay:
        """Return the relay of a new daemon."""
        relay = LocalRelay(self, host, snapshot, on_report)
        self.relays[host, 1] = relay
        return relay


class LocalRelay(RelayPort):
    """Port of one daemon; each message goes through the codec."""

    def __init__(
        self,
        network: LocalRelays,
        host: str,
        snapshot: Callable[[], list[RelayMessage]],
        on_report: Callable[[RelayMessage], None],
    ) -> None:
        self._on_report = on_report
        self._network = network
        self.host = host
        self._snapshot = snapshot
        self.frozen = False
        self.gone = False
        self._followers: set[LocalRelay] = set()
        self._on_message: Callable[[RelayMessage], None] | None = None
        self._on_end: Callable[[], None] | None = None
        self._leader: LocalRelay | None = None
        self._last_message_ms = 0.0
        network.timers.call_every(CHECK_MS, self._check)

    def follow(
        self,
        daemon: DaemonAddress,
        on_message: Callable[[RelayMessage], None],
        on_end: Callable[[], None],
    ) -> None:
        """Leave the daemon followed so far and follow this one."""
        self.unfollow()
        leader = self._network.relays.get((daemon.host, 1))
        self._on_message = on_message
        self._on_end = on_end
        self._leader = leader
        self._last_message_ms = self._network.timers.now_ms()
        messages = [] if leader is None or leader.gone else leader._snapshot()
        if leader is None or not messages:
            self._network.timers.call_later(DELAY_MS, self._end)
            return
        leader._followers.add(self)
        if not leader.frozen:
            for message in messages:
                leader._send(self, message)

    def unfollow(self) -> None:
        """Follow nobody."""
        if self._leader is not None:
            self._leader._followers.discard(self)
        self._leader = None
        self._on_message = None
        self._on_end = None

    def publish(self, message: RelayMessage) -> None:
        """Pass a message on."""
        if not self.frozen:
            for follower in list(self._followers):
                self._send(follower, message)

    def report(self, message: RelayMessage) -> None:
        """Send a message to the daemon that is followed, if any."""
        leader = self._leader
        if leader is None or self.frozen or leader.frozen:
            return
        frame = encode_relay(message)
        timers = self._network.timers
        timers.call_later(DELAY_MS, lambda: leader._on_report(decode_relay(frame)))

    def kill(self) -> None:
        """End the daemon: its followers see the connection close."""
        self.gone = True
        self.unfollow()
        for follower in list(self._followers):
            self._network.timers.call_later(DELAY_MS, follower._end)

    def _send(self, follower: LocalRelay, message: RelayMessage) -> None:
        frame = encode_relay(message)
        timers = self._network.timers
        timers.call_later(DELAY_MS, lambda: follower._receive(self, frame))

    def _receive(self, sender: LocalRelay, frame: bytes) -> None:
        if sender is self._leader and self._on_message is not None:
            self._last_message_ms = self._network.timers.now_ms()
            self._on_message(decode_relay(frame))

    def _check(self) -> None:
        silence_ms = self._network.timers.now_ms() - self._last_message_ms
        if self._leader is not None and silence_ms > SILENCE_MS:
            self._end()

    def _end(self) -> None:
        on_end = self._on_end
        self.unfollow()
        if on_end is not None:
            on_end()


__all__ = ["LocalRelay", "LocalRelays"]
