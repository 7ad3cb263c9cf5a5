"""Attempts of a call at upstreams, in virtual time."""

import asyncio

import hedges
import pytest
import virtualtime

from pollenseam import errors


class Unconnected(hedges.Session):
    """A session none of whose connections opens.

    Attributes:
        answers: Answers of the first upstreams, before that.
    """

    def __init__(self, plan, *answers):
        super().__init__(plan)
        self.answers = list(answers)

    async def request(self, method, url, headers, trace_request_ctx, **more):
        if self.answers:
            self.plan = lambda upstream: self.answers.pop(0)
            return await super().request(
                method, url, headers, trace_request_ctx, **more
            )
        trace_request_ctx("opening")
        await asyncio.sleep(3600.0)


def serve(monkeypatch, *answers, **route):
    """Returns the answer to a call whose connections do not open."""

    async def run():
        async with hedges.world(monkeypatch, None, ratio=0.0, **route) as world:
            session = Unconnected(None, *answers)
            world.dispatcher.sender.session = session
            answered = await world.serve(1.0)
            world.assert_idle()
            return answered

    return virtualtime.run(run())


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_a_call_that_got_no_connection_in_time_has_not_run(
    monkeypatch, is_idempotent
):
    """Guards against refusals that keep callers from sending it again."""
    refusal = serve(monkeypatch, is_idempotent=is_idempotent)
    assert (refusal.kind, refusal.executed) == (errors.Kind.NO_ROOM, "no")
    assert refusal.retry_after > 0


def test_a_call_that_an_upstream_may_have_run_does_not_claim_otherwise(
    monkeypatch,
):
    broken = hedges.Answer(0.1, error=ConnectionResetError())
    refusal = serve(monkeypatch, broken, is_idempotent=True, max_attempts=3)
    assert refusal.executed == "unknown"
    assert refusal.kind != errors.Kind.NO_ROOM
