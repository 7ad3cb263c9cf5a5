"""Daemons that are cut off from upstreams, as real programs."""

import asyncio

import daemoncuts
import pytest

# From this time after the cut on, callers must be served.
CONTACT_SECONDS = 3.0
MEASURE_SECONDS = 3.0
# The rule asks for two thirds of what the others serve.
MIN_SERVED_RATIO = 2 / 3


@pytest.mark.parametrize(
    ("connects", "kept"),
    [
        ("hang", "hang"),
        ("refuse", "live"),
        ("refuse", "reset"),
        ("reset", "reset"),
    ],
)
async def test_a_daemon_cut_off_from_all_upstreams_serves_like_the_others(
    tmp_path, connects, kept
):
    """Guards against callers whose VM reaches no upstream: 502 or 504 for all.

    Of 4,638 requests none was served while the connects were refused, and
    none of 3 while they hung.
    """
    async with daemoncuts.running(tmp_path) as bench:
        await bench.count_first_tries("a1", 1.0)
        bench.cut("a1", connects, kept)
        await bench.count_first_tries("a1", CONTACT_SECONDS)
        (sent, served), *others = await asyncio.gather(
            *(
                bench.count_first_tries(name, MEASURE_SECONDS)
                for name in daemoncuts.VMS
            )
        )
    served_by_others = sum(served for _, served in others)
    sent_to_others = sum(sent for sent, _ in others)
    print(f"cut {served}/{sent}, others {served_by_others}/{sent_to_others}")
    assert served_by_others >= 0.9 * sent_to_others
    assert served / sent >= MIN_SERVED_RATIO * served_by_others / sent_to_others
