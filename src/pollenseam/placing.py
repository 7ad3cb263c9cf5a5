"""Says where an entry VM would send a request now, without sending it."""

from collections.abc import Mapping

import msgspec
import multidict

from pollenseam import calls
from pollenseam import entryvm
from pollenseam import errors
from pollenseam import placements
from pollenseam import poolcopies
from pollenseam import shares
from pollenseam import steering

# A caller without a deadline of its own.
NO_DEADLINE_SECONDS = 3600.0


def answer_page(entry_vm: entryvm.EntryVm, values: Mapping[str, str]) -> bytes:
    """Returns the answer to a query as JSON.

    Args:
        entry_vm: The VM that is asked.
        values: Fields of the query.

    Raises:
        ValueError: The query is not valid.
    """
    query = msgspec.convert(dict(values), placements.Query)
    return msgspec.json.encode(find(entry_vm, query))


def find(
    entry_vm: entryvm.EntryVm, query: placements.Query
) -> placements.Answer:
    """Returns where an entry VM would send a request now.

    It uses copies of what a choice changes, so that nothing is counted.
    """
    settings = entry_vm.settings
    answer = placements.Answer(
        settings.name,
        settings.region,
        settings.failure_domain,
        entry_vm.registry.index,
        entry_vm.follower.freshness.age(entry_vm.now()),
    )
    if query.failure_domain not in ("", settings.failure_domain):
        answer.elsewhere = [
            entry.address
            for entry in entry_vm.follower.directory.entries
            if entry.failure_domain == query.failure_domain
        ]
        return answer
    if query.workspace and query.workspace not in entry_vm.table.workspaces:
        answer.admission = answer.outcome = placements.REFUSED
        answer.why = f"there is no workspace {query.workspace}"
        return answer
    call = _to_call(entry_vm, query)
    try:
        active_call = entry_vm.preview(call)
    except errors.RefusedError as error:
        answer.route = call.route
        answer.admission = placements.REFUSED
        _refuse(answer, error.refusal)
        return answer
    answer.route = active_call.named_route.name
    answer.service = active_call.service
    answer.admission = placements.ADMITTED
    if not entry_vm.preview_token(call):
        answer.admission = placements.QUEUED
        answer.why = (
            f"waits up to {shares.TOKEN_WAIT_SECONDS:g} s for the workspace's "
            "rate"
        )
    _choose(entry_vm, active_call, answer)
    return answer


def _to_call(entry_vm: entryvm.EntryVm, query: placements.Query) -> calls.Call:
    workspace = entry_vm.table.workspaces.get(query.workspace)
    key = None
    if workspace is not None and workspace.keys:
        key = workspace.keys[0]
    now = entry_vm.now()
    return calls.Call(
        "",
        "GET",
        query.path,
        query.host,
        query.path.partition("?")[0],
        multidict.CIMultiDict(),
        b"",
        key,
        query.object or None,
        now + NO_DEADLINE_SECONDS,
        now,
    )


def _choose(
    entry_vm: entryvm.EntryVm,
    active_call: calls.ActiveCall,
    answer: placements.Answer,
) -> None:
    now = entry_vm.now()
    required = active_call.requirements()
    # Requests without an object take rankings in turn: the choice below must
    # see the same one.
    pool = poolcopies.copy_pool(active_call.pool)
    considered = list(pool.consider(required, now))
    considered.sort(key=_order)
    answer.candidates = [_to_candidate(one, now) for one in considered]
    try:
        choice = entry_vm.dispatcher.preview(active_call)
    except errors.RefusedError as error:
        _refuse(answer, error.refusal)
        return
    if choice is None:
        answer.outcome = placements.RELAYED
        answer.why = answer.why or "this VM reaches no upstream of the service"
        return
    answer.outcome = placements.SENT
    answer.upstream = choice.upstream.record.id


def _refuse(answer: placements.Answer, refusal: errors.Refusal) -> None:
    answer.outcome = placements.REFUSED
    answer.why = f"{refusal.kind.value}: {refusal.detail}"
    answer.retry_after = refusal.retry_after


def _order(considered: steering.Considered) -> tuple[bool, bool, float]:
    choice = considered.choice
    return (
        bool(considered.excluded),
        choice.excess_wait_seconds > 0,
        choice.expected_seconds + considered.penalty_seconds,
    )


def _to_candidate(
    considered: steering.Considered, now: float
) -> placements.Candidate:
    choice = considered.choice
    upstream = choice.upstream
    return placements.Candidate(
        upstream.record.id,
        upstream.region,
        upstream.record.failure_domain,
        choice.rank,
        considered.is_preferred,
        upstream.load(now),
        upstream.record.slots,
        choice.wait_seconds,
        choice.work_seconds,
        considered.penalty_seconds,
        choice.excess_wait_seconds,
        considered.excluded,
    )
