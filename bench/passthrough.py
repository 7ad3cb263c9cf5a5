"""A minimal reverse proxy, the baseline of bench.hop.

Uses aiohttp, as the daemon does.
"""

import asyncio
import sys

import aiohttp
import multidict
from aiohttp import web

DROPPED_HEADERS = ("Host", "Content-Length", "Transfer-Encoding")


async def serve(port: int, upstream: str) -> None:
    """Forwards every request to one upstream, without further processing.

    Args:
        port: Port to listen on, on 127.0.0.1.
        upstream: HOST:PORT of the upstream.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
    )

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read() if request.can_read_body else None
        headers = multidict.CIMultiDict(request.headers)
        async with session.request(
            request.method,
            f"http://{upstream}{request.raw_path}",
            headers=headers,
            data=body,
            allow_redirects=False,
        ) as response:
            response_body = await response.read()
            response_headers = multidict.CIMultiDict(response.headers)
            for name in DROPPED_HEADERS:
                response_headers.popall(name, None)
            return web.Response(
                status=response.status,
                headers=response_headers,
                body=response_body,
            )

    server = web.Server(handle, access_log=None)
    loop = asyncio.get_running_loop()
    await loop.create_server(server, "127.0.0.1", port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2]))
