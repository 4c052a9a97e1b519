"""Simulation of a deployment in virtual time: daemons, backend servers, callers."""

from __future__ import annotations

from itertools import count
from random import Random
from typing import TYPE_CHECKING

import attrs

from ..model.move import MoveRecord
from ..model.request import Priority, Request
from ..node.catalogue import record_converter
from ..node.node import Node, Ports
from ..node.recorder import RING_LENGTH, Recorder
from ..node.sharing import OwnedSharing, Sharing
from ..ports.peer import ReportWarm
from ..ports.platform import Kind, Missing
from ..standins.backend_model import BackendModel, Behaviour, canonical_query
from ..standins.deployments import (
    PortCounter,
    build_members,
    build_profile,
    build_service,
)
from ..standins.object_store import ObjectStore
from ..timers import VirtualTimers
from .fake_platform import FakePlatform, PlatformFaults
from .fakes import FakeBackend, FakeMesh, ProcessTimers
from .samples import Sample, is_correct
from .simulated_daemon import SimulatedDaemon

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.fleet.membership import Member, Membership
    from ..model.answer import Answer
    from ..model.catalogue import ServiceRecord
    from ..model.profile import Profile
    from ..standins.deployments import DeploymentPlan, ServicePlan

START_UP_MS = 1500.0
CALLER_NAMES = ("depot", "hotel", "roadside", "dispatch")


