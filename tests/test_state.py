"""Tests of the state machine: versions, resends, permissions, snapshots."""

import hypothesis
import pytest
import test_registry
from hypothesis import strategies

from pollenseam import commands
from pollenseam import errors
from pollenseam import items
from pollenseam import keys
from pollenseam import settings
from pollenseam import state
from pollenseam import tree

ROOT = keys.digest("root")
TEAM = keys.digest("team")


class Machine:
    """A state with a root token and a token that owns /teams/t."""

    def __init__(self) -> None:
        self.state = state.State()
        self.apply_command(commands.CreateRootOperator(ROOT))
        operator = settings.Operator(TEAM, "/teams/t")
        self.apply_command(
            commands.PutNode("op", ROOT, "/operators/t", operator)
        )

    def apply_command(self, command):
        return self.state.apply(self.state.index + 1, 10, command)

    def apply_settings(self, id, document, at="/", expect=None, token=ROOT):
        nodes = settings.parse(document, at).unwrap()
        return self.apply_command(
            commands.ApplySettings(id, token, at, nodes, expect)
        )


def team(rate=1.0):
    return {
        "services": {"s": {"routes": [{"host": "h"}]}},
        "workspaces": {"w": {"rate": rate, "burst": 1}},
    }


@pytest.fixture
def machine():
    new_machine = Machine()
    assert new_machine.apply_settings("1", team(), "/teams/t").kind == ""
    return new_machine


def test_one_of_two_changes_that_expect_the_same_version_is_refused(machine):
    version = machine.state.tree.version("/teams/t")
    first = machine.apply_settings("a", team(2), "/teams/t", version)
    second = machine.apply_settings("b", team(3), "/teams/t", version)
    assert first.kind == ""
    assert second.kind == errors.Kind.CONFLICT
    node = machine.state.tree.nodes["/teams/t/workspaces/w"]
    assert node.rate == 2


def test_a_resend_gets_the_first_answer_and_changes_nothing(machine):
    first = machine.apply_settings("a", team(2), "/teams/t")
    machine.apply_settings("b", team(3), "/teams/t")
    repeated = machine.apply_settings("a", team(2), "/teams/t")
    assert repeated == first
    assert machine.state.tree.nodes["/teams/t/workspaces/w"].rate == 3


def test_a_refused_change_is_refused_again_on_a_resend(machine):
    version = machine.state.tree.version("/teams/t")
    assert machine.apply_settings("a", team(2), "/teams/t", version - 1).kind
    assert machine.apply_settings("a", team(2), "/teams/t", version - 1).kind


def test_the_same_change_id_with_another_body_is_refused(machine):
    machine.apply_settings("a", team(2), "/teams/t")
    outcome = machine.apply_settings("a", team(3), "/teams/t")
    assert outcome.kind == errors.Kind.CHANGE_REUSED


def test_change_ids_survive_a_snapshot_and_are_bounded(machine, monkeypatch):
    first = machine.apply_settings("a", team(2), "/teams/t")
    machine.state = state.decode_snapshot(machine.state.encode_snapshot())
    assert machine.apply_settings("a", team(2), "/teams/t") == first
    monkeypatch.setattr(state, "MAX_CHANGE_IDS", 5)
    for number in range(10):
        machine.apply_settings(f"n{number}", team(number + 1), "/teams/t")
    assert len(machine.state.change_records) == 5


@pytest.mark.parametrize(
    "at",
    ["/", "/fleet", "/teams", "/teams/other", "/teams/tt"],
)
def test_a_token_changes_nothing_outside_of_its_subtree(machine, at):
    document = {} if at != "/teams/other" else team()
    before = dict(machine.state.tree.nodes)
    outcome = machine.apply_settings("x", document, at, token=TEAM)
    assert outcome.kind == errors.Kind.FORBIDDEN
    assert machine.state.tree.nodes == before


def test_a_token_owns_all_of_its_subtree(machine):
    assert (
        machine.apply_settings("x", team(4), "/teams/t", token=TEAM).kind == ""
    )
    key = settings.Key("d")
    path = "/teams/t/workspaces/w/keys/k"
    put = commands.PutNode("y", TEAM, path, key)
    assert machine.apply_command(put).kind == ""
    assert (
        machine.apply_command(commands.Withdraw("z", TEAM, "keys", "k")).kind
        == ""
    )


@pytest.mark.parametrize(
    "command",
    [
        commands.PutNode(
            "x", TEAM, "/operators/n", settings.Operator("d", "/")
        ),
        commands.PutNode(
            "x", TEAM, "/operators/n", settings.Operator("d", "/teams/o")
        ),
        commands.Withdraw("x", TEAM, "operators", "root"),
        commands.Withdraw("x", TEAM, "keys", "foreign"),
        commands.SetShift("x", TEAM, "/teams/o/shifts/s", "running"),
    ],
)
def test_a_token_cannot_issue_or_change_outside_of_its_subtree(
    machine, command
):
    machine.apply_settings("o", team(), "/teams/o")
    foreign = "/teams/o/workspaces/w/keys/foreign"
    machine.apply_command(
        commands.PutNode("p", ROOT, foreign, settings.Key("d"))
    )
    assert machine.apply_command(command).kind == errors.Kind.FORBIDDEN


