"""The command-line tool `pollenseam`."""

import argparse
import asyncio
import os
import pathlib
import re
import sys
import tomllib
from collections.abc import Sequence
from typing import Any

import defopt
import msgspec

from pollenseam import client
from pollenseam import errors
from pollenseam import explanation
from pollenseam import flags
from pollenseam import invariants
from pollenseam import keys
from pollenseam import operators
from pollenseam import settings
from pollenseam import timeline as timelines

EXIT_CHECK_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 5
WAIT_SECONDS = 30.0
EPILOG = """
Options of every command: --control IP:PORT,... (or POLLENSEAM_CONTROL) are
the caller addresses of VMs to send requests to; --token TOKEN (or
POLLENSEAM_TOKEN) is the operator's token; --json prints JSON; --tls uses HTTPS.
Exit codes: 0 success; 1 a check failed or nothing was found; 2 usage or bad
file; 3 conflict; 4 not permitted; 5 unreachable or outcome unknown (resending
with the same change id is safe).
"""


class UsageError(errors.PollenseamError):
    """The command line or a file is invalid."""


class Options:
    """Options that every command takes.

    Attributes:
        control: Caller addresses of VMs, IP:PORT.
        token: The operator's token.
        as_json: Whether to print JSON.
        tls: Whether to use HTTPS.
    """

    __slots__ = ("control", "token", "as_json", "tls")

    def __init__(
        self, control: str, token: str, as_json: bool, tls: bool
    ) -> None:
        self.control = [part for part in control.split(",") if part]
        self.token = token
        self.as_json = as_json
        self.tls = tls


_options = Options("", "", False, False)


def _client() -> client.Client:
    if not _options.control:
        raise UsageError("give --control IP:PORT or POLLENSEAM_CONTROL")
    if not _options.token:
        raise UsageError("give --token or POLLENSEAM_TOKEN")
    try:
        addresses = [
            flags.check_address("control", a) for a in _options.control
        ]
    except errors.FlagError as error:
        raise UsageError(str(error)) from error
    scheme = "https" if _options.tls else "http"
    return client.Client(addresses, _options.token, scheme)


def _print_result(answer: Any, text: str) -> None:
    print(msgspec.json.encode(answer).decode() if _options.as_json else text)


# Commands that read.


def status() -> None:
    """Shows VMs, replicas, upstreams, shares and counts of refusals."""
    answer = asyncio.run(_client().get("status"))
    _print_result(answer, _status_text(answer))


def _status_text(answer: dict[str, Any]) -> str:
    fresh = "fresh" if answer["fresh"] else "NOT FRESH"
    lines = [
        f"{answer['vm']}: {answer['state']}, settings {fresh}, "
        f"index {answer['settings_index']}, "
        f"age {answer['settings_age_ms']} ms",
        f"leader: {answer['leader'] or 'not known here'}"
        + (f", term {answer['term']}" if answer["term"] else ""),
        "",
        f"{'VM':14}{'STATE':10}{'REGION':14}{'DOMAIN':12}{'ADDRESS':22}"
        f"{'INDEX':>7}{'AGE MS':>8}{'LOAD':>7}",
    ]
    for vm in answer["vms"]:
        state = "suspect" if vm["suspect"] else vm["state"]
        lines.append(
            f"{vm['name']:14}{state:10}{vm['region']:14}"
            f"{vm['failure_domain']:12}{vm['address']:22}"
            f"{vm['index']:7}{vm['age_ms']:8}{vm['load']:7.2f}"
        )
    lines.append("")
    for replica in answer["replicas"]:
        lines.append(
            f"replica {replica['id']:24}{replica['role']:9}"
            f"{replica['address']}"
        )
    for service, states in sorted(answer["upstreams"].items()):
        counts = ", ".join(f"{n} {s}" for s, n in sorted(states.items()))
        lines.append(f"upstreams of {service}: {counts}")
    for path, state in sorted(answer["shifts"].items()):
        lines.append(f"shift {path}: {state}")
    for resource, rate in sorted(answer["shares"].items()):
        lines.append(f"share of {resource}: {rate:.1f}/s")
    for kind, count in sorted(answer["refused"].items()):
        lines.append(f"refused {kind}: {count}")
    if answer["worst_workspace"]:
        lines.append(f"most refused workspace: {answer['worst_workspace']}")
    return "\n".join(lines)


