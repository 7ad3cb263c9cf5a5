"""Where a request would go: the answer, and that asking changes nothing."""

import asyncio
import io

import hedges
import msgspec
import program
import pytest
import test_rogue_upstreams
import virtualtime

from pollenseam import cli
from pollenseam import commandline
from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import events
from pollenseam import items
from pollenseam import leases
from pollenseam import placements
from pollenseam import placing
from pollenseam import wherecommands
from pollenseam.standins import fleet


def dump(value, seen=None):
    """Returns all state that can be reached from a value, as text."""
    seen = set() if seen is None else seen
    if isinstance(value, str | bytes | int | float | bool | type(None)):
        return repr(value)
    if id(value) in seen:
        return "again"
    seen.add(id(value))
    if isinstance(value, dict):
        pairs = [f"{dump(k)}:{dump(v, seen)}" for k, v in value.items()]
        return f"{{{','.join(pairs)}}}"
    if isinstance(value, list | tuple | set | frozenset):
        return f"[{','.join(dump(v, seen) for v in value)}]"
    if not type(value).__module__.startswith("pollenseam"):
        return type(value).__name__
    names = [
        name
        for type_ in type(value).__mro__
        for name in getattr(type_, "__slots__", ())
    ] + list(getattr(value, "__dict__", ()))
    parts = [f"{n}={dump(getattr(value, n, None), seen)}" for n in names]
    return f"{type(value).__name__}({','.join(parts)})"


def state(world):
    """Returns what a request that is sent would change."""
    vm = world.vm
    named = vm.table.find_route("h", "/a/1")
    return [
        dump(vm.pools["s1"]),
        dump(named),
        dump(vm.dispatcher.retry_budgets),
        dump(vm.shares.lease_table),
        dump(vm.metrics.attempts.counts),
        dump(vm.metrics.answers.counts),
        vm.in_flight,
    ]


def playing(monkeypatch, check, **more):
    async def run():
        plan = more.pop("plan", lambda upstream: hedges.Answer(0.1))
        async with hedges.world(monkeypatch, plan, **more) as world:
            await check(world)

    virtualtime.run(run())


def find(world, workspace="w1", object="", **more):
    query = placements.Query("h", "/a/1", workspace, object=object, **more)
    return placing.find(world.vm, query)


def first_sent(world):
    return world.session.sent[-1][0]


@pytest.mark.parametrize("upstreams", [1, 3, 20])
def test_the_answer_names_the_upstream_that_then_gets_the_request(
    monkeypatch, upstreams
):
    async def check(world):
        for _ in range(5):
            answer = find(world, object="7")
            assert (answer.admission, answer.outcome) == ("admitted", "sent")
            call = test_rogue_upstreams.make_call(world.vm)
            call.object = "7"
            assert (await world.vm.serve(call)).status == 200
            assert answer.upstream == first_sent(world)
            assert answer.candidates[0].upstream == answer.upstream
            assert len(answer.candidates) == upstreams

    playing(monkeypatch, check, upstreams=upstreams)


def test_asking_changes_nothing(monkeypatch):
    async def check(world):
        await world.serve()
        pool = world.pool()
        pool.cold_rate = 1.0
        first, second, *_ = pool.upstreams.values()
        first.cold_until = world.vm.now() + 5
        world.vm.statement_watch.table.record(
            second.record.id, 1, 0.5, world.vm.now()
        )
        find(world)
        before = state(world)
        for _ in range(20):
            find(world)
            find(world, object="7")
            find(world, workspace="")
            find(world, workspace="nobody")
            await asyncio.sleep(0)
        assert state(world) == before
        assert len(world.session.sent) == 1

    playing(monkeypatch, check, upstreams=4)


def test_splits_are_not_moved_on(monkeypatch):
    async def check(world):
        named = world.vm.table.find_route("h", "/a/1")
        splits = [items.Split("s1", 1.0), items.Split("s2", 1.0)]
        named.route.splits = splits
        named.current_weights = {"s1": 0.0, "s2": 0.0}
        before = state(world)
        assert {find(world).service for _ in range(5)} == {"s1"}
        assert named.next_service() == "s1"
        assert find(world).why == "no-room: no upstream is serving"
        assert named.next_service() == "s2"
        named.current_weights = {"s1": 0.0, "s2": 0.0}
        assert state(world) == before

    playing(monkeypatch, check)


def test_what_excludes_an_upstream_is_told(monkeypatch):
    async def check(world):
        now = world.vm.now()
        table = world.vm.fleet_view.statements
        table.record_leaving("u1", 1, now)
        table.record("u2", 1, 0.0, now)
        world.pool().upstreams["u3"].region = "r2"
        world.vm.table.find_route("h", "/a/1").route.allowed_regions = ["r1"]
        answer = find(world)
        excluded = {c.upstream: c.excluded for c in answer.candidates}
        assert excluded == {
            "u1": "leaving",
            "u2": "rate",
            "u3": "region",
            "u4": "",
        }
        assert answer.upstream == "u4"

    playing(monkeypatch, check, upstreams=4)


def test_a_refusal_for_lack_of_room_is_the_one_that_a_request_gets(monkeypatch):
    async def check(world):
        for upstream in world.pool().upstreams.values():
            upstream.record_load_report(90, 0, world.vm.now())
        answer = find(world)
        assert (answer.admission, answer.outcome) == ("admitted", "refused")
        refusal = await world.serve()
        assert refusal.kind == errors.Kind.NO_ROOM
        assert answer.why == f"no-room: {refusal.detail}"
        assert answer.retry_after == refusal.retry_after
        assert all(c.excess_wait_seconds > 0 for c in answer.candidates)

    playing(monkeypatch, check)


