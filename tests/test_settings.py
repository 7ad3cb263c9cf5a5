"""Tests of settings files: validation, reported paths, default values."""

import pathlib
import tomllib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenseam import catalog
from pollenseam import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
VALID_SERVICE = {"routes": [{"host": "h"}]}


@pytest.mark.parametrize("name", ["pintu", "teranga"])
def test_the_examples_are_valid_at_their_real_sizes(name):
    document = tomllib.loads((EXAMPLES / f"{name}.toml").read_text())
    nodes = settings.parse(document).unwrap()
    fleet = nodes["/fleet"]
    assert len(fleet.regions) == 3
    failure_domains = [
        d for r in fleet.regions.values() for d in r.failure_domains
    ]
    assert len(failure_domains) == 6
    kinds = [type(node) for node in nodes.values()]
    assert kinds.count(settings.Workspace) == 8
    assert kinds.count(settings.Service) == 2


@pytest.mark.parametrize(
    ("document", "path"),
    [
        ({"flet": {}}, "/flet"),
        ({"fleet": {"freshness_ms": "5"}}, "/fleet/freshness_ms"),
        ({"fleet": {"freshness_ms": 5}}, "/fleet/freshness_ms"),
        ({"fleet": {"regions": {"a": {}}}}, "/fleet/regions"),
        ({"teams": {"T": {}}}, "/teams/T"),
        ({"teams": {"t": {"service": {}}}}, "/teams/t"),
        ({"teams": {"t": {"services": {"s": {}}}}}, "/teams/t/services/s"),
        (
            {"teams": {"t": {"workspaces": {"w": {"rate": 0, "burst": 1}}}}},
            "/teams/t/workspaces/w/rate",
        ),
        ({"teams": 5}, "/teams"),
    ],
)
def test_an_invalid_setting_is_reported_with_its_path(document, path):
    problems = settings.parse(document).unwrap_err()
    assert any(problem.path.startswith(path) for problem in problems)


def test_every_problem_of_a_file_is_reported():
    document = {"a": 1, "b": 2, "teams": {"t": {"services": {"s": {}}}}}
    assert len(settings.parse(document).unwrap_err()) == 3


def test_a_failure_domain_in_two_regions_is_refused():
    regions = {
        "a": {"failure_domains": ["x"]},
        "b": {"failure_domains": ["x"]},
    }
    problems = settings.parse({"fleet": {"regions": regions}}).unwrap_err()
    assert "two regions" in problems[0].reason


def test_fields_that_commands_set_are_refused_in_files():
    shift = {"service": "s", "from": "a", "to": "b", "cap": 5}
    document = {"shifts": {"x": {**shift, "state": "running"}}}
    problems = settings.parse(document, "/teams/t").unwrap_err()
    assert problems[0].path == "/teams/t/shifts/x/state"


values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["fleet", "teams", "t", "services", "rate", "x"])
        | st.text(max_size=5),
        inner,
        max_size=4,
    ),
    max_leaves=20,
)


@given(st.dictionaries(st.text(max_size=8), values, max_size=4), values)
def test_no_document_breaks_the_parser(document, teams):
    for tree in (document, {"teams": teams}, {"fleet": teams}):
        settings.parse(tree)


def test_a_value_of_a_parent_applies_unless_overridden():
    nodes = settings.parse(
        {
            "fleet": {"defaults": {"timeout_ms": 1, "queue_ms": 1}},
            "teams": {
                "t": {
                    "defaults": {"timeout_ms": 2},
                    "services": {
                        "a": VALID_SERVICE,
                        "b": {**VALID_SERVICE, "defaults": {"timeout_ms": 3}},
                    },
                }
            },
        }
    ).unwrap()
    services = catalog.compile(nodes).services
    assert services["/teams/t/services/a"].timeout_ms == 2
    assert services["/teams/t/services/b"].timeout_ms == 3
    assert services["/teams/t/services/b"].queue_ms == 1
