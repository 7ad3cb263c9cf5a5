"""Flags of the daemon: validation, and defaults from the environment."""

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
    """Validated flags of one daemon.

    Attributes:
        vm: Name of this VM, unique in the fleet.
        region: Region of this VM.
        failure_domain: Failure domain of this VM.
        caller_address: IP:PORT to serve callers, upstreams and operators on.
        peer_address: IP:PORT to serve other VMs on.
        seeds: Peer addresses of VMs to join the fleet by.
        data_folder: Folder for durable state, or None; only a VM that has one
            can be a replica.
        initial_replicas: Replicas of a new fleet: peer addresses by VM name.
        tls_certificate: PEM file with the certificate chain of this VM, or
            None.
        tls_key: PEM file with the private key of this VM, or None.
        tls_authority: PEM file with the CA certificates that VMs trust, or
            None.
        log_file: File to append log events to; None for stderr.
        trace_file: File to record the inputs of decisions in, or None.
        insecure: Whether to serve without TLS on addresses other than
            loopback.
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
        """Whether TLS is configured."""
        return self.tls_certificate is not None

    def _check_combinations(self) -> None:
        tls = [self.tls_certificate, self.tls_key, self.tls_authority]
        if any(tls) and not all(tls):
            raise errors.FlagError(
                "--tls-certificate, --tls-key and --tls-authority must be "
                "given together"
            )
        if self.initial_replicas and self.data_folder is None:
            raise errors.FlagError("--initial-replicas needs --data-folder")
        own_address = self.initial_replicas.get(self.vm)
        if own_address is not None and own_address != self.peer_address:
            raise errors.FlagError(
                f"--initial-replicas: {self.vm} has address {own_address}, "
                f"but --peer-address is {self.peer_address}"
            )
        for address in (self.caller_address, self.peer_address):
            if self.has_tls or self.insecure or is_loopback(address):
                continue
            raise errors.FlagError(
                f"{address} is not a loopback address: pass --tls-certificate, "
                "--tls-key and --tls-authority, or --insecure"
            )


def check_name(flag: str, value: str) -> str:
    """Returns `value` if it is a valid name.

    Args:
        flag: Name of the flag, for the error message.
        value: Value of the flag.

    Raises:
        FlagError: `value` is not a valid name.
    """
    if not NAME_PATTERN.fullmatch(value):
        raise errors.FlagError(
            f"--{flag}: {value!r} is not a valid name: use 1 to 63 lower-case "
            "letters, digits, dots and dashes"
        )
    return value


def check_address(flag: str, value: str) -> str:
    """Returns `value` if it is a valid IP:PORT.

    Args:
        flag: Name of the flag, for the error message.
        value: Value of the flag.

    Raises:
        FlagError: `value` is not a valid IP:PORT.
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
    """Returns whether an IP:PORT has a loopback address."""
    host = address.rpartition(":")[0].strip("[]")
    return ipaddress.ip_address(host).is_loopback


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of a valid IP:PORT."""
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
    """Returns command-line arguments for flags set in the environment.

    They are meant to precede the real arguments, which then override them.

    Args:
        names: Names of the flags, without "--".
        environment: Environment variables, by name.
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
    """Returns the value of a secret and removes it from the environment.

    Args:
        name: Name of the variable, without the prefix POLLENSEAM_.

    Returns:
        The secret; "" if the variable is not set.
    """
    return os.environ.pop(ENVIRONMENT_PREFIX + name, "")
