"""Loads of services that are short of room, as the leader sums them."""

from hypothesis import given
from hypothesis import strategies as st

from pollenseam import scarcity
from pollenseam import scarcityboard
from pollenseam import scarcitymessages

SERVICE = "s1"
RENEW_SECONDS = 0.5
AMOUNTS = st.integers(0, 10**6)


@st.composite
def loads(draw):
    offered = draw(st.lists(AMOUNTS, min_size=1, max_size=4))
    admitted = draw(st.integers(0, sum(offered)))
    turned_away = draw(st.integers(0, admitted))
    count = draw(st.integers(0, 100))
    slots = draw(st.integers(1, 100))
    return scarcitymessages.ServiceLoad(
        SERVICE, tuple(offered), admitted, turned_away, count, slots
    )


ROUNDS = st.lists(
    st.dictionaries(st.sampled_from(["a", "b", "c"]), loads()), max_size=12
)


def play(board, rounds):
    """Yields the demand, the admitted work and the rooms of each round."""
    for step, reports in enumerate(rounds):
        now = step * RENEW_SECONDS
        for name, load in reports.items():
            board.record(name, "r1", [load], now)
        yield now, board.rooms("r1", now)


@given(ROUNDS, st.floats(0, 1))
def test_vms_admit_no_more_than_the_room_and_ranks_in_their_order(
    rounds, floor
):
    for _, rooms in play(scarcityboard.Board(), rounds):
        for room in rooms:
            assert scarcitymessages.is_valid_room(room)
            if room.room == scarcitymessages.UNKNOWN_ROOM:
                continue
            parts = scarcity.divide(room.offered, room.room, floor)
            pairs = zip(room.offered, parts, strict=True)
            admitted = sum(work * part for work, part in pairs)
            demand = sum(room.offered)
            assert admitted <= min(room.room, demand) * (1 + 1e-9) + 1e-9
            assert parts == sorted(parts, reverse=True)


@given(ROUNDS)
def test_what_is_not_reported_again_ages_out(rounds):
    board = scarcityboard.Board()
    last = 0.0
    for now, _ in play(board, rounds):
        last = now
    later = last + scarcityboard.REPORT_SECONDS + scarcityboard.UPDATE_SECONDS
    assert board.rooms("r1", later) == []
    assert not board.groups.get("r1")


@given(ROUNDS)
def test_one_region_does_not_change_the_room_of_another(rounds):
    alone = scarcityboard.Board()
    beside = scarcityboard.Board()
    other = scarcitymessages.ServiceLoad(SERVICE, (100, 100), 200, 100, 50, 9)
    for step, (now, rooms) in enumerate(play(alone, rounds)):
        beside.record("x", "r2", [other], now)
        for name, load in rounds[step].items():
            beside.record(name, "r1", [load], now)
        assert beside.rooms("r1", now) == rooms


def test_the_other_vms_are_asked_before_the_room_is_stated():
    """Guards against a room that is that of the first VMs to report."""
    board = scarcityboard.Board()
    load = scarcitymessages.ServiceLoad(SERVICE, (500, 500), 900, 400, 40, 9)
    rooms = {}
    for step in range(4):
        now = step * RENEW_SECONDS
        names = ["a"] if step == 0 else ["a", "b", "c", "d"]
        for name in names:
            board.record(name, "r1", [load], now)
        rooms[now] = board.rooms("r1", now)[0]
    assert rooms[0.0].room == scarcitymessages.UNKNOWN_ROOM
    stated = rooms[scarcityboard.ASK_SECONDS]
    assert stated.offered == (2000, 2000)
    assert 0.4 * 2000 <= stated.room <= 2200
