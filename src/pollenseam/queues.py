"""Weighted fair queueing of requests that wait for room."""

import collections

MAX_WAITERS_PER_WORKSPACE = 256


class Waiter:
    """One waiting request.

    Attributes:
        workspace: Whose request it is.
        weight: Share of the workspace.
        deadline: Time after which it is not worth serving.
        handle: What the shell wakes; opaque here.
        tag: Virtual finish time.
        is_done: Whether it was taken out or given up.
    """

    __slots__ = ("workspace", "weight", "deadline", "handle", "tag", "is_done")

    def __init__(
        self, workspace: str, weight: float, deadline: float, handle: object
    ) -> None:
        self.workspace = workspace
        self.weight = weight
        self.deadline = deadline
        self.handle = handle
        self.tag = 0.0
        self.is_done = False


class FairQueue:
    """Start-time fair queueing (Goyal, Vin and Cheng, 1996) by workspace.

    Attributes:
        lanes: Waiters by workspace, first come first served in each.
        virtual: Virtual time: the tag of the last waiter taken out.
        finished: Tag of each workspace's last waiter.
        count: Waiters in the queue.
    """

    __slots__ = ("lanes", "virtual", "finished", "count")

    def __init__(self) -> None:
        self.lanes: dict[str, collections.deque[Waiter]] = {}
        self.virtual = 0.0
        self.finished: dict[str, float] = {}
        self.count = 0

    def push(self, waiter: Waiter) -> bool:
        """Adds a waiter; False when its workspace has too many."""
        lane = self.lanes.setdefault(waiter.workspace, collections.deque())
        if len(lane) >= MAX_WAITERS_PER_WORKSPACE:
            return False
        start = max(self.virtual, self.finished.get(waiter.workspace, 0.0))
        waiter.tag = start + 1 / waiter.weight
        self.finished[waiter.workspace] = waiter.tag
        lane.append(waiter)
        self.count += 1
        return True

    def pop(self, now: float) -> Waiter | None:
        """Takes out the next waiter that can still meet its deadline."""
        while True:
            waiter = self._first()
            if waiter is None:
                return None
            self._drop_first(waiter)
            if not waiter.is_done and waiter.deadline > now:
                self.virtual = max(self.virtual, waiter.tag)
                waiter.is_done = True
                return waiter

    def give_up(self, waiter: Waiter) -> None:
        """Marks a waiter whose caller has gone."""
        waiter.is_done = True

    def charge(self, workspace: str, weight: float) -> None:
        """Counts a request that was served without waiting."""
        start = max(self.virtual, self.finished.get(workspace, 0.0))
        self.finished[workspace] = start + 1 / weight

    def _first(self) -> Waiter | None:
        best: Waiter | None = None
        for lane in self.lanes.values():
            while lane and lane[0].is_done:
                lane.popleft()
                self.count -= 1
            if lane and (best is None or lane[0].tag < best.tag):
                best = lane[0]
        if best is None:
            self.lanes.clear()
            self.finished.clear()
            self.virtual = 0.0
        return best

    def _drop_first(self, waiter: Waiter) -> None:
        lane = self.lanes[waiter.workspace]
        lane.popleft()
        self.count -= 1
        if not lane:
            del self.lanes[waiter.workspace]
