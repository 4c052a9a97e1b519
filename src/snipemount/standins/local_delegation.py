"""In-memory connections for delegated queries, in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..adapters.delegation_codec import decode_delegation, encode_delegation
from ..ports.delegation import DelegationLink, DelegationPort

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.delegation import DelegationMessage
    from ..ports.delegation import DelegationHandler
    from ..ports.relay import DaemonAddress
    from ..timers import TimerService
    from .modelled_vm import ModelledVm

NETWORK_DELAY_MS = 0.5
CONNECT_MS = 2.0
MESSAGE_CORE_MS = 0.3  # to encode or decode a message


@attrs.define(eq=False)
class LocalPeer:
    """A daemon in the network of delegated queries.

    Parameters
    ----------
    name : str
        Its name.
    vm : ModelledVm
        Its VM, whose link and processor messages use.
    handler : DelegationHandler
        Receives what is delegated to it.
    unreachable : bool
        Whether its messages and those to it are lost, without an end of connections.
    partition : str
        Part of the network; messages to other parts are lost.
    mute : bool
        Whether its messages are lost, while those to it arrive.
    crashed : bool
        Whether connections to it are refused.
    """

    name: str
    vm: ModelledVm
    handler: DelegationHandler
    unreachable: bool = False
    partition: str = ""
    mute: bool = False
    crashed: bool = False
    links: list[LocalDelegationLink] = attrs.field(factory=list)

    @property
    def can_send(self) -> bool:
        """Whether its messages get to the network."""
        return not (self.unreachable or self.mute or self.crashed)

    def reaches(self, peer: LocalPeer) -> bool:
        """Return whether the network carries messages to another daemon."""
        unreachable = self.unreachable or peer.unreachable
        return not unreachable and self.partition == peer.partition


class LocalDelegationLink(DelegationLink):
    """One end of a connection; passes each message through the codec."""

    def __init__(self, network: LocalDelegation, own: LocalPeer) -> None:
        self._network = network
        self._own = own
        self.other: LocalDelegationLink | None = None
        self.peer: LocalPeer | None = None
        self.on_message: Callable[[DelegationMessage], None] | None = None
        self.on_end: Callable[[], None] | None = None

    def send(self, message: DelegationMessage) -> None:
        """Send a message over the links of both VMs."""
        other, peer, own = self.other, self.peer, self._own
        if other is None or peer is None or not own.can_send:
            return
        frame = encode_delegation(message)
        self._network.deliveries.append((own.name, peer.name, message))
        timers = self._network.timers

        def deliver() -> None:
            if other.on_message is not None:
                other.on_message(decode_delegation(frame))

        def arrive() -> None:
            if own.reaches(peer) and not peer.crashed:
                peer.vm.receive(len(frame), MESSAGE_CORE_MS, deliver)

        def leave() -> None:
            timers.call_later(NETWORK_DELAY_MS, arrive)

        own.vm.process(MESSAGE_CORE_MS, lambda: own.vm.transmit(len(frame), leave))

    def close(self) -> None:
        """End the connection at both ends."""
        other, self.other = self.other, None
        self.on_message = self.on_end = None
        if other is not None:
            other.other = None
            self._network.timers.call_later(NETWORK_DELAY_MS, other.end)

    def end(self) -> None:
        """Call `on_end` once."""
        on_end, self.on_end = self.on_end, None
        self.on_message = None
        if on_end is not None:
            on_end()


class LocalDelegation:
    """Network of daemons that delegate queries, addressed by name.

    Parameters
    ----------
    timers : TimerService
        Clock and timers.
    """

    def __init__(self, timers: TimerService) -> None:
        self.timers = timers
        self.peers: dict[str, LocalPeer] = {}
        # Sender, receiver and message of each message that was sent.
        self.deliveries: list[tuple[str, str, DelegationMessage]] = []

    @property
    def messages(self) -> list[DelegationMessage]:
        """All messages that were sent."""
        return [message for _, _, message in self.deliveries]

    def add(self, name: str, vm: ModelledVm, handler: DelegationHandler) -> LocalPeer:
        """Add a daemon."""
        peer = LocalPeer(name, vm, handler)
        self.peers[name] = peer
        return peer

    def crash(self, name: str) -> None:
        """End all connections of a daemon and refuse new ones."""
        peer = self.peers[name]
        peer.crashed = True
        for link in peer.links:
            link.close()
        peer.links.clear()


class LocalDelegationClient(DelegationPort):
    """Opens connections in a network of daemons.

    Parameters
    ----------
    network : LocalDelegation
        The network.
    own_name : str
        Name of the daemon that connects.
    """

    def __init__(self, network: LocalDelegation, own_name: str) -> None:
        self._network = network
        self._own_name = own_name

    def connect(
        self,
        daemon: DaemonAddress,
        on_open: Callable[[], None],
        on_message: Callable[[DelegationMessage], None],
        on_end: Callable[[], None],
    ) -> DelegationLink:
        """Open a connection; it hangs if one of the daemons is unreachable."""
        network = self._network
        own, peer = network.peers[self._own_name], network.peers[daemon.name]
        near = LocalDelegationLink(network, own)
        near.on_message, near.on_end = on_message, on_end

        def opened() -> None:
            if peer.crashed:
                near.end()
            elif own.reaches(peer) and near.on_end:
                self._join(near, own, peer)
                on_open()

        network.timers.call_later(CONNECT_MS, opened)
        return near

    def _join(self, near: LocalDelegationLink, own: LocalPeer, peer: LocalPeer) -> None:
        far = LocalDelegationLink(self._network, peer)
        near.other, near.peer = far, peer
        far.other, far.peer = near, own
        far.on_message = lambda message: peer.handler.on_message(far, message)
        far.on_end = lambda: peer.handler.on_link_ended(far)
        peer.links.append(far)
        own.links.append(near)
        peer.handler.on_link_opened(far)


__all__ = ["LocalDelegation", "LocalDelegationClient", "LocalPeer"]
