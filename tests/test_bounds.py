"""Bounds of what others write: depth of JSON, numbers, text, addresses."""

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
