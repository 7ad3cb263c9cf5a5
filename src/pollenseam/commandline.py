"""What all commands of the tool `pollenseam` share: options and output."""

from typing import Any

import msgspec

from pollenseam import client
from pollenseam import errors
from pollenseam import flags


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


options = Options("", "", False, False)


def create_client() -> client.Client:
    """Returns a client for the VMs that the options name.

    Raises:
        UsageError: An option is missing or invalid.
    """
    if not options.control:
        raise UsageError("give --control IP:PORT or POLLENSEAM_CONTROL")
    if not options.token:
        raise UsageError("give --token or POLLENSEAM_TOKEN")
    try:
        addresses = [
            flags.check_address("control", address)
            for address in options.control
        ]
    except errors.FlagError as error:
        raise UsageError(str(error)) from error
    scheme = "https" if options.tls else "http"
    return client.Client(addresses, options.token, scheme)


def print_result(answer: Any, text: str) -> None:
    """Prints a result: as JSON if the options say so, else as text."""
    print(msgspec.json.encode(answer).decode() if options.as_json else text)
