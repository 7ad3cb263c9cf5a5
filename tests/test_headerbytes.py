"""Heads whose bytes are not UTF-8."""

import asyncio

import gateway
import multidict
import pytest
import scripted
import test_rogue_upstreams

from pollenseam import headerbytes
from pollenseam import httpserver
from pollenseam.standins import fleet

ODD = b"caf\xe9 \xff\xc3\xa9!"
REPLY = scripted.answer("200 OK", "X-Request-Id: q1", "X-Reply-Stamp: s")


async def test_bytes_that_are_not_utf_8_are_passed_on_both_ways():
    """Guards against bytes that are left out: `caf` for `caf` and 0xE9."""
    reply = REPLY.replace(
        b"X-Reply-Stamp: s", b"X-Reply-Stamp: s\r\nX-B: " + ODD
    )
    upstream = scripted.ScriptedUpstream([reply])
    await upstream.listen()
    entry_vm = test_rogue_upstreams.make_entry_vm(upstream.address)
    server = httpserver.HttpServer(
        gateway.Gateway(entry_vm).handle, 10.0, 8192, 100
    )
    port = fleet.free_port()
    await server.listen("127.0.0.1", port)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        b"GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\n"
        b"Authorization: Bearer k1\r\nX-A: " + ODD + b"\r\n\r\n"
    )
    head = await reader.readuntil(b"\r\n\r\n")
    [received] = upstream.requests
    assert b"X-A: " + ODD + b"\r\n" in received
    assert head.startswith(b"HTTP/1.1 200 ")
    assert b"X-B: " + ODD + b"\r\n" in head
    writer.close()
    server.stop_accepting()
    await server.close(0)
    await entry_vm.dispatcher.close()
    upstream.close()


@pytest.mark.parametrize("end", ["\r", "\n", "\0"])
def test_a_line_that_would_end_early_is_no_head(end):
    """Guards against heads smuggled in a value that is not ASCII."""
    with pytest.raises(ValueError):
        headerbytes.serialize(
            "GET / HTTP/1.1",
            multidict.CIMultiDict({"X-A": f"\udce9{end}X-B: 1"}),
        )
