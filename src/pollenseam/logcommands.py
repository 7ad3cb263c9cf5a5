"""Commands of `pollenseam` that read logs and traces, without any VM."""

import pathlib
import sys

from pollenseam import commandline
from pollenseam import errors
from pollenseam import explanation
from pollenseam import invariants
from pollenseam import timeline as timelines

EXIT_CHECK_FAILED = 1


def timeline(
    *files: str,
    request: str = "",
    workspace: str = "",
    upstream: str = "",
    vm: str = "",
    event: str = "",
    any: str = "",
) -> None:
    """Merges event logs of several VMs in causal order.

    Args:
        files: Log files of daemons.
        request: Only events with this request id.
        workspace: Only events with this workspace path.
        upstream: Only events with this upstream name.
        vm: Only events of this VM.
        event: Only events of this kind.
        any: Only events with this text in any value.
    """
    wanted = {
        "request": request,
        "workspace": workspace,
        "upstream": upstream,
        "vm": vm,
        "event": event,
        "any": any,
    }
    filters = {name: value for name, value in wanted.items() if value}
    sources = [_read_lines(file) for file in files]
    skipped = timelines.SkippedLines()
    for merged in timelines.merge(sources, skipped):
        if timelines.matches(merged, filters):
            commandline.print_result(merged.fields, merged.line)
    if skipped.count:
        print(f"{skipped.count} lines are not events", file=sys.stderr)


def explain(request: str, *files: str) -> None:
    """Explains one request from the event logs of several VMs.

    Exits 1 if the logs have no event of the request.

    Args:
        request: Id of the request.
        files: Log files of entry and control VMs; - is standard input, which
            is also read if no file is given.
    """
    sources = [_read_lines(file) for file in files or ("-",)]
    result = explanation.explain(request, sources)
    commandline.print_result(
        {
            "own": [event.fields for event in result.request_events],
            "before": [event.fields for event in result.settings_state],
            "upstreams": [event.fields for event in result.upstream_events],
            "change": result.settings_change.fields
            if result.settings_change
            else None,
            "unread": result.skipped_lines,
        },
        "\n".join(result.to_lines()),
    )
    if not result.request_events:
        sys.exit(EXIT_CHECK_FAILED)


def replay(*traces: str) -> None:
    """Checks recorded traces for violated invariants.

    Exits 1 and prints the record of each violation if there are any.

    Args:
        traces: Trace files of daemons (see `pollenseamd --trace-file`).
    """
    try:
        checker = invariants.check_traces(
            [pathlib.Path(name) for name in traces]
        )
    except (errors.DamagedError, OSError) as error:
        raise commandline.UsageError(str(error)) from error
    broken = [str(violation) for violation in checker.violations]
    counts = ", ".join(f"{n} {k}" for k, n in sorted(checker.counts.items()))
    text = "\n".join([*broken, f"{len(broken)} broken; {counts}"])
    commandline.print_result(
        {"broken": broken, "records": checker.counts}, text
    )
    if broken:
        sys.exit(EXIT_CHECK_FAILED)


def _read_lines(file: str) -> list[str]:
    if file == "-":
        return sys.stdin.read().splitlines()
    try:
        text = pathlib.Path(file).read_text(errors="replace")
    except OSError as error:
        raise commandline.UsageError(f"{file}: {error.strerror}") from error
    return text.splitlines()
