"""Fingerprints of requests: the same for the same request at any VM."""

import hashlib

FINGERPRINT_BYTES = 16


def fingerprint(
    method: str, host: str, target: str, workspace: str, body: bytes
) -> bytes:
    """Returns the fingerprint of a request; its id does not count.

    Args:
        method: HTTP method.
        host: Host header.
        target: Path and query.
        workspace: Workspace of the caller's key, or "".
        body: Complete body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method, host, target, workspace):
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.digest()
