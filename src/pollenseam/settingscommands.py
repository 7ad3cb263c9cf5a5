"""Commands of `pollenseam` that read and change the settings tree."""

import asyncio
import pathlib
import re
import sys
import tomllib
from typing import Any

import msgspec

from pollenseam import client
from pollenseam import commandline
from pollenseam import errors
from pollenseam import operators
from pollenseam import settings

WAIT_SECONDS = 30.0


def get(path: str = "/") -> None:
    """Prints the settings at a path, with a linearizable read.

    Args:
        path: Path in the settings tree.
    """
    answer = asyncio.run(commandline.create_client().get("tree", path=path))
    lines = [f"{path} version {answer['version']}"]
    for name, node in answer["nodes"].items():
        node = {k: v for k, v in node.items() if k != "type"}
        lines.append(f"{name} {msgspec.json.encode(node).decode()}")
    commandline.print_result(answer, "\n".join(lines))


def check(file: str, *, at: str = "/") -> None:
    """Checks a settings file without applying it.

    Args:
        file: Path of a TOML file.
        at: Path in the settings tree of the root of the file.
    """
    nodes = _load_settings(file, at)
    commandline.print_result(
        {"nodes": len(nodes)}, f"{file}: {len(nodes)} nodes, all valid"
    )


def diff(file: str, *, at: str = "/") -> None:
    """Shows the changes that applying a settings file would make.

    Args:
        file: Path of a TOML file.
        at: Path in the settings tree of the root of the file.
    """
    new = _load_settings(file, at)
    answer = asyncio.run(commandline.create_client().get("tree", path=at))
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
    commandline.print_result(
        {"version": answer["version"], "changes": lines},
        "\n".join(lines) or f"{at} is as in {file}",
    )


def _load_settings(file: str, at: str) -> settings.Nodes:
    try:
        document = tomllib.loads(pathlib.Path(file).read_text())
    except OSError as error:
        raise commandline.UsageError(f"{file}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise commandline.UsageError(f"{file}: {error}") from error
    parsed = settings.parse(document, at)
    if parsed.is_err():
        text = pathlib.Path(file).read_text()
        raise commandline.UsageError(
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
    post_change("apply", request, change_id, wait)


def post_change(
    endpoint: str, request: msgspec.Struct, change_id: str, wait: bool = False
) -> None:
    """Sends a change and prints the version that it led to.

    The change id is printed if the outcome is unknown, so that the change can
    be sent again.

    Args:
        endpoint: Path of the operators' interface.
        request: The change.
        change_id: Id of the change.
        wait: Whether to wait up to WAIT_SECONDS until it is in force.

    Raises:
        RefusedError: The change was refused.
        UnreachableError: No VM answered.
    """
    operator_client = commandline.create_client()

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
    commandline.print_result(answer, text)


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
    post_change("shift", request, change_id, wait)


def shift_status(path: str = "/") -> None:
    """Shows shifts and their states.

    Args:
        path: Path of a shift, or of a subtree with shifts.
    """
    answer = asyncio.run(commandline.create_client().get("tree", path=path))
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
    commandline.print_result(found, "\n".join(lines))