def get(path: str = "/") -> None:
    """Prints the settings at a path, with a linearizable read.

    Args:
        path: Path in the settings tree.
    """
    answer = asyncio.run(_client().get("tree", path=path))
    lines = [f"{path} version {answer['version']}"]
    for name, node in answer["nodes"].items():
        node = {k: v for k, v in node.items() if k != "type"}
        lines.append(f"{name} {msgspec.json.encode(node).decode()}")
    _print_result(answer, "\n".join(lines))


def check(file: str, *, at: str = "/") -> None:
    """Checks a settings file without applying it.

    Args:
        file: Path of a TOML file.
        at: Path in the settings tree of the root of the file.
    """
    nodes = _load_settings(file, at)
    _print_result(
        {"nodes": len(nodes)}, f"{file}: {len(nodes)} nodes, all valid"
    )


def diff(file: str, *, at: str = "/") -> None:
    """Shows the changes that applying a settings file would make.

    Args:
        file: Path of a TOML file.
        at: Path in the settings tree of the root of the file.
    """
    new = _load_settings(file, at)
    answer = asyncio.run(_client().get("tree", path=at))
    old = {
        path: node
        for path, node in answer["nodes"].items()
        if node["type"] not in ("key", "operator")
    }
    lines = []
    for path in sorted(old.keys() | new.keys()):
        wanted = msgspec.to_builtins(new[path]) if path in new else None
        if path in old and wanted is not None:
            for name in ("state", "started_ms"):
                if name in old[path]:
                    wanted[name] = old[path][name]
        if path not in old:
            lines.append(f"+ {path} {msgspec.json.encode(wanted).decode()}")
        elif wanted is None:
            lines.append(f"- {path}")
        elif wanted != old[path]:
            lines.append(f"~ {path} {msgspec.json.encode(wanted).decode()}")
    _print_result(
        {"version": answer["version"], "changes": lines},
        "\n".join(lines) or f"{at} is as in {file}",
    )


def _load_settings(file: str, at: str) -> settings.Nodes:
    try:
        document = tomllib.loads(pathlib.Path(file).read_text())
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise UsageError(f"{file}: {error}") from error
    parsed = settings.parse(document, at)
    if parsed.is_err():
        text = pathlib.Path(file).read_text()
        raise UsageError(
            "\n".join(
                f"{file}:{_find_line(text, p.path)}: {p.path}: {p.reason}"
                for p in parsed.unwrap_err()
            )
        )
    return parsed.unwrap()


def _find_line(text: str, path: str) -> int:
    """Returns the number of the line that most likely sets `path`.

    The search covers TOML tables and keys only; the result is 1 if none match.
    """
    names = [re.sub(r"\[\d+\]", "", n) for n in path.strip("/").split("/")]
    best = 1
    depth = 0
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if stripped.startswith("["):
            table = stripped.strip("[] ").replace('"', "").split(".")
            if names[: len(table)] == table and len(table) >= depth:
                best = number
                depth = len(table)
        elif depth and stripped.split("=")[0].strip() == names[-1]:
            return number
    return best


# Commands that change.


def apply(
    file: str,
    *,
    at: str = "/",
    expect_version: int | None = None,
    change_id: str = "",
    wait: bool = False,
) -> None:
    """Replaces a subtree by a settings file, atomically.

    Args:
        file: Path of a TOML file.
        at: Path in the settings tree of the root of the file.
        expect_version: Refuse the change if the subtree has another version.
        change_id: Id that makes a resend safe; generated if not given.
        wait: Wait up to 30 s for the change to be in force on every VM that is
            not suspect.
    """
    _load_settings(file, at)
    document = tomllib.loads(pathlib.Path(file).read_text())
    change_id = change_id or client.new_change_id()
    request = operators.ApplyRequest(document, change_id, at, expect_version)
    _post_change("apply", request, change_id, wait)


def _post_change(
    endpoint: str, request: msgspec.Struct, change_id: str, wait: bool = False
) -> None:
    operator_client = _client()

    async def run() -> dict[str, Any]:
        answer: dict[str, Any] = await operator_client.post(endpoint, request)
        if wait:
            answer["in_force"] = await operator_client.wait_in_force(
                answer["index"], WAIT_SECONDS
            )
        return answer

    try:
        answer = asyncio.run(run())
    except errors.RefusedError as error:
        if error.refusal.executed == "unknown":
            print(f"change id: {change_id}", file=sys.stderr)
        raise
    except errors.UnreachableError:
        print(f"change id: {change_id}", file=sys.stderr)
        raise
    answer["change_id"] = change_id
    text = f"version {answer['version']}"
    if wait:
        everywhere = "everywhere" if answer["in_force"] else "NOT everywhere"
        text += f", in force {everywhere}"
    _print_result(answer, text)


