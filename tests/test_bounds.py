"""Bounds of what others write: depth of JSON, numbers, text, addresses."""

import contextlib
import ipaddress
import json
import math

import hypothesis
import pytest
from hypothesis import strategies

from pollenseam import bounds
from pollenseam import errors

tricky_text = strategies.text(alphabet='[]{}"\\ab\n', max_size=12)


def depth_of(value):
    if not isinstance(value, list | dict):
        return 0
    inner = value.values() if isinstance(value, dict) else value
    return 1 + max(map(depth_of, inner), default=0)


@hypothesis.given(
    strategies.recursive(
        tricky_text,
        lambda inner: strategies.lists(inner)
        | strategies.dictionaries(tricky_text, inner),
    ),
    strategies.integers(0, bounds.MAX_DEPTH + 5),
)
def test_a_body_is_refused_exactly_if_it_is_nested_too_deeply(value, levels):
    for _ in range(levels):
        value = [value, "["]
    body = json.dumps(value).encode()
    if depth_of(value) > bounds.MAX_DEPTH:
        with pytest.raises(errors.RefusedError):
            bounds.decode_json(body, object)
    else:
        assert bounds.decode_json(body, object) == value


@pytest.mark.parametrize(
    "value",
    [2**63, -(2**63), 1e300, math.nan, -math.inf, "a\r\n", "a" * 5000],
    ids=lambda value: repr(value)[:12],
)
def test_values_out_of_bounds_are_found_wherever_they_are(value):
    with pytest.raises(errors.RefusedError) as caught:
        bounds.check("what", {"a": [("b", value)]})
    assert caught.value.refusal.kind == errors.Kind.MALFORMED
    assert len(caught.value.refusal.detail) < 300
    bounds.check("what", {"a": [("b", 2**63 - 1, 1e15, None, True, "é")]})


@hypothesis.given(
    strategies.ip_addresses(v=4)
    | strategies.sampled_from(["0.0.0.0", "223.255.255.255", "224.0.0.0"]).map(
        ipaddress.IPv4Address
    ),
    strategies.integers(-1, 70_000),
)
def test_an_address_is_that_of_one_host_and_port(ip, port):
    address = f"{ip}:{port}"
    is_valid = 1 <= ip.packed[0] < 224 and 0 < port < 65_536
    with (
        contextlib.nullcontext()
        if is_valid
        else pytest.raises(errors.RefusedError)
    ):
        bounds.check_address("address", address)
    for odd in (f"x{address}", f"{address}0000", f"{ip}", f"{ip}:0{port}"):
        with pytest.raises(errors.RefusedError):
            bounds.check_address("address", odd)
