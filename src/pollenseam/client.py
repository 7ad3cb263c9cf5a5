"""An HTTP client for the operators' pages, which every VM serves."""

import asyncio
import uuid
from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec

from pollenseam import errors
from pollenseam import operators
from pollenseam import replybuffers
from pollenseam import sessions

REQUEST_TIMEOUT_SECONDS = 10.0
# Memory for one answer, of which its body may take half.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Number of times that the whole list of addresses is tried.
ROUNDS = 2
POLL_SECONDS = 0.1


class Client:
    """Sends requests to the first VM that answers.

    If a VM does not answer, or refuses in a way that another VM may not, the
    request goes to the next address.

    Attributes:
        addresses: Caller addresses of VMs, the preferred one first.
        token: The operator's token.
        scheme: "http" or "https".
    """

    def __init__(
        self, addresses: Sequence[str], token: str, scheme: str = "http"
    ) -> None:
        self.addresses = list(addresses)
        self.token = token
        self.scheme = scheme

    async def get(self, endpoint: str, **query: str) -> Any:
        """Returns the decoded JSON answer to a GET request.

        Args:
            endpoint: Path of the page below operators.PATH_PREFIX.
            **query: Query parameters.

        Raises:
            RefusedError: The VM refused the request.
            UnreachableError: No VM answered.
        """
        return await self._request("GET", endpoint, None, query)

    async def post(self, endpoint: str, body: msgspec.Struct) -> Any:
        """Returns the decoded JSON answer to a POST request.

        Args:
            endpoint: Path of the page below operators.PATH_PREFIX.
            body: Request body, sent as JSON.

        Raises:
            RefusedError: The VM refused the change.
            UnreachableError: No VM answered; the change may be in force.
        """
        return await self._request(
            "POST", endpoint, msgspec.json.encode(body), {}
        )

    async def _request(
        self,
        method: str,
        endpoint: str,
        body: bytes | None,
        query: dict[str, str],
    ) -> Any:
        last_refusal: errors.RefusedError | None = None
        for address in self.addresses * ROUNDS:
            try:
                return await self._send(method, address, endpoint, body, query)
            except errors.RefusedError as error:
                if error.refusal.kind not in errors.RETRY_ELSEWHERE_KINDS:
                    raise
                last_refusal = error
            except (
                aiohttp.ClientError,
                OSError,
                TimeoutError,
                ValueError,
                msgspec.DecodeError,
            ):
                # An answer that broke off may look whole, but for its JSON. One
                # without an end is given up.
                continue
        if last_refusal is not None:
            raise last_refusal
        names = ", ".join(self.addresses) or "none given"
        raise errors.UnreachableError(f"no VM answered ({names})")

    async def _send(
        self,
        method: str,
        address: str,
        endpoint: str,
        body: bytes | None,
        query: dict[str, str],
    ) -> Any:
        url = f"{self.scheme}://{address}{operators.PATH_PREFIX}{endpoint}"
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        buffers = replybuffers.ReplyBuffers(MAX_ANSWER_BYTES)
        async with sessions.open_session() as session:
            async with session.request(
                method,
                url,
                data=body,
                params=query,
                headers={"Authorization": f"Bearer {self.token}"},
                timeout=timeout,
            ) as response:
                raw = await buffers.read(response)
        if response.status == 200:
            return msgspec.json.decode(raw)
        raise _parse_refusal(response.status, raw)

    async def wait_in_force(self, index: int, seconds: float) -> bool:
        """Waits until a change is in force on the VMs of the fleet.

        VMs that are suspect or have stopped are not waited for.

        Args:
            index: Settings index of the change.
            seconds: The longest time to wait.

        Returns:
            Whether `index` is in force on these VMs.

        Raises:
            RefusedError: A VM refused the status request.
            UnreachableError: No VM answered the status request.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while True:
            status = await self.get("status")
            behind = [
                vm
                for vm in status["vms"]
                if not vm["suspect"]
                and vm["state"] != "gone"
                and vm["index"] < index
            ]
            if not behind:
                return True
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(POLL_SECONDS)


def _parse_refusal(status: int, raw: bytes) -> errors.RefusedError:
    try:
        problem = msgspec.json.decode(raw)
        kind = errors.Kind(problem["kind"])
        return errors.refuse(kind, problem["detail"], problem["executed"])
    except (msgspec.DecodeError, KeyError, ValueError, TypeError):
        detail = f"unexpected answer with status {status}"
        return errors.refuse(errors.Kind.UPSTREAM_FAILED, detail)


def new_change_id() -> str:
    """Returns a new change id, a random UUID."""
    return str(uuid.uuid4())
