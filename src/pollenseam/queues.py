"""Weighted fair queueing of requests that wait for a slot."""

import collections

MAX_WAITERS_PER_WORKSPACE = 256


class Waiter:
    """One waiting request.

    Attributes:
        workspace: Workspace that sent the request.
        weight: Weight of the workspace, relative to others.
        deadline: Time in seconds after which the request is not served.
        handle: Object by which the caller of `FairQueue` wakes the request;
            not used by the queue.
        finish_tag: Virtual finish time of the request.
        is_done: Whether the request was popped or cancelled.
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
        flows: Waiters by workspace; within a workspace first in, first out.
        virtual_time: Highest finish tag of the waiters popped since the queue
            was last empty.
        last_finish_tags: Finish tag of the last request of each workspace,
            also of one that did not have to wait.
        count: Number of waiters in the queue, cancelled ones included until
            they reach the head of their flow.
    """

    __slots__ = ("flows", "virtual_time", "last_finish_tags", "count")

    def __init__(self) -> None:
        self.flows: dict[str, collections.deque[Waiter]] = {}
        self.virtual_time = 0.0
        self.last_finish_tags: dict[str, float] = {}
        self.count = 0

    def push(self, waiter: Waiter) -> bool:
        """Adds a waiter; returns False if its workspace has too many."""
        flow = self.flows.setdefault(waiter.workspace, collections.deque())
        if len(flow) >= MAX_WAITERS_PER_WORKSPACE:
            return False
        start = max(
            self.virtual_time, self.last_finish_tags.get(waiter.workspace, 0.0)
        )
        waiter.finish_tag = start + 1 / waiter.weight
        self.last_finish_tags[waiter.workspace] = waiter.finish_tag
        flow.append(waiter)
        self.count += 1
        return True

    def pop(self, now: float) -> Waiter | None:
        """Removes and returns the next waiter that has not expired, or None."""
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
        """Cancels a waiter; `pop` will not return it."""
        waiter.is_done = True

    def cancel_due(self, time: float) -> list[Waiter]:
        """Cancels and returns the waiters whose deadline is before `time`."""
        due = [
            waiter
            for flow in self.flows.values()
            for waiter in flow
            if not waiter.is_done and waiter.deadline < time
        ]
        for waiter in due:
            self.cancel(waiter)
        return due

    def charge(self, workspace: str, weight: float) -> None:
        """Counts a request of a workspace that was served without waiting."""
        start = max(
            self.virtual_time, self.last_finish_tags.get(workspace, 0.0)
        )
        self.last_finish_tags[workspace] = start + 1 / weight

    def _next_waiter(self) -> Waiter | None:
        best: Waiter | None = None
        for flow in self.flows.values():
            while flow and flow[0].is_done:
                flow.popleft()
                self.count -= 1
            if flow and (best is None or flow[0].finish_tag < best.finish_tag):
                best = flow[0]
        if best is None:
            self.flows.clear()
            self.last_finish_tags.clear()
            self.virtual_time = 0.0
        return best

    def _remove_head(self, waiter: Waiter) -> None:
        flow = self.flows[waiter.workspace]
        flow.popleft()
        self.count -= 1
        if not flow:
            del self.flows[waiter.workspace]
