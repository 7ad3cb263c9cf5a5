"""Liveness: deadlines count from what this leader itself received."""

from pollenseam import controlmessages
from pollenseam import liveness
from pollenseam import messages
from pollenseam import registry

NO_MEMBERS = messages.Members({})


def entry(name="e1", started=1, is_serving=True):
    return controlmessages.EntryVm(
        name, started, "10.0.0.9:80", "r1", "d1", is_serving
    )


def names(tracker):
    return [e.name for e in tracker.directory.entries]


def test_an_entry_vm_expires_when_it_stops_renewing():
    tracker = liveness.LivenessTracker(1.5)
    tracker.record_entry(entry("e1"), 10.0)
    tracker.record_entry(entry("e2"), 10.0)
    tracker.record_entry(entry("e1"), 12.0)
    tracker.remove_expired(NO_MEMBERS, 10.0 + liveness.ENTRY_TIMEOUT_SECONDS)
    assert names(tracker) == ["e1"]


def test_a_new_leader_gives_known_entry_vms_time_to_renew():
    tracker = liveness.LivenessTracker(1.5)
    tracker.adopt_directory(controlmessages.Directory(1, 5, [entry()], []))
    tracker.start_term(2, [], 100.0)
    tracker.remove_expired(NO_MEMBERS, 101.0)
    assert names(tracker) == ["e1"]
    tracker.remove_expired(NO_MEMBERS, 110.0)
    assert names(tracker) == []


def test_a_directory_of_a_later_term_or_revision_replaces_an_older_one():
    tracker = liveness.LivenessTracker(1.5)
    tracker.adopt_directory(controlmessages.Directory(2, 1, [entry()], []))
    tracker.adopt_directory(controlmessages.Directory(1, 9, [], []))
    assert names(tracker) == ["e1"]
    tracker.adopt_directory(controlmessages.Directory(2, 2, [], []))
    assert names(tracker) == []


def test_a_record_of_an_earlier_start_does_not_replace_a_later_one():
    tracker = liveness.LivenessTracker(1.5)
    tracker.record_entry(entry(started=5), 10.0)
    tracker.record_entry(entry(started=4, is_serving=False), 10.0)
    assert tracker.directory.entries[0].is_serving


def test_an_upstream_expires_after_missed_announcements():
    tracker = liveness.LivenessTracker(1.0)
    record = registry.Upstream("i1", 1, 1, "s", "a", "d", 3, registry.SERVING)
    tracker.start_term(1, [record], 100.0)
    deadline = 100.0 + liveness.MISSED_ANNOUNCEMENTS
    assert tracker.expired_upstreams({"i1": record}, deadline - 0.1) == []
    tracker.record_upstreams(["i1"], 102.0)
    assert tracker.expired_upstreams({"i1": record}, deadline) == []
    assert tracker.expired_upstreams({"i1": record}, deadline + 2.0) == [record]