def key_issue(path: str, *, change_id: str = "") -> None:
    """Issues a key and prints it; only its digest is stored.

    Callers send the key of a workspace with their requests; upstreams send the
    key of a service with their announcements. To resend after a lost answer,
    set POLLENSEAM_SECRET to the printed key and give the same change id.

    Args:
        path: Path of a workspace or a service.
        change_id: Id that makes a resend safe; generated if not given.
    """
    _issue_secret("keys/issue", path, change_id)


def operator_issue(path: str, *, change_id: str = "") -> None:
    """Issues an operator's token that owns a subtree, and prints it.

    Args:
        path: Subtree that the token owns, such as /teams/NAME.
        change_id: Id that makes a resend safe; generated if not given.
    """
    _issue_secret("operators/issue", path, change_id)


def _issue_secret(endpoint: str, path: str, change_id: str) -> None:
    text = flags.pop_secret("SECRET")
    secret = keys.parse(text) if text else keys.generate()
    if secret is None:
        raise UsageError("POLLENSEAM_SECRET is not a key")
    change_id = change_id or client.new_change_id()
    request = operators.IssueRequest(path, secret.id, secret.digest, change_id)
    try:
        answer = asyncio.run(_client().post(endpoint, request))
    except errors.PollenseamError:
        print(f"change id: {change_id}\nkey: {secret.text}", file=sys.stderr)
        raise
    answer |= {"id": secret.id, "secret": secret.text, "change_id": change_id}
    _print_result(answer, secret.text)


def key_list(path: str = "/") -> None:
    """Lists the ids of keys, with the workspace or service of each.

    Args:
        path: Subtree in which to look for keys.
    """
    _list_nodes(path, "key")


def operator_list() -> None:
    """Lists the ids of operators' tokens, with the subtree each owns."""
    _list_nodes("/", "operator")


def _list_nodes(path: str, type_: str) -> None:
    answer = asyncio.run(_client().get("tree", path=path))
    found = {
        name.rpartition("/")[2]: node.get("subtree")
        or name.rpartition("/keys/")[0]
        for name, node in answer["nodes"].items()
        if node["type"] == type_
    }
    text = "\n".join(f"{id} {scope}" for id, scope in found.items())
    _print_result(found, text)


def key_withdraw(id: str, *, change_id: str = "", wait: bool = False) -> None:
    """Withdraws a key; all VMs refuse it within seconds.

    Args:
        id: Id of the key, or the key itself.
        change_id: Id that makes a resend safe; generated if not given.
        wait: Wait up to 30 s for the change to be in force on every VM that is
            not suspect.
    """
    _withdraw_secret("keys/withdraw", id, change_id, wait)


def operator_withdraw(
    id: str, *, change_id: str = "", wait: bool = False
) -> None:
    """Withdraws an operator's token.

    Args:
        id: Id of the token, or the token itself.
        change_id: Id that makes a resend safe; generated if not given.
        wait: Wait up to 30 s for the change to be in force on every VM that is
            not suspect.
    """
    _withdraw_secret("operators/withdraw", id, change_id, wait)


def _withdraw_secret(
    endpoint: str, id: str, change_id: str, wait: bool
) -> None:
    secret = keys.parse(id)
    change_id = change_id or client.new_change_id()
    request = operators.WithdrawRequest(secret.id if secret else id, change_id)
    _post_change(endpoint, request, change_id, wait)


def shift_start(path: str, *, change_id: str = "", wait: bool = False) -> None:
    """Starts a planned shift; the moved traffic ramps up to its cap.

    Args:
        path: Path of the shift.
        change_id: Id that makes a resend safe; generated if not given.
        wait: Wait up to 30 s for the change to be in force on every VM that is
            not suspect.
    """
    _set_shift(path, "running", change_id, wait)


def shift_stop(path: str, *, change_id: str = "", wait: bool = False) -> None:
    """Stops a shift; traffic returns at once.

    Args:
        path: Path of the shift.
        change_id: Id that makes a resend safe; generated if not given.
        wait: Wait up to 30 s for the change to be in force on every VM that is
            not suspect.
    """
    _set_shift(path, "stopped", change_id, wait)


def _set_shift(path: str, state: str, change_id: str, wait: bool) -> None:
    change_id = change_id or client.new_change_id()
    request = operators.ShiftRequest(path, state, change_id)
    _post_change("shift", request, change_id, wait)