def test_a_request_that_would_wait_for_its_rate_is_queued(monkeypatch):
    async def check(world):
        world.vm.table.workspaces["w1"].rate = 5.0
        answer = find(world)
        assert answer.admission == "queued"
        assert answer.outcome == "sent"
        assert "rate" in answer.why

    playing(monkeypatch, check)


def test_a_share_with_a_token_admits(monkeypatch):
    async def check(world):
        world.vm.table.workspaces["w1"].rate = 5.0
        now = world.vm.now()
        account = world.vm.shares.lease_table.account("w1", now)
        account.bucket.renew(leases.Share(5.0, 5.0, 5.0), now + 60, now)
        before = state(world)
        assert find(world).admission == "admitted"
        assert state(world) == before

    playing(monkeypatch, check)


@pytest.mark.parametrize(
    "workspace, path, why",
    [
        ("", "/a/1", "key-missing"),
        ("nobody", "/a/1", "there is no workspace nobody"),
        ("w1", "/b", "no-route"),
    ],
)
def test_a_request_that_is_not_admitted(monkeypatch, workspace, path, why):
    async def check(world):
        answer = placing.find(world.vm, placements.Query("h", path, workspace))
        assert (answer.admission, answer.outcome) == ("refused", "refused")
        assert answer.why.startswith(why)
        assert answer.candidates == []

    playing(monkeypatch, check)


def test_a_vm_out_of_reach_would_have_it_sent_by_another(monkeypatch):
    async def check(world):
        reach = world.vm.reach_watch.reach("s1")
        reach.unreached_since = 1.0
        assert find(world).outcome == "relayed"

    playing(monkeypatch, check)


def test_another_failure_domain_is_asked_at_its_own_vm(monkeypatch):
    async def check(world):
        world.vm.follower.directory.entries.append(
            controlmessages.EntryVm("e2", 1, "10.1.1.1:80", "r1", "d2", True, 0)
        )
        answer = find(world, failure_domain="d2")
        assert answer.elsewhere == ["10.1.1.1:80"]
        assert answer.outcome == ""
        assert find(world, failure_domain="d1").outcome == "sent"
        assert find(world, failure_domain="d3").elsewhere == []

    playing(monkeypatch, check)


def test_a_query_with_fields_missing_is_refused(monkeypatch):
    async def check(world):
        with pytest.raises(ValueError, match="host"):
            placing.answer_page(world.vm, {"path": "/"})
        page = placing.answer_page(world.vm, {"host": "h", "path": "/a/1"})
        answer = msgspec.json.decode(page, type=placements.Answer)
        assert answer.why.startswith("key-missing")

    playing(monkeypatch, check)


async def test_the_tool_reaches_a_vm_at_the_address_of_its_metrics():
    log = events.open_log("e1", stream=io.StringIO())
    port = fleet.free_port()
    asked = []

    def answer_page(values):
        asked.append(dict(values))
        if "object" in values:
            raise ValueError("no such field")
        return msgspec.json.encode(sample())

    await program._serve_metrics(
        lambda: "metrics", "127.0.0.1", port, log, answer_page
    )

    def ask(**more):
        query = placements.Query("h", "/a/1?x=1", "w 1", **more)
        return wherecommands._ask(f"127.0.0.1:{port}", query)

    assert (await asyncio.to_thread(ask)).upstream == "u1"
    assert asked == [{"host": "h", "path": "/a/1?x=1", "workspace": "w 1"}]
    with pytest.raises(errors.UnreachableError, match="400"):
        await asyncio.to_thread(ask, object="7")


def sample(**more):
    candidate = placements.Candidate(
        "u1", "r1", "d1", 0, True, 1.0, 3, 0.0, 0.1, 0.0, 0.0, ""
    )
    values = {
        "admission": "admitted",
        "outcome": "sent",
        "upstream": "u1",
        "candidates": [candidate] * 3,
    }
    return placements.Answer("e1", "r1", "d1", 7, 0.5, **values | more)


def test_the_tool_prints_the_choice_and_what_speaks_for_it(monkeypatch, capsys):
    asked = []

    def ask(address, query):
        asked.append(address)
        if len(asked) == 1:
            return sample(outcome="", elsewhere=["10.0.0.9:80"])
        return sample()

    monkeypatch.setattr(wherecommands, "_ask", ask)
    arguments = ["where", "h", "/a", "--vm", "10.0.0.1:9464", "--limit", "2"]
    cli.main([*arguments, "--failure-domain", "d1"])
    printed = capsys.readouterr().out
    assert asked == ["10.0.0.1:9464", "10.0.0.9:9464"]
    assert "then: sent u1" in printed
    assert "load 1 of 3" in printed
    assert "and 1 more upstreams" in printed


def test_the_tool_exits_1_if_the_request_would_be_refused(monkeypatch):
    answer = sample(outcome="refused", upstream="", why="no-room: full")
    monkeypatch.setattr(wherecommands, "_ask", lambda *_: answer)
    with pytest.raises(SystemExit) as ended:
        cli.main(["where", "h", "/a", "--vm", "10.0.0.1:9464"])
    assert ended.value.code == 1
    commandline.options.as_json = False
