"""The command-line tool `pollenseam`."""

import argparse
import os
import sys
from collections.abc import Sequence
from typing import Any

import defopt

from pollenseam import commandline
from pollenseam import errors
from pollenseam import fleetcommands
from pollenseam import logcommands
from pollenseam import secretcommands
from pollenseam import settingscommands
from pollenseam import wherecommands

EXIT_USAGE = 2
EXIT_UNREACHABLE = 5
EPILOG = """
Options of every command: --control IP:PORT,... (or POLLENSEAM_CONTROL) are
the caller addresses of VMs to send requests to; --token TOKEN (or
POLLENSEAM_TOKEN) is the operator's token; --json prints JSON; --tls uses HTTPS.
Exit codes: 0 success; 1 a check failed or nothing was found; 2 usage or bad
file; 3 conflict; 4 not permitted; 5 unreachable or outcome unknown (resending
with the same change id is safe).
"""


COMMANDS: dict[str, Any] = {
    "status": fleetcommands.status,
    "get": settingscommands.get,
    "diff": settingscommands.diff,
    "check": settingscommands.check,
    "apply": settingscommands.apply,
    "key": {
        "issue": secretcommands.key_issue,
        "list": secretcommands.key_list,
        "withdraw": secretcommands.key_withdraw,
    },
    "operator": {
        "issue": secretcommands.operator_issue,
        "list": secretcommands.operator_list,
        "withdraw": secretcommands.operator_withdraw,
    },
    "shift": {
        "start": settingscommands.shift_start,
        "status": settingscommands.shift_status,
        "stop": settingscommands.shift_stop,
    },
    "replica": {
        "list": fleetcommands.replica_list,
        "add": fleetcommands.replica_add,
        "remove": fleetcommands.replica_remove,
    },
    "where": wherecommands.where,
    "timeline": logcommands.timeline,
    "explain": logcommands.explain,
    "replay": logcommands.replay,
}


def _parse_options(arguments: Sequence[str]) -> list[str]:
    """Sets `commandline.options` from the command line and the environment.

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
    commandline.options.control = [
        part for part in parsed.control.split(",") if part
    ]
    commandline.options.token = parsed.token
    commandline.options.as_json = parsed.json
    commandline.options.tls = parsed.tls
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
    except commandline.UsageError as error:
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
