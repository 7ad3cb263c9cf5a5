"""The little of HTTP/1.1 that the stand-ins of the cases need."""

import asyncio


class Head:
    """Start line and headers of a message.

    Attributes:
        words: The words of the start line.
        headers: Values by name in lower case; the last one counts.
    """

    def __init__(self, words, headers):
        self.words = words
        self.headers = headers


async def read_head(reader):
    """Reads the head of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(first.split(" ", 2), headers)


async def read_body(reader, head):
    """Reads a body that has a length or comes in chunks."""
    if "chunked" in head.headers.get("transfer-encoding", ""):
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        return b"".join(parts)
    return await reader.readexactly(int(head.headers.get("content-length", 0)))


async def call(ip, port, data, seconds):
    """Sends one request on a connection of its own.

    Returns:
        Status, headers and body of the answer.
    """
    async with asyncio.timeout(min(1.0, seconds)):
        reader, writer = await asyncio.open_connection(ip, port)
    try:
        async with asyncio.timeout(seconds):
            writer.write(data)
            head = await read_head(reader)
            body = await read_body(reader, head)
        return int(head.words[1]), head.headers, body
    finally:
        writer.close()
