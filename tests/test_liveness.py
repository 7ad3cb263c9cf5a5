"""The census: silence counts from what the leader itself has heard."""

from pollenseam import controlmessages
from pollenseam import liveness
from pollenseam import messages
from pollenseam import registry

NOBODY = messages.Members({})


def entry(name="e1", started=1, is_serving=True):
    return controlmessages.EntryVm(
        name, started, "10.0.0.9:80", "r1", "d1", is_serving
    )


def names(known):
    return [e.name for e in known.directory.entries]


def test_an_entry_vm_leaves_the_directory_when_it_falls_silent():
    known = liveness.LivenessTracker(1.5)
    known.record_entry(entry("e1"), 10.0)
    known.record_entry(entry("e2"), 10.0)
    known.record_entry(entry("e1"), 12.0)
    known.remove_expired(NOBODY, 10.0 + liveness.ENTRY_TIMEOUT_SECONDS)
    assert names(known) == ["e1"]


def test_a_new_leader_gives_known_entry_vms_time_to_speak():
    known = liveness.LivenessTracker(1.5)
    known.adopt_directory(controlmessages.Directory(1, 5, [entry()], []))
    known.start_term(2, [], 100.0)
    known.remove_expired(NOBODY, 101.0)
    assert names(known) == ["e1"]
    known.remove_expired(NOBODY, 110.0)
    assert names(known) == []


def test_directories_of_later_leaders_and_counts_win():
    known = liveness.LivenessTracker(1.5)
    known.adopt_directory(controlmessages.Directory(2, 1, [entry()], []))
    known.adopt_directory(controlmessages.Directory(1, 9, [], []))
    assert names(known) == ["e1"]
    known.adopt_directory(controlmessages.Directory(2, 2, [], []))
    assert names(known) == []


def test_an_earlier_start_does_not_replace_a_later_one():
    known = liveness.LivenessTracker(1.5)
    known.record_entry(entry(started=5), 10.0)
    known.record_entry(entry(started=4, is_serving=False), 10.0)
    assert known.directory.entries[0].is_serving


def test_a_silent_upstream_is_lost_after_a_few_announcements():
    known = liveness.LivenessTracker(1.0)
    record = registry.Upstream("i1", 1, 1, "s", "a", "d", 3, registry.SERVING)
    known.start_term(1, [record], 100.0)
    late = 100.0 + liveness.MISSED_ANNOUNCEMENTS
    assert known.expired_upstreams({"i1": record}, late - 0.1) == []
    known.record_upstreams(["i1"], 102.0)
    assert known.expired_upstreams({"i1": record}, late) == []
    assert known.expired_upstreams({"i1": record}, late + 2.0) == [record]
