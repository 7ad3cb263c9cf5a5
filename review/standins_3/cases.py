"""Runs a case: exit code 1 if the rule was broken, 0 if it held, else 2."""

import asyncio
import os
import pathlib
import sys
import traceback

import deployment

MAX_SECONDS = 110.0


def has_trouble():
    """Returns whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(play, core_count, front_count, **limits):
    """Plays a case and ends the process.

    Args:
        play: Coroutine function of a started deployment; returns what broke
            the rule, or "" if it held.
        core_count: Number of machines of the core.
        front_count: Number of front machines.
        **limits: Limits of a process, see `deployment.Deployment`.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent

    async def play_all():
        system = deployment.Deployment(
            folder / "record.txt", core_count, front_count, **limits
        )
        try:
            async with asyncio.timeout(MAX_SECONDS):
                await system.start()
                broken = await play(system)
                system.record("verdict", broken or "the rule held")
                return broken
        finally:
            await system.stop()

    try:
        broken = asyncio.run(play_all())
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
