"""The choice of the entry VM that sends a call for another one."""

import collections

import hypothesis
from hypothesis import strategies

from pollenseam import controlmessages
from pollenseam import helpers


def entry(name, region="r1", **fields):
    options = {"is_serving": True, "relay_port": 2} | fields
    return controlmessages.EntryVm(
        name, 1, f"{name}:1", region, "z1", **options
    )


def make_helpers(*entries):
    known = helpers.Helpers("own", "r1")
    known.update([entry("own"), *entries])
    return known


def choose(known, regions=(), asked=(), is_last=False, now=0.0):
    helper = known.choose("s1", regions, asked, is_last, now)
    return None if helper is None else helper.name


def test_helpers_of_the_own_region_come_first_but_not_the_last_one():
    """Guards against a region that is cut off as a whole asking only itself."""
    known = make_helpers(entry("near"), entry("far", "r2"))
    assert choose(known) == "near"
    assert choose(known, is_last=True) == "far"
    assert choose(known, asked={"near"}) == "far"


def test_a_body_goes_to_allowed_regions_only():
    known = make_helpers(entry("near"), entry("far", "r2"))
    assert choose(known, regions={"r2"}) == "far"
    assert choose(known, regions={"r3"}) is None


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(
            [
                {"is_serving": False},
                {"is_cut_off": True},
                {"relay_port": 0},
            ]
        ),
        min_size=1,
    )
)
def test_vms_that_cannot_help_are_not_asked(states):
    known = make_helpers(*(entry(f"vm-{n}", **s) for n, s in enumerate(states)))
    assert choose(known) is None


def test_calls_are_spread_over_the_helpers():
    """Guards against a domain that is cut off pressing on one other VM."""
    known = make_helpers(*(entry(f"vm-{n}") for n in range(10)))
    counts = collections.Counter()
    for _ in range(200):
        name = choose(known)
        known.begin(name)
        counts[name] += 1
    assert max(counts.values()) <= 2 * 200 / 10
    for name, count in counts.items():
        for _ in range(count):
            known.end(name)
    assert known.in_flight == {}


def test_a_helper_holds_a_bounded_number_of_calls():
    """Guards against a frozen helper that takes all calls with it."""
    known = make_helpers(entry("near"), entry("far", "r2"))
    names = [choose(known, is_last=n % 2) for n in range(2)]
    assert names == ["near", "far"]
    for _ in range(helpers.MAX_HELD_CALLS):
        known.begin("near")
    assert choose(known) == "far"
    known.end("near")
    assert choose(known) == "near"


def test_a_helper_is_avoided_for_one_service_or_for_all():
    known = make_helpers(entry("near"))
    known.avoid("near", 1.0, 0.0, "s2")
    assert choose(known) == "near"
    known.avoid("near", 1.0, 0.0)
    assert choose(known, now=0.9) is None
    assert choose(known, now=1.0) == "near"


def test_the_only_helper_left_is_tried_although_it_gave_no_answer():
    """Guards against callers that are refused though a VM can serve them."""
    known = make_helpers(entry("near"), entry("far", "r2"))
    known.doubt("near", 1.0, 0.0)
    assert choose(known) == "far"
    known.avoid("far", 1.0, 0.0)
    assert choose(known) == "near"
    known.begin("near")
    assert choose(known) is None
    known.end("near")
    known.trust("near")
    known.begin("near")
    assert choose(known) == "near"


def test_the_pauses_grow_while_no_helper_reaches_a_service():
    """Guards against a herd of relays for a service that is down."""
    known = make_helpers(entry("near"))
    now = 0.0
    lengths = []
    for _ in range(5):
        known.record_no_help("s1", now)
        lengths.append(known.paused_until["s1"] - now)
        assert known.is_paused("s1", now)
        now += lengths[-1]
        assert not known.is_paused("s1", now)
    assert lengths == [0.5, 1.0, 2.0, 4.0, 4.0]
    assert not known.is_paused("s2", 0.0)
    known.record_no_help("s1", now)
    known.record_help("s1")
    assert not known.is_paused("s1", now)
