"""Tells whether a request opened a connection or used a kept one.

The session is given a function as `trace_request_ctx`. It calls it with NEW or
KEPT once the request has its connection, and with OPENING before it opens one,
which the function may prevent with a PreventedError.
"""

import types
from typing import Any

import aiohttp

NONE = "none"
OPENING = "opening"
NEW = "new"
KEPT = "kept"


class PreventedError(Exception):
    """No connection was opened, because it would not succeed."""


async def _report_opening(
    session: aiohttp.ClientSession, context: types.SimpleNamespace, params: Any
) -> None:
    context.trace_request_ctx(OPENING)


async def _report_new(
    session: aiohttp.ClientSession, context: types.SimpleNamespace, params: Any
) -> None:
    context.trace_request_ctx(NEW)


async def _report_kept(
    session: aiohttp.ClientSession, context: types.SimpleNamespace, params: Any
) -> None:
    context.trace_request_ctx(KEPT)


def trace_config() -> aiohttp.TraceConfig:
    """Returns the configuration of a session that reports connections."""
    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(_report_opening)
    config.on_connection_create_end.append(_report_new)
    config.on_connection_reuseconn.append(_report_kept)
    return config


def failure_outcome(error: Exception) -> str:
    """Returns how a connect failed: timed-out, refused, reset or failed.

    Args:
        error: The exception that the session raised.
    """
    if isinstance(error, TimeoutError):
        return "timed-out"
    cause = getattr(error, "os_error", error)
    if isinstance(cause, ConnectionRefusedError):
        return "refused"
    if isinstance(cause, ConnectionResetError):
        return "reset"
    return "timed-out" if isinstance(cause, TimeoutError) else "failed"
