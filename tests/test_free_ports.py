"""Ports of stand-in fleets."""

import json
import os
import subprocess
import sys

from pollenseam.standins import fleet

# A few, so that two processes would draw the same; others in another test run.
FIRST_PORT = 30_000 + 40 * (os.getpid() % 50)
PORTS = range(FIRST_PORT, FIRST_PORT + 40)
PRINT_PORTS = f"""
from pollenseam.standins import fleet
fleet.FREE_PORTS = {PORTS}
print([fleet.free_port() for _ in range(20)])
input()
"""


def test_two_processes_are_never_given_the_same_port(monkeypatch):
    """Guards against daemons that end as their port was taken before they bind.

    The port was one that outgoing connections and other tests use too.
    """
    monkeypatch.setattr(fleet, "FREE_PORTS", PORTS)
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
