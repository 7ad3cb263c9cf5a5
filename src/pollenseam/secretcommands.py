"""Commands of `pollenseam` for callers' keys and operators' tokens."""

import asyncio
import sys

from pollenseam import client
from pollenseam import commandline
from pollenseam import errors
from pollenseam import flags
from pollenseam import keys
from pollenseam import operators
from pollenseam import settingscommands


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
        raise commandline.UsageError("POLLENSEAM_SECRET is not a key")
    change_id = change_id or client.new_change_id()
    request = operators.IssueRequest(path, secret.id, secret.digest, change_id)
    try:
        answer = asyncio.run(
            commandline.create_client().post(endpoint, request)
        )
    except errors.PollenseamError:
        print(f"change id: {change_id}\nkey: {secret.text}", file=sys.stderr)
        raise
    answer |= {"id": secret.id, "secret": secret.text, "change_id": change_id}
    commandline.print_result(answer, secret.text)


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
    answer = asyncio.run(commandline.create_client().get("tree", path=path))
    found = {
        name.rpartition("/")[2]: node.get("subtree")
        or name.rpartition("/keys/")[0]
        for name, node in answer["nodes"].items()
        if node["type"] == type_
    }
    text = "\n".join(f"{id} {scope}" for id, scope in found.items())
    commandline.print_result(found, text)


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
    settingscommands.post_change(endpoint, request, change_id, wait)
