"""At-most-once requests: open a claim, send once, store the answer."""

import asyncio
import contextlib
import hashlib
import itertools
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import aiohttp

from pollenseam import claims
from pollenseam import commands
from pollenseam import errors
from pollenseam import exchanges
from pollenseam import forwarder
from pollenseam import headers
from pollenseam import submitter
from pollenseam import traces
from pollenseam import vm

MAX_STORED_BYTES = 256 * 1024
MAX_STORED_HEADERS = 64
STORE_TIMEOUT_SECONDS = 60.0
RELEASE_TIMEOUT_SECONDS = 10.0
NOT_STORED_HEADER = "Pollenseam-Body-Not-Stored"

Result = TypeVar("Result")


class IdempotencyHandler:
    """Runs at-most-once requests on one entry VM.

    Attributes:
        vm: State of this VM.
        forwarder: Forwarder that sends requests to upstreams.
        submitter: Submitter of commands to the quorum.
        running: Tasks that go on after their caller has disconnected.
    """

    def __init__(
        self,
        local_vm: vm.Vm,
        request_forwarder: forwarder.Forwarder,
        command_submitter: submitter.Submitter,
    ) -> None:
        self.vm = local_vm
        self.forwarder = request_forwarder
        self.submitter = command_submitter
        self.running: set[asyncio.Task[Any]] = set()
        self._attempts = itertools.count(1)

    async def run(
        self, exchange: exchanges.Exchange, key: str
    ) -> commands.StoredAnswer:
        """Returns the answer to an at-most-once request.

        The request goes on after its caller has disconnected, so that a
        resend gets the stored answer.

        Args:
            exchange: The caller's request and its route.
            key: Idempotency key of the request.

        Raises:
            RefusedError: The request was not run, or its outcome is unknown.
        """
        check_key(key)
        claim = self._build_claim(exchange, key)
        outcome = await self._open_claim(claim, exchange)
        if outcome.answer is not None:
            self._log("claim-replayed", claim)
            return outcome.answer
        if outcome.kind:
            raise errors.refuse(errors.Kind(outcome.kind), outcome.detail)
        exchange.claim = _claim_digest(claim)
        exchange.attempt = claim.attempt
        task = self._spawn(self._send(exchange, claim))
        return await asyncio.shield(task)

    def _build_claim(
        self, exchange: exchanges.Exchange, key: str
    ) -> commands.OpenClaim:
        head = f"{exchange.method} {exchange.route.node.host} {exchange.target}"
        digest = hashlib.sha256(head.encode() + b"\0" + (exchange.body or b""))
        left_ms = int((exchange.deadline - self.vm.now()) * 1000)
        return commands.OpenClaim(
            exchange.workspace or exchange.route.service.path,
            key,
            digest.hexdigest(),
            f"{self.vm.lease_holder}/{next(self._attempts)}",
            max(1, left_ms),
        )

    def _spawn(
        self, coroutine: Coroutine[Any, Any, Result]
    ) -> "asyncio.Task[Result]":
        task = asyncio.create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    async def _open_claim(
        self, claim: commands.OpenClaim, exchange: exchanges.Exchange
    ) -> commands.Outcome:
        try:
            return await self.submitter.submit(claim, exchange.deadline)
        except errors.UnreachableError as error:
            # The quorum may still record the claim, which would block a
            # resend.
            self._spawn(self._release_claim(claim))
            raise errors.refuse(
                errors.Kind.NO_QUORUM,
                "no control replica recorded the claim in time",
            ) from error
        except asyncio.CancelledError:
            self._spawn(self._release_claim(claim))
            raise

    async def _send(
        self, exchange: exchanges.Exchange, claim: commands.OpenClaim
    ) -> commands.StoredAnswer:
        try:
            answer = await self._forward(exchange)
        except errors.RefusedError as error:
            self._log("claim-failed", claim, executed=error.refusal.executed)
            if error.refusal.executed == "no":
                self._trace_unsent(exchange)
                await self._release_claim(claim)
            raise
        self._spawn(self._store_answer(claim, answer))
        return answer

    def _trace_unsent(self, exchange: exchanges.Exchange) -> None:
        trace = self.vm.trace
        if trace.is_on:
            now = self.vm.now()
            trace.add(traces.Unsent(now, exchange.claim, exchange.attempt))

    async def _forward(
        self, exchange: exchanges.Exchange
    ) -> commands.StoredAnswer:
        try:
            deadline = vm.loop_deadline(exchange.deadline)
            async with asyncio.timeout_at(deadline):
                return await self._receive(exchange)
        except TimeoutError as error:
            executed = "unknown" if exchange.is_sent else "no"
            raise errors.refuse(
                errors.Kind.DEADLINE,
                "the upstream's answer was not complete before the deadline",
                executed,
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise errors.refuse(
                errors.Kind.UPSTREAM_FAILED,
                "the connection failed before the upstream's answer was "
                "complete",
            ) from error

    async def _receive(
        self, exchange: exchanges.Exchange
    ) -> commands.StoredAnswer:
        streaming = await self.forwarder.send(exchange)
        response = streaming.response
        body = await self.forwarder.receive(streaming)
        pairs = [
            (str(name), value)
            for name, value in headers.to_caller(response.headers).items()
        ]
        return commands.StoredAnswer(response.status, pairs, body)

    async def _store_answer(
        self, claim: commands.OpenClaim, answer: commands.StoredAnswer
    ) -> None:
        pairs = answer.headers[:MAX_STORED_HEADERS]
        body = answer.body
        if len(body) > MAX_STORED_BYTES:
            pairs = [*pairs, (NOT_STORED_HEADER, str(len(body)))]
            body = b""
        stored = commands.StoredAnswer(answer.status, pairs, body)
        command = commands.CloseClaim(
            claim.workspace, claim.key, claim.attempt, stored
        )
        deadline = self.vm.now() + STORE_TIMEOUT_SECONDS
        with contextlib.suppress(errors.UnreachableError):
            await self.submitter.submit(command, deadline)
            self._log("claim-stored", claim, status=answer.status)

    async def _release_claim(self, claim: commands.OpenClaim) -> None:
        command = commands.ReleaseClaim(
            claim.workspace, claim.key, claim.attempt
        )
        deadline = self.vm.now() + RELEASE_TIMEOUT_SECONDS
        with contextlib.suppress(errors.UnreachableError):
            await self.submitter.submit(command, deadline)

    def _log(
        self, event: str, claim: commands.OpenClaim, **fields: object
    ) -> None:
        self.vm.log.emit(
            event,
            workspace=claim.workspace,
            request=claim.attempt,
            claim=_claim_digest(claim),
            **fields,
        )

    async def drain(self, deadline: float) -> None:
        """Waits until all requests have ended and their answers are stored.

        Args:
            deadline: Time in seconds at which to stop waiting.
        """
        while self.running and self.vm.now() < deadline:
            await asyncio.wait(self.running, timeout=0.1)


def _claim_digest(claim: commands.OpenClaim) -> str:
    name = f"{claim.workspace}/{claim.key}"
    return hashlib.sha256(name.encode()).hexdigest()[:16]


def check_key(key: str) -> None:
    """Checks that an idempotency key can be stored.

    Raises:
        RefusedError: The key is empty, too long or not printable.
    """
    if not key or len(key) > claims.MAX_KEY_CHARACTERS or not key.isprintable():
        raise errors.refuse(
            errors.Kind.MALFORMED,
            f"{headers.IDEMPOTENCY_KEY} must have 1 to "
            f"{claims.MAX_KEY_CHARACTERS} printable characters",
        )
