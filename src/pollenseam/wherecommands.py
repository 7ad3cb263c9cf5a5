"""The command of `pollenseam` that asks an entry VM about one request."""

import http.client
import sys
import urllib.error
import urllib.parse
import urllib.request

import msgspec

from pollenseam import commandline
from pollenseam import errors
from pollenseam import flags
from pollenseam import placements

TIMEOUT_SECONDS = 5.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
EXIT_CHECK_FAILED = 1


def where(
    host: str,
    path: str,
    *,
    vm: str,
    workspace: str = "",
    failure_domain: str = "",
    object: str = "",
    limit: int = 12,
) -> None:
    """Says where a request would go now and why, without sending it.

    Exits 1 if it would be refused.

    Args:
        host: Host of the route.
        path: Path of the request.
        vm: Metrics address IP:PORT of an entry VM.
        workspace: Name of the caller's workspace.
        failure_domain: Failure domain in which the request arrives; a VM of
            it is asked, at the same port.
        object: Id of the object that the request concerns.
        limit: Number of upstreams to print.
    """
    try:
        address = flags.check_address("vm", vm)
    except errors.FlagError as error:
        raise commandline.UsageError(str(error)) from error
    query = placements.Query(host, path, workspace, failure_domain, object)
    answer = _ask(address, query)
    if answer.elsewhere:
        ip = answer.elsewhere[0].rpartition(":")[0]
        answer = _ask(f"{ip}:{address.rpartition(':')[2]}", query)
    if not answer.outcome:
        raise commandline.UsageError(
            f"no entry VM is known in failure domain {failure_domain}"
        )
    text = "\n".join(to_lines(answer, limit))
    commandline.print_result(msgspec.to_builtins(answer), text)
    if answer.outcome == placements.REFUSED:
        sys.exit(EXIT_CHECK_FAILED)


def _ask(address: str, query: placements.Query) -> placements.Answer:
    """Returns an entry VM's answer.

    Raises:
        UnreachableError: It gives none.
    """
    values = {k: v for k, v in msgspec.structs.asdict(query).items() if v}
    url = f"http://{address}{placements.PATH}?{urllib.parse.urlencode(values)}"
    try:
        with urllib.request.urlopen(url, timeout=TIMEOUT_SECONDS) as response:
            # What is cut off there is no answer that can be decoded.
            raw = response.read(MAX_ANSWER_BYTES)
            return msgspec.json.decode(raw, type=placements.Answer)
    except (
        OSError,
        http.client.HTTPException,
        msgspec.MsgspecError,
    ) as error:
        raise errors.UnreachableError(f"{address}: {error}") from error


def to_lines(answer: placements.Answer, limit: int) -> list[str]:
    """Returns an answer as text, with at most `limit` upstreams."""
    lines = [
        f"{answer.vm} in {answer.failure_domain} ({answer.region}), settings "
        f"{answer.settings_index}, {answer.settings_age_seconds:.1f} s old",
        f"route {answer.route or '-'}, service {answer.service or '-'}",
        f"here: {answer.admission}",
        f"then: {answer.outcome} {answer.upstream}".rstrip(),
    ]
    if answer.why:
        lines.append(f"why: {answer.why}")
    if answer.retry_after is not None:
        lines.append(f"may come back after {answer.retry_after:.2g} s")
    for one in answer.candidates[:limit]:
        lines.append(_to_line(one))
    left = len(answer.candidates) - limit
    if left > 0:
        lines.append(f"and {left} more upstreams")
    return lines


def _to_line(one: placements.Candidate) -> str:
    total = one.wait_seconds + one.work_seconds + one.penalty_seconds
    verdict = one.excluded and f"excluded: {one.excluded}"
    if not verdict and one.excess_wait_seconds > 0:
        verdict = f"no room: {one.excess_wait_seconds:.3g} s too long"
    return (
        f"  {one.upstream} {one.failure_domain} rank {one.rank} load "
        f"{one.load:.3g} of {one.slots}, wait {one.wait_seconds:.3g} s + work "
        f"{one.work_seconds:.3g} s + penalty {one.penalty_seconds:.3g} s = "
        f"{total:.3g} s{' ' * bool(verdict)}{verdict}"
    )
