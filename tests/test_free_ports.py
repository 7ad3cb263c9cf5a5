"""Ports of stand-in fleets."""

import json
import subprocess
import sys

from pollenseam.standins import fleet

PRINT_PORTS = """
from pollenseam.standins import fleet
fleet.FREE_PORTS = range(30_000, 30_040)
print([fleet.free_port() for _ in range(20)])
input()
"""


def test_two_processes_are_never_given_the_same_port(monkeypatch):
    """Guards against daemons that end as their port was taken before they bind.

    The port was one that outgoing connections and other tests use too.
    """
    monkeypatch.setattr(fleet, "FREE_PORTS", range(30_000, 30_040))
    with subprocess.Popen(
        [sys.executable, "-c", PRINT_PORTS],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        other_ports = json.loads(other.stdout.readline())
        own_ports = [fleet.free_port() for _ in range(10)]
        other.communicate("\n")
    assert len(other_ports) == 20
    assert not set(own_ports) & set(other_ports)
