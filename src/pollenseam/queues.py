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

    __slots__ = (
        "workspace",
        "weight",
        "deadline",
        "handle",
        "finish_tag",
        "is_done",
    )

    def __init__(
        self, workspace: str, weight: float, deadline: float, handle: object
    ) -> None:
        self.workspace = workspace
        self.weight = weight
        self.deadline = deadline
        self.handle = handle
        self.finish_tag = 0.0
        self.is_done = False


class FairQueue:
    """Start-time fair queueing (Goyal, Vin and Cheng, 1996) by workspace.

    Attributes:
        lanes: Waiters by workspace, first come first served in each.
        virtual: Virtual time: the tag of the last waiter taken out.
        finished: Tag of each workspace's last waiter.
        count: Waiters in the queue.
    """

    __slots__ = ("flows", "virtual_time", "last_finish_tags", "count")

    def __init__(self) -> None:
        self.flows: dict[str, collections.deque[Waiter]] = {}
        self.virtual_time = 0.0
        self.last_finish_tags: dict[str, float] = {}
        self.count = 0

    def push(self, waiter: Waiter) -> bool:
        """Adds a waiter; False when its workspace has too many."""
        lane = self.flows.setdefault(waiter.workspace, collections.deque())
        if len(lane) >= MAX_WAITERS_PER_WORKSPACE:
            return False
        start = max(
            self.virtual_time, self.last_finish_tags.get(waiter.workspace, 0.0)
        )
        waiter.finish_tag = start + 1 / waiter.weight
        self.last_finish_tags[waiter.workspace] = waiter.finish_tag
        lane.append(waiter)
        self.count += 1
        return True

    def pop(self, now: float) -> Waiter | None:
        """Takes out the next waiter that can still meet its deadline."""
        while True:
            waiter = self._next_waiter()
            if waiter is None:
                return None
            self._remove_head(waiter)
            if not waiter.is_done and waiter.deadline > now:
                self.virtual_time = max(self.virtual_time, waiter.finish_tag)
                waiter.is_done = True
                return waiter

    def cancel(self, waiter: Waiter) -> None:
        """Marks a waiter whose caller has gone."""
        waiter.is_done = True

    def charge(self, workspace: str, weight: float) -> None:
        """Counts a request that was served without waiting."""
        start = max(
            self.virtual_time, self.last_finish_tags.get(workspace, 0.0)
        )
        self.last_finish_tags[workspace] = start + 1 / weight

    def _next_waiter(self) -> Waiter | None:
        best: Waiter | None = None
        for lane in self.flows.values():
            while lane and lane[0].is_done:
                lane.popleft()
                self.count -= 1
            if lane and (best is None or lane[0].finish_tag < best.finish_tag):
                best = lane[0]
        if best is None:
            self.flows.clear()
            self.last_finish_tags.clear()
            self.virtual_time = 0.0
        return best

    def _remove_head(self, waiter: Waiter) -> None:
        lane = self.flows[waiter.workspace]
        lane.popleft()
        self.count -= 1
        if not lane:
            del self.flows[waiter.workspace]
