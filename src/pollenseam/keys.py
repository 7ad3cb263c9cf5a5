"""Secrets of callers, upstreams and operators; only digests are stored."""

import hashlib
import hmac
import secrets

ID_BYTES = 6
SECRET_BYTES = 24
MAX_SECRET_CHARACTERS = 200
PREFIX = "ps"


class Secret:
    """A secret: a key or a token.

    Attributes:
        id: Public identifier, which may be logged.
        text: The complete secret as its owner sends it, `ps_ID_SECRET`.
    """

    __slots__ = ("id", "text")

    def __init__(self, id: str, text: str) -> None:
        self.id = id
        self.text = text

    @property
    def digest(self) -> str:
        """Hex SHA-256 of `text`."""
        return digest(self.text)


def generate() -> Secret:
    """Returns a new secret from the random source of the system."""
    id = secrets.token_hex(ID_BYTES)
    return Secret(id, f"{PREFIX}_{id}_{secrets.token_hex(SECRET_BYTES)}")


def parse(text: str) -> Secret | None:
    """Returns the parsed secret, or None if `text` is malformed."""
    if len(text) > MAX_SECRET_CHARACTERS or not text.isascii():
        return None
    parts = text.split("_")
    if len(parts) != 3 or parts[0] != PREFIX or not parts[1] or not parts[2]:
        return None
    return Secret(parts[1], text)


def digest(text: str) -> str:
    """Returns the hex SHA-256 of a secret."""
    return hashlib.sha256(text.encode()).hexdigest()


def matches(text: str, expected: str) -> bool:
    """Returns whether a secret has a digest; compares in constant time."""
    return are_equal(digest(text), expected)


def are_equal(one: str, other: str) -> bool:
    """Returns whether two digests are equal, in constant time.

    `hmac.compare_digest` raises for texts that are not ASCII.
    """
    return hmac.compare_digest(one.encode(), other.encode())


def parse_bearer(authorization: str | None) -> str | None:
    """Returns the token of a Bearer credential (RFC 6750, section 2.1).

    The result is None if there is no such credential.
    """
    if authorization is None:
        return None
    scheme, _, token = authorization.partition(" ")
    token = token.strip()
    if scheme.lower() != "bearer" or not token:
        return None
    return token
