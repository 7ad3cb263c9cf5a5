"""Which VMs say that they do not reach a service which others reach.

Reports spread by gossip as the records of the membership do (`members`). Each
has a deadline, so that one whose end was missed sends callers elsewhere for a
bounded time only.
"""

import heapq
from collections.abc import Container

from pollenseam import messages

# Time for which a report counts, and what is left of it when it is renewed.
REPORT_SECONDS = 30.0
RENEW_SECONDS = 10.0
# Limits of one report and of one gossip message.
MAX_SERVICES = 8
MAX_REPORTS = 10


class KnownReport:
    """The latest report of one VM.

    Attributes:
        report: The report.
        deadline: Time after which it does not count.
        sends_left: Remaining number of messages that include the report.
    """

    __slots__ = ("report", "deadline", "sends_left")

    def __init__(
        self, report: messages.ReachReport, deadline: float, sends_left: int
    ) -> None:
        self.report = report
        self.deadline = deadline
        self.sends_left = sends_left


class ReachReports:
    """The reports of all VMs, this one's included.

    All times are in seconds.

    Attributes:
        vm: Name of this VM.
        known: Latest report, by name of the VM.
        number: Number of this VM's latest report.
    """

    __slots__ = ("vm", "known", "number")

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.known: dict[str, KnownReport] = {}
        self.number = 0

    def update_own(
        self, services: list[str], incarnation: int, sends: int, now: float
    ) -> bool:
        """Updates this VM's own report if it has changed or is due.

        Args:
            services: Paths of the services that only other VMs reach; of more
                than MAX_SERVICES the first ones are told.
            incarnation: Incarnation of this VM.
            sends: How many messages are to include the report.
            now: Time in seconds.

        Returns:
            Whether it has changed.
        """
        told = sorted(services)[:MAX_SERVICES]
        own = self.known.get(self.vm)
        old = [] if own is None else own.report.services
        is_changed = told != old
        is_due = own is not None and own.deadline - now <= RENEW_SECONDS
        if not is_changed and not (told and is_due):
            return False
        self.number += 1
        report = messages.ReachReport(
            self.vm, incarnation, self.number, told, 0
        )
        self.known[self.vm] = KnownReport(report, now + REPORT_SECONDS, sends)
        return is_changed

    def merge(
        self,
        report: messages.ReachReport,
        vms: Container[str],
        sends: int,
        now: float,
    ) -> bool:
        """Merges a report that another VM has sent.

        Args:
            report: The report.
            vms: Names of the VMs whose reports are kept.
            sends: How many messages are to include it.
            now: Time in seconds.

        Returns:
            Whether it says something new.
        """
        left = min(report.left_ms / 1000, REPORT_SECONDS)
        if report.vm not in vms or report.vm == self.vm or left <= 0:
            return False
        known = self.known.get(report.vm)
        if known is not None and _version(report) <= _version(known.report):
            return False
        report.services = report.services[:MAX_SERVICES]
        self.known[report.vm] = KnownReport(report, now + left, sends)
        old = [] if known is None else known.report.services
        return report.services != old

    def remove_expired(self, now: float) -> None:
        """Removes the reports whose deadline is over."""
        for name, known in list(self.known.items()):
            if now >= known.deadline:
                del self.known[name]

    def pending(self, now: float) -> list[messages.ReachReport]:
        """Returns the reports for one message; each counts as sent."""
        waiting = [k for k in self._current(now) if k.sends_left > 0]
        chosen = heapq.nlargest(
            MAX_REPORTS, waiting, key=lambda k: k.sends_left
        )
        for known in chosen:
            known.sends_left -= 1
        return [_with_time_left(known, now) for known in chosen]

    def all(self, now: float) -> list[messages.ReachReport]:
        """Returns all reports, for a message with all records."""
        return [_with_time_left(known, now) for known in self._current(now)]

    def _current(self, now: float) -> list[KnownReport]:
        return [k for k in self.known.values() if now < k.deadline]

    def cut_off(self, service: str, now: float) -> set[str]:
        """Returns the names of the VMs that do not reach a service.

        Args:
            service: Path of the service.
            now: Time in seconds.
        """
        return {
            known.report.vm
            for known in self._current(now)
            if service in known.report.services
        }


def _version(report: messages.ReachReport) -> tuple[int, int]:
    return (report.incarnation, report.number)


def _with_time_left(known: KnownReport, now: float) -> messages.ReachReport:
    report = known.report
    return messages.ReachReport(
        report.vm,
        report.incarnation,
        report.number,
        report.services,
        int((known.deadline - now) * 1000),
    )