class World:
    """Simulated deployment with its load, driven in virtual time.

    Parameters
    ----------
    plan : DeploymentPlan
        Zones, daemons and services.
    seed : int
        Seed of every random choice.
    make_sharing : Callable, optional
        Returns how daemons share the limits of the servers.
    adjust_profile : Callable, optional
        Changes each service's profile.
    behaviour : Behaviour, optional
        Speed and faults of all servers, except for the service time, which each
        service sets.
    warm : bool
        Whether the servers start warm and the daemons know it.
    ring_length : int
        Number of decision events that each daemon keeps.

    Attributes
    ----------
    random : Random
        Seeded generator of the load and of the daemons' seeds.
    timers : VirtualTimers
        Timers of the simulation.
    store : ObjectStore
        Object store of the platform.
    faults : PlatformFaults
        Injected faults of the platform.
    mesh : FakeMesh
        Message network between the daemons.
    models : dict of str to BackendModel
        Backend servers by name.
    daemons : dict of str to SimulatedDaemon
        Running daemons by name.
    samples : list of Sample
        Requests sent, in order.
    services : dict of str to ServiceRecord
        Service records as last written, by name.
    record_samples : bool
        Whether requests sent are added to `samples`.
    """

    def __init__(
        self,
        plan: DeploymentPlan,
        seed: int,
        make_sharing: Callable[[Membership], Sharing] = OwnedSharing,
        adjust_profile: Callable[[Profile], Profile] = lambda profile: profile,
        behaviour: Behaviour | None = None,
        warm: bool = True,
        ring_length: int = RING_LENGTH,
    ) -> None:
        self.plan = plan
        self.random = Random(seed)
        self.timers = VirtualTimers()
        self.store = ObjectStore()
        self.faults = PlatformFaults()
        self.mesh = FakeMesh(self.timers, plan.zone_delay_ms)
        self.models: dict[str, BackendModel] = {}
        self.daemons: dict[str, SimulatedDaemon] = {}
        self.samples: list[Sample] = []
        self.services: dict[str, ServiceRecord] = {}
        self.record_samples = True
        self._make_sharing = make_sharing
        self._connect_ms: dict[str, float] = {}
        self._request_numbers = count(1)
        self._ports = PortCounter()
        self._behaviour = behaviour or Behaviour()
        self._warm = warm
        self._ring_length = ring_length
        for service in plan.services:
            self._add_service(service, adjust_profile)
        for member in build_members(plan, self._ports):
            self.store.put(
                Kind.MEMBER, member.name, record_converter.unstructure(member)
            )
            daemon = self.add_daemon(member)
            if warm:
                report = ReportWarm(tuple(self.models))
                daemon.node.received("former-owner", report)
        self.run_for(START_UP_MS)

    @property
    def now_ms(self) -> float:
        """Virtual time in milliseconds."""
        return self.timers.now_ms()

    def run_for(self, duration_ms: float) -> None:
        """Run the simulation for `duration_ms` of virtual time."""
        self.timers.run_until(self.timers.now_ms() + duration_ms)

    def add_daemon(
        self, member: Member, seeds: tuple[Member, ...] = ()
    ) -> SimulatedDaemon:
        """Start a daemon; it may ask `seeds` while the platform does not respond."""
        process = ProcessTimers(self.timers)
        backend = FakeBackend(
            process,
            self.models,
            member.zone,
            self.plan.zone_delay_ms,
            self._connect_ms,
        )
        platform = FakePlatform(self.store, process, self.faults)
        ports = Ports(backend, self.mesh.port(member), platform, process)
        random = Random(f"{member.name}/{self.random.random()}")
        node = Node(
            member,
            ports,
            random,
            self._make_sharing,
            seeds=seeds,
            recorder=Recorder(self._ring_length),
        )
        daemon = SimulatedDaemon(node, process, backend, platform)
        self.daemons[member.name] = daemon
        self.mesh.nodes[member.name] = node
        self.mesh.processes[member.name] = process
        node.start()
        return daemon

    def kill_daemon(self, name: str) -> None:
        """End a daemon abruptly; the others notice only that its connections broke."""
        daemon = self.daemons.pop(name)
        daemon.process.killed = True
        daemon.backend.close_all()
        self.mesh.nodes.pop(name)
        for other in self.daemons.values():
            other.node.peer_lost(name)

    def servers_of(self, service: str) -> list[BackendModel]:
        """Return the servers of all versions of a service."""
        names = [s.name for v in self.services[service].versions for s in v.servers]
        return [self.models[name] for name in names]

    def put_service(self, record: ServiceRecord) -> None:
        """Write a service record to the object store."""
        self.services[record.name] = record
        self.store.put(Kind.SERVICE, record.name, record_converter.unstructure(record))

    def add_version(
        self,
        service: str,
        version: str,
        change: Callable[[Behaviour], Behaviour] = lambda behaviour: behaviour,
    ) -> None:
        """Start cold servers of a new version in addition to the present ones.

        Parameters
        ----------
        service : str
            Name of the service; its plan also gives the size of the new version.
        version : str
            Name of the new version.
        change : Callable, optional
            Returns the behaviour of a new server, given that of the service.
        """
        plan = next(s for s in self.plan.services if s.name == service)
        built = build_service(self.plan, plan, self._ports, version)
        record = self.services[service]
        record = attrs.evolve(record, versions=record.versions + built.versions)
        self.add_servers(record, plan)
        for server in built.versions[0].servers:
            model = self.models[server.name]
            model.behaviour = change(model.behaviour)
            model.make_cold()
        self.put_service(record)

    def start_move(self, service: str, version: str, duration_ms: float) -> None:
        """Write a move from the active version to `version`, as an operator would."""
        now_ms = self.timers.wall_ms()
        move = MoveRecord(
            service=service,
            move_id=f"{service}-{version}-{now_ms:.0f}",
            from_version=self.services[service].active,
            to_version=version,
            started_wall_ms=now_ms,
            finish_wall_ms=now_ms + duration_ms,
        )
        self.store.put(Kind.MOVE, service, record_converter.unstructure(move))

    def move_record(self, service: str) -> MoveRecord:
        """Return the move record of a service from the object store.

        Raises
        ------
        AssertionError
            If the service has no move.
        """
        found = self.store.read(Kind.MOVE, service)
        if isinstance(found, Missing):
            raise AssertionError(f"service {service} has no move")
        record: MoveRecord = record_converter.structure(found.stored.spec, MoveRecord)
        return record

    def new_request(
        self,
        service: str,
        query: object = None,
        caller: str | None = None,
        priority: Priority = Priority.NORMAL,
        deadline_ms: float = 370.0,
        repeatable: bool = True,
        idempotency_key: str | None = None,
        shard_key: str | None = None,
    ) -> Request:
        """Return a new request; by default with a query that was not sent before.

        Parameters
        ----------
        service : str
            Service that the request goes to.
        query : object, optional
            Query as a JSON value; defaults to a unique one.
        caller : str, optional
            Name of the caller; defaults to a random one of `CALLER_NAMES`.
        priority : Priority
            Priority in admission.
        deadline_ms : float
            Deadline, relative to the arrival at the daemon.
        repeatable : bool
            Whether the request is idempotent; if so it takes the route `search`,
            otherwise `submit`.
        idempotency_key : str, optional
            Key under which the request is run at most once.
        shard_key : str, optional
            Key whose shard alone the request reads.
        """
        number = next(self._request_numbers)
        query_value = {"q": number} if query is None else query
        return Request(
            request_id=f"r{number}",
            service=service,
            route="search" if repeatable else "submit",
            query=canonical_query(query_value),
            caller=caller or self.random.choice(CALLER_NAMES),
            priority=priority,
            deadline_ms=deadline_ms,
            repeatable=repeatable,
            idempotency_key=idempotency_key,
            shard_key=shard_key,
        )

    def send(self, request: Request, daemon: str | None = None) -> Sample:
        """Send a request to `daemon`; by default to a random ready one.

        Returns
        -------
        Sample
            Gets the answer once it has arrived.
        """
        ready = sorted(n for n, d in self.daemons.items() if d.node.ready)
        name = daemon or self.random.choice(ready)
        target = self.daemons[name]
        sample = Sample(request, self.now_ms)
        if self.record_samples:
            self.samples.append(sample)
        delay_ms = self.plan.caller_delay_ms

        def record_answer(answer: Answer) -> None:
            sample.answer = answer
            sample.elapsed_ms = self.now_ms + delay_ms - sample.sent_ms
            sample.correct = is_correct(request, answer)

        target.process.call_later(
            delay_ms, lambda: target.node.submit(request, record_answer)
        )
        return sample

    def start_load(
        self,
        service: str,
        queries_per_s: float,
        duration_ms: float,
        make_request: Callable[[], Request] | None = None,
    ) -> None:
        """Send requests with exponentially distributed gaps, starting now.

        Parameters
        ----------
        service : str
            Service that the requests go to.
        queries_per_s : float
            Mean rate.
        duration_ms : float
            Virtual time after which no more requests are sent.
        make_request : Callable, optional
            Returns the next request; defaults to a unique query of the service.
        """
        end_ms = self.now_ms + duration_ms

        def send_next() -> None:
            if self.now_ms >= end_ms:
                return
            self.send(make_request() if make_request else self.new_request(service))
            self.timers.call_later(gap_ms(), send_next)

        def gap_ms() -> float:
            return self.random.expovariate(queries_per_s) * 1000.0

        self.timers.call_later(gap_ms(), send_next)

    def extra_load(self, service: str) -> float:
        """Return extra attempts as a fraction of first attempts, over all daemons."""
        states = [d.node.entry.services.state(service) for d in self.daemons.values()]
        first = sum(s.budget.first_attempts for s in states if s)
        extra = sum(s.budget.extra_attempts for s in states if s)
        return extra / first if first else 0.0

    def _add_service(
        self, service: ServicePlan, adjust: Callable[[Profile], Profile]
    ) -> None:
        profile = adjust(build_profile(service))
        self.store.put(
            Kind.PROFILE, profile.name, record_converter.unstructure(profile)
        )
        record = build_service(self.plan, service, self._ports)
        self.add_servers(record, service)
        self.put_service(record)

    def add_servers(self, record: ServiceRecord, service: ServicePlan) -> None:
        """Start those servers of a service record that do not run yet."""
        for version in record.versions:
            shard_map = record.shard_map(version.version)
            tokens = {shard_map.snapshot.token} if shard_map else set()
            for server in version.servers:
                if server.name in self.models:
                    continue
                behaviour = attrs.evolve(self._behaviour, service_ms=service.service_ms)
                model = BackendModel(
                    server, self.timers, Random(server.name), behaviour, set(tokens)
                )
                if not self._warm:
                    model.make_cold()
                self.models[server.name] = model
                self._connect_ms[server.name] = service.connect_ms


__all__ = ["World"]
