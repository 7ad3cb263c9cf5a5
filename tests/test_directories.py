"""Entry VMs that the directory names to callers."""

import hypothesis
import msgspec
from hypothesis import strategies

from pollenseam import controlmessages
from pollenseam import directories
from pollenseam import messages

REGIONS = ["r1", "r2", "r3"]


def entry(name, region="r1", is_serving=True, is_cut_off=False):
    return controlmessages.EntryVm(
        name, 1, f"{name}:1", region, "z1", is_serving, 2, is_cut_off
    )


def names(entries, region="r1"):
    return [e.name for e in directories.serving_entries(entries, region)]


def test_callers_are_sent_past_a_vm_that_is_cut_off():
    entries = [entry("a"), entry("b", is_cut_off=True), entry("c")]
    assert names(entries) == ["a", "c"]


def test_callers_of_a_region_that_is_cut_off_are_sent_to_another():
    entries = [entry("a", is_cut_off=True), entry("b", region="r2")]
    assert names(entries) == ["b"]


def test_vms_that_are_cut_off_are_named_where_too_few_others_are_left():
    """Guards against all callers at the one VM that is left."""
    cut = [entry(f"cut-{n}", is_cut_off=True) for n in range(4)]
    assert names([entry("a"), *cut]) == ["a", *(e.name for e in cut)]


@hypothesis.given(
    strategies.lists(
        strategies.builds(
            entry,
            strategies.uuids().map(str),
            strategies.sampled_from(REGIONS),
            strategies.booleans(),
            strategies.booleans(),
        )
    ),
    strategies.sampled_from(REGIONS),
)
def test_the_directory_is_empty_only_if_no_vm_serves(entries, region):
    named = directories.serving_entries(entries, region)
    assert all(e.is_serving for e in named)
    assert bool(named) == any(e.is_serving for e in entries)


def test_a_record_of_an_earlier_version_has_no_address_for_relays():
    earlier = msgspec.msgpack.encode(["a", 1, "a:1", "r1", "z1", True])
    record = msgspec.msgpack.decode(earlier, type=controlmessages.EntryVm)
    assert (record.relay_address, record.is_cut_off) == ("", False)
    later = [*msgspec.msgpack.decode(messages.encode(record)), "added later"]
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(later), type=controlmessages.EntryVm
    )
    assert decoded == record
