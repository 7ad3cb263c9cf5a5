"""The daemon's settings: flags, their environment variables and checks."""

import ipaddress
import os
import pathlib
import re
from collections.abc import Mapping
from collections.abc import Sequence

from pollenseam import errors

ENVIRONMENT_PREFIX = "POLLENSEAM_"
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")


class Flags:
    """Checked settings of one daemon.

    Attributes:
        vm: Name of this VM, unique in the fleet.
        region: Region it stands in.
        failure_domain: Failure domain it stands in.
        caller_address: IP:PORT for callers, upstreams and operators.
        peer_address: IP:PORT for the system's other processes.
        seeds: Peer addresses to join by.
        data_folder: Folder for durable state; makes it a possible replica.
        initial_replicas: Replicas of a new fleet, peer address by VM name.
        tls_certificate: PEM file of this VM's certificate chain.
        tls_key: PEM file of its key.
        tls_authority: PEM file of the authority of peers.
        log_file: File for events, or None for stderr.
        trace_file: File for recorded inputs, or None.
        insecure: Whether to serve without TLS beyond loopback.
    """

    __slots__ = (
        "vm",
        "region",
        "failure_domain",
        "caller_address",
        "peer_address",
        "seeds",
        "data_folder",
        "initial_replicas",
        "tls_certificate",
        "tls_key",
        "tls_authority",
        "log_file",
        "trace_file",
        "insecure",
    )

    def __init__(
        self,
        vm: str,
        region: str,
        failure_domain: str,
        caller_address: str,
        peer_address: str,
        seeds: str = "",
        data_folder: str = "",
        initial_replicas: str = "",
        tls_certificate: str = "",
        tls_key: str = "",
        tls_authority: str = "",
        log_file: str = "",
        trace_file: str = "",
        insecure: bool = False,
    ) -> None:
        self.vm = check_name("vm", vm)
        self.region = check_name("region", region)
        self.failure_domain = check_name("failure-domain", failure_domain)
        self.caller_address = check_address("caller-address", caller_address)
        self.peer_address = check_address("peer-address", peer_address)
        self.seeds = [check_address("seeds", s) for s in _split(seeds)]
        self.data_folder = pathlib.Path(data_folder) if data_folder else None
        self.initial_replicas = _parse_replicas(initial_replicas)
        self.tls_certificate = _check_file("tls-certificate", tls_certificate)
        self.tls_key = _check_file("tls-key", tls_key)
        self.tls_authority = _check_file("tls-authority", tls_authority)
        self.log_file = log_file or None
        self.trace_file = trace_file or None
        self.insecure = insecure
        self._check_combinations()

    @property
    def has_tls(self) -> bool:
        """Whether TLS is set up."""
        return self.tls_certificate is not None

    def _check_combinations(self) -> None:
        tls = [self.tls_certificate, self.tls_key, self.tls_authority]
        if any(tls) and not all(tls):
            raise errors.FlagError(
                "--tls-certificate, --tls-key and --tls-authority go together"
            )
        if self.initial_replicas and self.data_folder is None:
            raise errors.FlagError("--initial-replicas needs --data-folder")
        own = self.initial_replicas.get(self.vm)
        if own is not None and own != self.peer_address:
            raise errors.FlagError(
                f"--initial-replicas: {self.vm} is at {own} there, "
                f"but --peer-address is {self.peer_address}"
            )
        for address in (self.caller_address, self.peer_address):
            if self.has_tls or self.insecure or is_loopback(address):
                continue
            raise errors.FlagError(
                f"{address} is not loopback: give --tls-certificate, "
                "--tls-key and --tls-authority, or --insecure"
            )


def check_name(flag: str, value: str) -> str:
    """Returns a valid name.

    Raises:
        FlagError: It is none.
    """
    if not NAME_PATTERN.fullmatch(value):
        raise errors.FlagError(
            f"--{flag}: {value!r} is no name: lower-case letters, digits, "
            "dots and dashes, at most 63"
        )
    return value


def check_address(flag: str, value: str) -> str:
    """Returns a valid IP:PORT.

    Raises:
        FlagError: It is none.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        raise errors.FlagError(f"--{flag}: {value!r} is not IP:PORT")
    return value


def is_loopback(address: str) -> bool:
    """Tells whether an IP:PORT is on the loopback interface."""
    host = address.rpartition(":")[0].strip("[]")
    return ipaddress.ip_address(host).is_loopback


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of a checked IP:PORT."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _split(value: str) -> list[str]:
    return [part.strip() for part in value.split(",") if part.strip()]


def _parse_replicas(value: str) -> dict[str, str]:
    replicas: dict[str, str] = {}
    for part in _split(value):
        name, equals, address = part.partition("=")
        if not equals:
            raise errors.FlagError(
                f"--initial-replicas: {part!r} is not NAME=IP:PORT"
            )
        check_name("initial-replicas", name)
        replicas[name] = check_address("initial-replicas", address)
    return replicas


def _check_file(flag: str, value: str) -> pathlib.Path | None:
    if not value:
        return None
    path = pathlib.Path(value)
    if not path.is_file():
        raise errors.FlagError(f"--{flag}: {value} is not a file")
    return path


def environment_arguments(
    names: Sequence[str], environment: Mapping[str, str]
) -> list[str]:
    """Returns flags set by environment variables, as arguments.

    They go before the real arguments, which then override them.
    """
    arguments: list[str] = []
    for name in names:
        variable = ENVIRONMENT_PREFIX + name.upper().replace("-", "_")
        value = environment.get(variable)
        if value is None or value == "":
            continue
        if name == "insecure":
            if value.lower() in ("1", "true", "yes"):
                arguments.append("--insecure")
            continue
        arguments += [f"--{name}", value]
    return arguments


def pop_secret(name: str) -> str:
    """Returns a secret's variable and takes it out of the environment."""
    return os.environ.pop(ENVIRONMENT_PREFIX + name, "")
