"""The order of ranks at an entry VM: which services, messages, counts."""

import types

import msgspec
import pytest

from pollenseam import errors
from pollenseam import events
from pollenseam import items
from pollenseam import metrics
from pollenseam import observations
from pollenseam import options
from pollenseam import rankorder
from pollenseam import rankwatch
from pollenseam import routing
from pollenseam import scarcitymessages
from pollenseam import workestimates


def route(prefix, service, priority, is_open=False):
    splits = [items.Split(service, 1.0)]
    return items.Route(
        "h", prefix, True, 8.0, 1.0, priority, splits, 2, is_open, True, []
    )


def table(routes, workspaces=()):
    bodies = {("route", str(n)): body for n, body in enumerate(routes)}
    for n, priority in enumerate(workspaces):
        workspace = items.Workspace([f"k{n}"], priority, 0.0, 0.0, [])
        bodies["workspace", f"w{n}"] = workspace
    return routing.build(
        {
            (kind, name): items.Item(kind, name, 1, body)
            for (kind, name), body in bodies.items()
        }
    )


@pytest.mark.parametrize(
    ("routes", "workspaces", "ranked"),
    [
        ([route("/a/", "s1", 0), route("/b/", "s1", 1)], [None], {"s1"}),
        ([route("/a/", "s1", 0), route("/b/", "s2", 1)], [None], set()),
        # The workspaces' priority goes before that of the routes.
        ([route("/a/", "s1", 0), route("/b/", "s1", 1)], [2], set()),
        ([route("/a/", "s1", 0)], [None, 2], {"s1"}),
        ([route("/a/", "s1", 0)], [0, 0], set()),
        ([route("/a/", "s1", 1, True), route("/b/", "s1", 0)], [0], {"s1"}),
        ([route("/a/", "s1", 0), route("/b/", "s1", 1)], [], {"s1"}),
    ],
)
def test_a_service_has_an_order_only_if_its_requests_differ_in_rank(
    routes, workspaces, ranked
):
    assert rankwatch.ranked_services(table(routes, workspaces)) == ranked


class Lines:
    """Event log that keeps the names of its lines."""

    def __init__(self):
        self.names = []

    def emit_often(self, event, **fields):
        events.format_line("vm1", 1, event, fields)
        self.names.append(event)


def open_watch():
    watch = rankwatch.RankWatch(
        options.Options({rankorder.STRENGTH.name: 1.0}),
        Lines(),
        metrics.EntryMetrics(),
        lambda: 1.0,
    )
    watch.adopt_table(
        table([route("/a/", "s1", 0), route("/b/", "s1", 1)], [None])
    )
    return watch


def active_call(priority):
    return types.SimpleNamespace(
        service="s1",
        priority=priority,
        deadline=9.0,
        call=types.SimpleNamespace(id="q1", workspace="w0"),
        pool=types.SimpleNamespace(
            work_estimates=workestimates.WorkEstimates()
        ),
        named_route=types.SimpleNamespace(name="r1"),
        found_no_room=False,
    )


def test_who_is_refused_and_why_is_counted_and_logged():
    watch = open_watch()
    word = scarcitymessages.ServiceRoom("s1", (100, 100), 150)
    watch.order.adopt([word], 1.0)
    refused = []
    for _ in range(20):
        watch.check(active_call(0))
        try:
            watch.check(active_call(1))
        except errors.RefusedError as error:
            refused.append(error.refusal)
    assert 9 <= len(refused) <= 11
    assert all(r.kind == errors.Kind.NO_ROOM for r in refused)
    assert all(r.executed == "no" and r.retry_after > 0 for r in refused)
    assert set(watch.log.names) == {"service-short", "rank-refused"}
    watch.update_gauges()
    text = watch.metrics.expose({})
    assert 'pollenseam_admitted_ratio{service="s1",rank="1"} 0.5' in text
    counted = f'{{service="s1",rank="1",reason="rank"}} {len(refused)}'
    assert f"pollenseam_refused_ranks_total{counted}" in text


def test_only_refusals_for_lack_of_room_are_told_to_the_leader():
    watch = open_watch()
    refusal = errors.refuse(errors.Kind.NO_ROOM, "no room", "no").refusal
    call = active_call(1)
    watch.check(call)
    watch.record_refusal(call, refusal)
    assert not watch.order.build_report()
    call.found_no_room = True
    watch.record_refusal(call, refusal)
    report = watch.order.build_report()
    assert [load.turned_away_count for load in report] == [1]
    late = errors.refuse(errors.Kind.DEADLINE, "late", "unknown").refusal
    watch.record_refusal(call, late)
    assert watch.order.build_report() == report


def test_the_leader_sums_the_vms_of_a_region_only():
    board = observations.Board(lambda fingerprint: None)
    load = scarcitymessages.ServiceLoad("s1", (500, 500), 1000, 500, 50, 9)
    for step in range(4):
        for name in ("vm1", "vm2"):
            report = observations.Report(loads=(load,))
            sender = observations.Sender(name, "r1")
            update = board.answer(report, 1, step * 0.5, sender)
    room = update.rooms[0]
    assert room.offered == (1000, 1000)
    assert 0 < room.room < 2000
    other = observations.Sender("vm3", "r2")
    assert not board.answer(observations.Report(), 1, 2.0, other).rooms


class OldReport(msgspec.Struct, array_like=True):
    """Report of a build that does not exchange loads."""

    known: observations.Revisions
    statements: list[object]
    crashed_runs: list[object]
    succeeded: list[bytes]
    blocks: list[object]


class OldUpdate(msgspec.Struct, array_like=True):
    """Update of a build that does not exchange loads."""

    revisions: observations.Revisions
    statements: list[object]
    suspicions: list[object]


def test_builds_that_exchange_no_loads_understand_the_messages():
    load = scarcitymessages.ServiceLoad("s1", (1, 2), 3, 1, 1, 9)
    room = scarcitymessages.ServiceRoom("s1", (1, 2), 3)
    revisions = observations.Revisions()
    new_report = msgspec.msgpack.encode(observations.Report(loads=(load,)))
    new_update = msgspec.msgpack.encode(
        observations.Update(revisions, [], [], [room])
    )
    assert msgspec.msgpack.decode(new_report, type=OldReport).blocks == []
    assert msgspec.msgpack.decode(new_update, type=OldUpdate).suspicions == []
    old_report = msgspec.msgpack.encode(OldReport(revisions, [], [], [], []))
    old_update = msgspec.msgpack.encode(OldUpdate(revisions, [], []))
    report = msgspec.msgpack.decode(old_report, type=observations.Report)
    update = msgspec.msgpack.decode(old_update, type=observations.Update)
    assert report.loads == () and update.rooms == []


def test_a_report_of_a_service_takes_some_tens_of_bytes():
    load = scarcitymessages.ServiceLoad(
        "booking-service", (90_000, 40_000, 10_000), 100_000, 40_000, 300, 1_098
    )
    room = scarcitymessages.ServiceRoom(
        "booking-service", (900_000, 400_000, 100_000), 1_000_000, 250
    )
    assert len(msgspec.msgpack.encode(load)) < 60
    assert len(msgspec.msgpack.encode(room)) < 60
