"""In-memory relay between daemons, in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..adapters.relay_codec import decode_relay, encode_relay
from ..adapters.usage_codec import decode_usage, encode_usage
from ..model.relay import RelayUsage
from ..ports.relay import RelayPort

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.relay import FollowerMessage, RelayMessage
    from ..ports.relay import DaemonAddress
    from ..timers import TimerService

NETWORK_DELAY_MS = 0.5
MESSAGE_TIMEOUT_MS = 1500.0
TIMEOUT_CHECK_PERIOD_MS = 100.0


class LocalRelayNetwork:
    """Network of in-memory relays, addressed by host.

    Parameters
    ----------
    timers : TimerService
        Clock and timers in virtual time.
    """

    def __init__(self, timers: TimerService) -> None:
        self.timers = timers
        self.relays: dict[tuple[str, int], LocalRelay] = {}

    def add(
        self,
        host: str,
        snapshot: Callable[[], list[RelayMessage]],
        on_report: Callable[[FollowerMessage], None],
    ) -> LocalRelay:
        """Add a daemon and return its relay.

        Parameters
        ----------
        host : str
            Address at which other daemons follow this one.
        snapshot : Callable
            Returns the messages that a new follower gets first; while it returns
            none, followers are turned away.
        on_report : Callable
            Called with each message that a follower reports.
        """
        relay = LocalRelay(self, host, snapshot, on_report)
        self.relays[host, 1] = relay
        return relay


class LocalRelay(RelayPort):
    """Relay of one daemon; encodes and decodes each message as on the wire."""

    def __init__(
        self,
        network: LocalRelayNetwork,
        host: str,
        snapshot: Callable[[], list[RelayMessage]],
        on_report: Callable[[FollowerMessage], None],
    ) -> None:
        self._on_report = on_report
        self._network = network
        self.host = host
        self._snapshot = snapshot
        self.frozen = False
        self.crashed = False
        self._followers: set[LocalRelay] = set()
        self._on_message: Callable[[RelayMessage], None] | None = None
        self._on_end: Callable[[], None] | None = None
        self._followed: LocalRelay | None = None
        self._last_message_ms = 0.0
        network.timers.call_every(TIMEOUT_CHECK_PERIOD_MS, self._check_timeout)

    def follow(
        self,
        daemon: DaemonAddress,
        on_message: Callable[[RelayMessage], None],
        on_end: Callable[[], None],
    ) -> None:
        """Follow a daemon in place of the one followed so far.

        Parameters
        ----------
        daemon : DaemonAddress
            Daemon to follow.
        on_message : Callable
            Called with each message of that daemon.
        on_end : Callable
            Called when the daemon can't be followed, ends or is unresponsive.
        """
        self.unfollow()
        followed = self._network.relays.get((daemon.host, 1))
        self._on_message = on_message
        self._on_end = on_end
        self._followed = followed
        self._last_message_ms = self._network.timers.now_ms()
        messages = [] if followed is None or followed.crashed else followed._snapshot()
        if followed is None or not messages:
            self._network.timers.call_later(NETWORK_DELAY_MS, self._end_following)
            return
        followed._followers.add(self)
        if not followed.frozen:
            for message in messages:
                followed._send(self, message)

    def unfollow(self) -> None:
        """Stop following, without a call of `on_end`."""
        if self._followed is not None:
            self._followed._followers.discard(self)
        self._followed = None
        self._on_message = None
        self._on_end = None

    def publish(self, message: RelayMessage) -> None:
        """Send a message to all followers; do nothing while frozen."""
        if not self.frozen:
            for follower in list(self._followers):
                self._send(follower, message)

    def report(self, message: FollowerMessage) -> None:
        """Send a message to the followed daemon; do nothing when there is none."""
        followed = self._followed
        if followed is None or self.frozen or followed.frozen:
            return
        received: FollowerMessage
        if isinstance(message, RelayUsage):
            received = decode_usage(encode_usage(message))
        else:
            received = decode_relay(encode_relay(message))
        timers = self._network.timers
        timers.call_later(NETWORK_DELAY_MS, lambda: followed._on_report(received))

    def kill(self) -> None:
        """Crash the daemon; its followers get the end of their connection."""
        self.crashed = True
        self.unfollow()
        for follower in list(self._followers):
            self._network.timers.call_later(NETWORK_DELAY_MS, follower._end_following)

    def _send(self, follower: LocalRelay, message: RelayMessage) -> None:
        frame = encode_relay(message)
        timers = self._network.timers
        timers.call_later(NETWORK_DELAY_MS, lambda: follower._receive(self, frame))

    def _receive(self, sender: LocalRelay, frame: bytes) -> None:
        if sender is self._followed and self._on_message is not None:
            self._last_message_ms = self._network.timers.now_ms()
            self._on_message(decode_relay(frame))

    def _check_timeout(self) -> None:
        idle_ms = self._network.timers.now_ms() - self._last_message_ms
        if self._followed is not None and idle_ms > MESSAGE_TIMEOUT_MS:
            self._end_following()

    def _end_following(self) -> None:
        on_end = self._on_end
        self.unfollow()
        if on_end is not None:
            on_end()


__all__ = ["LocalRelay", "LocalRelayNetwork"]
