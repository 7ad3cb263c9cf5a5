"""Which of several VMs to ask for news when some of them may be silent.

A VM that is silent costs the time-out of a call, one that is cut off from the
leader the wait for a change. Where one is, others often are, as a whole region
may be, so they are not tried one after the other: after a failure no VM is
trusted before it has answered again, and all are asked at once.
"""

from collections.abc import Sequence

# Time for which a VM that answers, but has no news, is left out.
BACKOFF_SECONDS = 2.0
# Shortest time between two questions to all VMs.
ASK_INTERVAL_SECONDS = 1.0
# Time between two questions to VMs that would be better than the one in use.
ASK_BETTER_INTERVAL_SECONDS = 2.0


class Sources:
    """What one VM knows of those that it can ask.

    Attributes:
        answering: Addresses that have answered since the last failure.
        avoided_until: Time in seconds until which an address is left out
            because it had no news.
        ask_at: Time in seconds from which all may be asked again.
        ask_better_at: Time in seconds from which better ones may be asked.
    """

    __slots__ = ("answering", "avoided_until", "ask_at", "ask_better_at")

    def __init__(self) -> None:
        self.answering: set[str] = set()
        self.avoided_until: dict[str, float] = {}
        self.ask_at = float("-inf")
        self.ask_better_at = float("-inf")

    def record_answer(
        self, address: str, has_news: bool | None, now: float
    ) -> None:
        """Records that a VM has answered.

        Args:
            address: Address of the VM.
            has_news: Whether it has news; None if the answer does not tell.
            now: Time in seconds.
        """
        self.answering.add(address)
        if has_news:
            self.avoided_until.pop(address, None)
        elif has_news is not None:
            self.avoided_until[address] = now + BACKOFF_SECONDS

    def record_failure(self) -> None:
        """Records that the VM in use was silent or had no news."""
        self.answering.clear()

    def record_refusal(self, address: str) -> None:
        """Records that a VM refused a call, which says nothing of others."""
        self.answering.discard(address)

    def is_usable(self, address: str, now: float) -> bool:
        """Returns whether a VM answers and is not left out."""
        is_avoided = self.avoided_until.get(address, now) > now
        return address in self.answering and not is_avoided

    def choose(self, addresses: Sequence[str], now: float) -> str:
        """Returns the VM to use, or "" if all should be asked first.

        Args:
            addresses: Addresses of the VMs, the best one first.
            now: Time in seconds.
        """
        for address in addresses:
            if self.is_usable(address, now):
                return address
        answering = [a for a in addresses if a in self.answering]
        if now >= self.ask_at or not answering:
            return ""
        return min(answering, key=lambda a: self.avoided_until[a])

    def better(
        self, addresses: Sequence[str], source: str, now: float
    ) -> list[str]:
        """Returns the VMs to ask whether they could replace the one in use.

        Those are the better ones that have not answered since a failure. They
        are returned once in ASK_BETTER_INTERVAL_SECONDS.

        Args:
            addresses: Addresses of the VMs, the best one first.
            source: Address of the VM in use.
            now: Time in seconds.
        """
        if now < self.ask_better_at:
            return []
        better = addresses[: addresses.index(source)]
        silent = [a for a in better if a not in self.answering]
        if silent:
            self.ask_better_at = now + ASK_BETTER_INTERVAL_SECONDS
        return silent
