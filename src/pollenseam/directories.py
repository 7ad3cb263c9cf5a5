"""Chooses which entry VMs the directory names to callers; does no I/O."""

from collections.abc import Iterable

from pollenseam import controlmessages

# Fraction of the serving entry VMs that must reach the upstreams for callers to
# be sent to these alone. Fewer could not bear the load of all.
MIN_REACHING_RATIO = 0.5


def serving_entries(
    entries: Iterable[controlmessages.EntryVm], region: str
) -> list[controlmessages.EntryVm]:
    """Returns the entry VMs that callers of a region should use.

    VMs that are cut off from upstreams are left out as long as enough others
    reach them; they serve as well, through other VMs. Other regions are named
    only if the region has no VM left.
    """
    serving = [entry for entry in entries if entry.is_serving]
    reaching = [entry for entry in serving if not entry.is_cut_off]
    if len(reaching) >= MIN_REACHING_RATIO * len(serving):
        serving = reaching
    return [entry for entry in serving if entry.region == region] or serving