def test_a_withdrawn_token_changes_nothing(machine):
    machine.apply_command(commands.Withdraw("w", ROOT, "operators", "t"))
    outcome = machine.apply_settings("x", team(9), "/teams/t", token=TEAM)
    assert outcome.kind == errors.Kind.KEY_UNKNOWN


def test_the_last_root_token_cannot_be_withdrawn(machine):
    outcome = machine.apply_command(
        commands.Withdraw("w", ROOT, "operators", "root")
    )
    assert outcome.kind == errors.Kind.CONFLICT


def test_keys_are_kept_as_long_as_their_workspace_exists(machine):
    path = "/teams/t/workspaces/w/keys/k"
    machine.apply_command(commands.PutNode("k", ROOT, path, settings.Key("d")))
    machine.apply_settings("x", team(5), "/teams/t")
    assert path in machine.state.tree.nodes
    machine.apply_settings("y", {"services": team()["services"]}, "/teams/t")
    assert path not in machine.state.tree.nodes


def test_settings_with_a_missing_reference_are_refused_entirely(machine):
    document = {
        **team(7),
        "shifts": {"x": {"service": "s", "from": "a", "to": "b", "cap": 5}},
    }
    outcome = machine.apply_settings("x", document, "/teams/t")
    assert outcome.kind == errors.Kind.MALFORMED
    assert machine.state.tree.nodes["/teams/t/workspaces/w"].rate == 1


def test_deltas_rebuild_the_tree_until_they_are_discarded(machine, monkeypatch):
    copy = tree.from_nodes({}, 0, 0)
    assert copy.apply_deltas(
        machine.state.tree.deltas_since(0), machine.state.index
    )
    assert copy.nodes == machine.state.tree.nodes
    old_index = machine.state.index
    monkeypatch.setattr(tree, "MAX_DELTAS", 3)
    for number in range(5):
        machine.apply_settings(f"n{number}", team(number + 10), "/teams/t")
    assert machine.state.tree.deltas_since(old_index) is None
    assert len(machine.state.tree.deltas_since(machine.state.index - 2)) == 2


def test_a_tree_ignores_older_deltas_and_older_trees(machine):
    copy = tree.from_nodes(dict(machine.state.tree.nodes), 50, 50)
    assert not copy.apply_deltas([], 49)
    assert not copy.replace_with(tree.from_nodes({}, 49, 49))
    assert copy.index == 50


texts = strategies.text(max_size=6) | strategies.sampled_from([TEAM, "root"])
integers = strategies.integers(0, 2**64 - 1) | strategies.just(2**64 - 1)
paths = strategies.sampled_from(["/operators/", "/teams/t/workspaces/w/keys/"])
odd_commands = strategies.one_of(
    strategies.builds(
        lambda id, path, name, digest: commands.PutNode(
            id, ROOT, path + name, settings.Operator(digest, "/")
        ),
        *[texts, paths, texts, texts],
    ),
    strategies.builds(
        lambda id, count: commands.ApplySettings(
            id, ROOT, "/fleet", {"/fleet": fleet_with(max(count, 60_000))}, None
        ),
        *[texts, integers],
    ),
    strategies.builds(
        lambda count, **fields: commands.RecordUpstreams(
            [test_registry.upstream(sequence=count, **fields)]
        ),
        integers,
        id=texts,
        started_ms=integers,
        state=texts,
        address=texts,
        cold_ms=integers,
    ),
    strategies.builds(
        lambda kind, name, count: commands.PatchItems(
            [items.Item(kind, name, count, None)]
        ),
        *[texts, texts, integers],
    ),
    strategies.builds(commands.OpenClaim, *[texts] * 4, integers),
    strategies.builds(commands.Withdraw, texts, texts, texts, texts),
    strategies.builds(commands.SetShift, texts, texts, texts, texts),
    strategies.builds(commands.SetEvacuation, texts, strategies.booleans()),
)


def fleet_with(retention_ms):
    fleet = settings.Fleet()
    fleet.claim_retention_ms = retention_ms
    return fleet


@hypothesis.given(strategies.lists(odd_commands, max_size=8))
@hypothesis.example(
    [
        commands.PutNode(
            "a", ROOT, "/operators/a", settings.Operator("\xe9", "/")
        ),
        commands.Withdraw("b", TEAM, "keys", "k"),
    ]
)
@hypothesis.example(
    [
        commands.ApplySettings(
            "a", ROOT, "/fleet", {"/fleet": fleet_with(2**64 - 1)}, None
        ),
        commands.OpenClaim("w", "k", "d", "a", 1000),
    ]
)
def test_no_stored_command_ends_a_replica(log):
    """Guards against a committed entry that ends every replica at each start.

    Replicas that restored a snapshot agree with those that applied the log.
    """
    machine = Machine()
    restored = Machine().state
    for command in log:
        encoded = commands.encode(command)
        machine.apply_command(commands.decode(encoded))
        restored.apply(restored.index + 1, 10, commands.decode(encoded))
        restored = state.decode_snapshot(restored.encode_snapshot())
    assert restored.encode_snapshot() == machine.state.encode_snapshot()


@pytest.mark.parametrize("data", [b"", b"odd", b"\x97" + b"\x91" * 100_000])
def test_a_snapshot_that_cannot_be_read_is_damage(data):
    """Guards against a replica that ends with a traceback.

    Damage is what its runner and the programs know and report.
    """
    with pytest.raises(errors.DamagedError):
        state.decode_snapshot(data)
