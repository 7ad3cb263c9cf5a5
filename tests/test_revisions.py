"""Records in the order of their last change."""

import types

from pollenseam import revisions


def test_only_what_changed_after_a_revision_is_returned_each_once():
    records = revisions.Records()
    made = {key: types.SimpleNamespace(revision=0) for key in "abc"}
    for key in "abcba":
        records.touch(key, made[key])
    assert [key for key, _ in records.changed_since(0)] == ["a", "b", "c"]
    assert [key for key, _ in records.changed_since(3)] == ["a", "b"]
    assert records.changed_since(records.revision) == []
    del records["a"]
    assert [key for key, _ in records.changed_since(3)] == ["b"]
