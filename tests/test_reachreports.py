"""Reports of VMs that do not reach a service: spread, end, size, versions."""

import msgspec
import test_members

from pollenseam import messages
from pollenseam import reachreports

SERVICES = ["/teams/team/services/a", "/teams/team/services/b"]
# What a node may use for control traffic.
MAX_BYTES_PER_SECOND = 6000


def names_cut_off(fleet, service=SERVICES[0]):
    return [
        node.reach_reports.cut_off(service, fleet.now)
        for node in fleet.nodes.values()
    ]


def step(fleet, cut_off, rounds):
    for _ in range(rounds):
        for name, node in fleet.nodes.items():
            services = SERVICES if name in cut_off else []
            node.update_reach(services, fleet.now)
        fleet.step(int(fleet.now))


def test_reports_spread_are_renewed_end_and_stay_small():
    """Guards against VMs that are named although others say they are cut off.

    Half of the VMs are cut off from two services.
    """
    fleet = test_members.Fleet(40, loss=0.05)
    step(fleet, set(), 20)
    cut_off = {f"v{n}" for n in range(20)}
    step(fleet, cut_off, 6)
    assert names_cut_off(fleet) == [cut_off] * 40
    fleet.bytes = 0
    for _ in range(60):
        step(fleet, cut_off, 1)
        assert names_cut_off(fleet) == [cut_off] * 40
    # Bytes sent and received.
    per_second = 2 * fleet.bytes / 40 / 60
    assert per_second < MAX_BYTES_PER_SECOND, per_second
    step(fleet, set(), 6)
    assert names_cut_off(fleet) == [set()] * 40
    step(fleet, set(), int(reachreports.REPORT_SECONDS))
    assert not any(node.reach_reports.known for node in fleet.nodes.values())


def test_a_report_whose_end_was_missed_does_not_last():
    """Guards against a VM that callers are kept from for good."""
    fleet = test_members.Fleet(3)
    step(fleet, {"v1"}, 2)
    assert "v1" in names_cut_off(fleet)[0]
    del fleet.nodes["v1"]
    step(fleet, set(), int(reachreports.REPORT_SECONDS))
    assert names_cut_off(fleet) == [set()] * 2


def make_report(number, services, left_ms=9000, vm="b", incarnation=1):
    return messages.ReachReport(vm, incarnation, number, services, left_ms)


def test_an_older_report_never_replaces_a_newer_one():
    """Guards against reports that gossip brings late."""
    later = make_report(2, [])
    for order in ([make_report(1, ["s"]), later], [later, make_report(1, "s")]):
        reports = reachreports.ReachReports("a")
        for report in order:
            reports.merge(report, ["b"], 3, 0.0)
        assert reports.cut_off("s", 0.0) == set()
    assert reports.merge(make_report(1, ["s"], incarnation=2), ["b"], 3, 0.0)
    assert reports.cut_off("s", 8.9) == {"b"}
    assert reports.cut_off("s", 9.0) == set()


def test_reports_are_bounded_in_time_number_and_size():
    """Guards against one VM that fills the messages of all."""
    reports = reachreports.ReachReports("a")
    names = [f"v{n}" for n in range(30)]
    services = [f"s{n:02}" for n in range(20)]
    for name in names:
        report = make_report(1, list(services), 10**9, name)
        reports.merge(report, names, 1, 0.0)
    assert not reports.merge(make_report(1, ["s"], vm="x"), names, 1, 0.0)
    assert not reports.merge(make_report(9, ["s"], vm="a"), ["a"], 1, 0.0)
    first = reports.pending(0.0)
    assert len(first) == reachreports.MAX_REPORTS
    assert len(first[0].services) == reachreports.MAX_SERVICES
    assert first[0].left_ms <= reachreports.REPORT_SECONDS * 1000
    assert reports.update_own(services, 1, 1, 0.0)
    assert len(reports.pending(0.0)) == reachreports.MAX_REPORTS
    assert not reports.update_own(services, 1, 1, 1.0)


class OldGossip(msgspec.Struct, array_like=True):
    """The message of daemons that know no reports."""

    sender: str
    logical: int
    vms: list[messages.Vm]
    vm_heartbeats: list[messages.VmHeartbeat]
    upstreams: list[messages.Upstream]
    upstream_heartbeats: list[messages.ServiceHeartbeats] = []
    wants_all_records: bool = False


def test_older_daemons_read_messages_with_reports_and_the_other_way():
    """Guards against a rolling update in which VMs lose each other."""
    record = test_members.vm("v")
    new = messages.Gossip("v", 3, [record], [], [], [], True)
    new.reach_reports = [make_report(1, SERVICES)]
    old = msgspec.msgpack.decode(messages.encode(new), type=OldGossip)
    assert (old.vms, old.wants_all_records) == ([record], True)
    read = msgspec.msgpack.decode(messages.encode(old), type=messages.Gossip)
    assert (read.vms, read.reach_reports) == ([record], [])
