"""Reading of complete request bodies."""

import io

from aiohttp import web

from pollenseam import connections
from pollenseam import errors


async def read(request: web.BaseRequest, max_bytes: int) -> bytes:
    """Returns the complete body of a request.

    Args:
        request: The request.
        max_bytes: Largest size that is accepted.

    Raises:
        RefusedError: The body is larger than `max_bytes`, or the process has
            no room for it.
    """
    if not request.can_read_body:
        return b""
    connection = request.protocol
    assert isinstance(connection, connections.Connection)
    # Its value is taken over without a copy. It is closed in any case, as an
    # error's traceback may keep it for longer.
    with io.BytesIO() as body:
        async with connection.receiving():
            async for chunk in request.content.iter_any():
                connection.body_bytes += body.write(chunk)
                if connection.body_bytes > max_bytes:
                    connection.body_bytes = 0
                    raise errors.refuse(
                        errors.Kind.BODY_TOO_LARGE,
                        f"request body exceeds {max_bytes} bytes",
                    )
        return body.getvalue()
