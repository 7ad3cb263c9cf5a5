"""Request targets (RFC 9112, section 3.2)."""

import urllib.parse

import yarl

from pollenseam import errors


def decode_path(target: str) -> str:
    """Returns the decoded path of a request target.

    Dot segments are refused: an upstream that resolves them would serve
    another path than the one that was matched to a route.

    Raises:
        RefusedError: The target is not in origin form (RFC 9112, section
            3.2.1), or its path has dot segments.
    """
    if not target.startswith("/"):
        raise errors.refuse(
            errors.Kind.MALFORMED, "the request target must begin with '/'"
        )
    path = target.partition("?")[0].partition("#")[0]
    if "%" in path:
        path = urllib.parse.unquote(path, errors="replace")
    if "/." in path or "\\" in path:
        segments = path.replace("\\", "/").split("/")
        if "." in segments or ".." in segments:
            raise errors.refuse(
                errors.Kind.MALFORMED, "the path contains dot segments"
            )
    return path


def url(address: str, target: str) -> yarl.URL:
    """Returns the URL that makes the HTTP client send exactly `target`.

    The whole target stands in the path: a query or a fragment of its own that
    is empty would be dropped with its delimiter.

    Args:
        address: IP:PORT of the upstream.
        target: Request target in origin form.

    Raises:
        ValueError: The address has no port.
    """
    host, _, port = address.rpartition(":")
    return yarl.URL.build(
        scheme="http",
        host=host,
        port=int(port),
        path=target,
        encoded=True,
    )