def shift_status(path: str = "/") -> None:
    """Shows shifts and their states.

    Args:
        path: Path of a shift, or of a subtree with shifts.
    """
    answer = asyncio.run(_client().get("tree", path=path))
    found = {
        name: node
        for name, node in answer["nodes"].items()
        if node["type"] == "shift"
    }
    lines = [
        f"{name}: {node.get('state', 'planned')}, {node['service']} from "
        f"{node['from']} to {node['to']}, at most {node['cap']:g}/s"
        for name, node in found.items()
    ]
    _print_result(found, "\n".join(lines))


def replica_list() -> None:
    """Lists the control replicas that the leader has on record."""
    answer = asyncio.run(_client().get("replicas"))
    lines = [f"{r['id']} {r['role']} {r['address']}" for r in answer]
    _print_result(answer, "\n".join(lines))


def replica_add(name: str, address: str) -> None:
    """Adds a VM with a data folder as a control replica.

    The replica starts as a learner: it receives the log and becomes a voter
    once it has caught up.

    Args:
        name: Name of the VM.
        address: Peer address of the VM, IP:PORT.
    """
    request = operators.ReplicaRequest(name, address)
    answer = asyncio.run(_client().post("replicas", request))
    _print_result(answer, f"{name} added as a learner; it votes once caught up")


def replica_remove(name: str) -> None:
    """Removes a control replica.

    Args:
        name: Name of the VM, or the replica id if the VM has two replicas.
    """
    request = operators.ReplicaRequest(name)
    answer = asyncio.run(_client().post("replicas", request))
    _print_result(answer, f"{name} removed")


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
            _print_result(merged.fields, merged.line)
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
    _print_result(
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
        raise UsageError(str(error)) from error
    broken = [str(violation) for violation in checker.violations]
    counts = ", ".join(f"{n} {k}" for k, n in sorted(checker.counts.items()))
    text = "\n".join([*broken, f"{len(broken)} broken; {counts}"])
    _print_result({"broken": broken, "records": checker.counts}, text)
    if broken:
        sys.exit(EXIT_CHECK_FAILED)


def _read_lines(file: str) -> list[str]:
    if file == "-":
        return sys.stdin.read().splitlines()
    try:
        text = pathlib.Path(file).read_text(errors="replace")
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from error
    return text.splitlines()


COMMANDS: dict[str, Any] = {
    "status": status,
    "get": get,
    "diff": diff,
    "check": check,
    "apply": apply,
    "key": {"issue": key_issue, "list": key_list, "withdraw": key_withdraw},
    "operator": {
        "issue": operator_issue,
        "list": operator_list,
        "withdraw": operator_withdraw,
    },
    "shift": {
        "start": shift_start,
        "status": shift_status,
        "stop": shift_stop,
    },
    "replica": {
        "list": replica_list,
        "add": replica_add,
        "remove": replica_remove,
    },
    "timeline": timeline,
    "explain": explain,
    "replay": replay,
}


def _parse_options(arguments: Sequence[str]) -> list[str]:
    """Sets `_options` from the command line and the environment.

    Returns:
        The other arguments.
    """
    parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    parser.add_argument(
        "--control", default=os.environ.get("POLLENSEAM_CONTROL", "")
    )
    parser.add_argument(
        "--token", default=os.environ.get("POLLENSEAM_TOKEN", "")
    )
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--tls", action="store_true")
    parsed, rest = parser.parse_known_args(list(arguments))
    _options.control = [part for part in parsed.control.split(",") if part]
    _options.token = parsed.token
    _options.as_json = parsed.json
    _options.tls = parsed.tls
    return rest


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the tool; its exit codes are listed in EPILOG."""
    given = sys.argv[1:] if arguments is None else arguments
    try:
        rest = _parse_options(given)
        defopt.run(
            COMMANDS,
            argv=rest,
            short={},
            no_negated_flags=True,
            argparse_kwargs={
                "prog": "pollenseam",
                "epilog": EPILOG,
            },
        )
    except UsageError as error:
        _exit(EXIT_USAGE, str(error))
    except errors.RefusedError as error:
        refusal = error.refusal
        code = errors.ANSWERS[refusal.kind].exit_code
        _exit(code, f"{refusal.kind.value}: {refusal.detail}")
    except errors.UnreachableError as error:
        _exit(EXIT_UNREACHABLE, f"{error}")


def _exit(code: int, message: str) -> None:
    print(f"pollenseam: {message}", file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    main()
