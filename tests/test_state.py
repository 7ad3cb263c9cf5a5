"""The state machine: races, resends, subtrees of tokens, snapshots."""

import pytest

from pollenseam import commands
from pollenseam import errors
from pollenseam import keys
from pollenseam import settings
from pollenseam import state
from pollenseam import tree

ROOT = keys.digest("root")
TEAM = keys.digest("team")


class Machine:

    def __init__(self) -> None:
        self.state = state.State()
        self.do(commands.CreateRootOperator(ROOT))
        owner = settings.Operator(TEAM, "/teams/t")
        self.do(commands.PutNode("op", ROOT, "/operators/t", owner))

    def do(self, command):
        return self.state.apply(self.state.index + 1, 10, command)

    def apply(self, id, document, at="/", expect=None, token=ROOT):
        nodes = settings.parse(document, at).unwrap()
        return self.do(commands.ApplySettings(id, token, at, nodes, expect))


def team(rate=1.0):
    return {
        "services": {"s": {"routes": [{"host": "h"}]}},
        "workspaces": {"w": {"rate": rate, "burst": 1}},
    }


@pytest.fixture
def machine():
    found = Machine()
    assert found.apply("1", team(), "/teams/t").kind == ""
    return found


def test_equal_versions_race_once(machine):
    version = machine.state.tree.version("/teams/t")
    first = machine.apply("a", team(2), "/teams/t", version)
    second = machine.apply("b", team(3), "/teams/t", version)
    assert first.kind == ""
    assert second.kind == errors.Kind.CONFLICT
    node = machine.state.tree.nodes["/teams/t/workspaces/w"]
    assert node.rate == 2


def test_a_resend_gets_the_first_answer_and_changes_nothing(machine):
    first = machine.apply("a", team(2), "/teams/t")
    machine.apply("b", team(3), "/teams/t")
    again = machine.apply("a", team(2), "/teams/t")
    assert again == first
    assert machine.state.tree.nodes["/teams/t/workspaces/w"].rate == 3


def test_a_refused_change_is_refused_again_on_a_resend(machine):
    version = machine.state.tree.version("/teams/t")
    assert machine.apply("a", team(2), "/teams/t", version - 1).kind
    assert machine.apply("a", team(2), "/teams/t", version - 1).kind


def test_the_same_change_id_with_another_body_is_refused(machine):
    machine.apply("a", team(2), "/teams/t")
    outcome = machine.apply("a", team(3), "/teams/t")
    assert outcome.kind == errors.Kind.CHANGE_REUSED


def test_change_ids_survive_a_snapshot_and_are_bounded(machine, monkeypatch):
    first = machine.apply("a", team(2), "/teams/t")
    machine.state = state.decode_snapshot(machine.state.encode_snapshot())
    assert machine.apply("a", team(2), "/teams/t") == first
    monkeypatch.setattr(state, "MAX_CHANGE_IDS", 5)
    for number in range(10):
        machine.apply(f"n{number}", team(number + 1), "/teams/t")
    assert len(machine.state.change_records) == 5


@pytest.mark.parametrize(
    "at",
    ["/", "/fleet", "/teams", "/teams/other", "/teams/tt"],
)
def test_a_token_changes_nothing_outside_of_its_subtree(machine, at):
    document = {} if at != "/teams/other" else team()
    before = dict(machine.state.tree.nodes)
    outcome = machine.apply("x", document, at, token=TEAM)
    assert outcome.kind == errors.Kind.FORBIDDEN
    assert machine.state.tree.nodes == before


def test_a_token_owns_all_of_its_subtree(machine):
    assert machine.apply("x", team(4), "/teams/t", token=TEAM).kind == ""
    key = settings.Key("d")
    path = "/teams/t/workspaces/w/keys/k"
    put = commands.PutNode("y", TEAM, path, key)
    assert machine.do(put).kind == ""
    assert machine.do(commands.Withdraw("z", TEAM, "keys", "k")).kind == ""


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
def test_a_token_cannot_reach_beyond_itself(machine, command):
    machine.apply("o", team(), "/teams/o")
    foreign = "/teams/o/workspaces/w/keys/foreign"
    machine.do(commands.PutNode("p", ROOT, foreign, settings.Key("d")))
    assert machine.do(command).kind == errors.Kind.FORBIDDEN


def test_a_withdrawn_token_changes_nothing_more(machine):
    machine.do(commands.Withdraw("w", ROOT, "operators", "t"))
    outcome = machine.apply("x", team(9), "/teams/t", token=TEAM)
    assert outcome.kind == errors.Kind.KEY_UNKNOWN


def test_the_last_root_token_cannot_be_withdrawn(machine):
    outcome = machine.do(commands.Withdraw("w", ROOT, "operators", "root"))
    assert outcome.kind == errors.Kind.CONFLICT


def test_keys_stay_when_their_workspace_is_applied_again(machine):
    path = "/teams/t/workspaces/w/keys/k"
    machine.do(commands.PutNode("k", ROOT, path, settings.Key("d")))
    machine.apply("x", team(5), "/teams/t")
    assert path in machine.state.tree.nodes
    machine.apply("y", {"services": team()["services"]}, "/teams/t")
    assert path not in machine.state.tree.nodes


def test_a_dangling_reference_is_refused_whole(machine):
    document = {
        **team(7),
        "shifts": {"x": {"service": "s", "from": "a", "to": "b", "cap": 5}},
    }
    outcome = machine.apply("x", document, "/teams/t")
    assert outcome.kind == errors.Kind.MALFORMED
    assert machine.state.tree.nodes["/teams/t/workspaces/w"].rate == 1


def test_deltas_rebuild_the_tree_and_run_out_in_time(machine, monkeypatch):
    copy = tree.from_nodes({}, 0, 0)
    assert copy.apply_deltas(machine.state.tree.deltas_since(0), machine.state.index)
    assert copy.nodes == machine.state.tree.nodes
    seen = machine.state.index
    monkeypatch.setattr(tree, "MAX_DELTAS", 3)
    for number in range(5):
        machine.apply(f"n{number}", team(number + 10), "/teams/t")
    assert machine.state.tree.deltas_since(seen) is None
    assert len(machine.state.tree.deltas_since(machine.state.index - 2)) == 2


def test_a_tree_never_goes_back(machine):
    copy = tree.from_nodes(dict(machine.state.tree.nodes), 50, 50)
    assert not copy.apply_deltas([], 49)
    assert not copy.replace_with(tree.from_nodes({}, 49, 49))
    assert copy.index == 50
