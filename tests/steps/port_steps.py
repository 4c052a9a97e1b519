"""Steps for the allocation of ports on loopback."""

from __future__ import annotations

from behave import then

from snipemount.standins.harness import END_PORT, free_port


@then("{count:d} allocated ports are unique and below the kernel's ephemeral range")
def step_ports(context, count):
    ports = [free_port() for _ in range(count)]
    assert len(set(ports)) == count
    assert max(ports) < END_PORT
