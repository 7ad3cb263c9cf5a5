"""Headers of the platform's upstreams."""

import gateway
import multidict
import pytest

from pollenseam import calls

ID = "9c41d07be2a35f68"


class Response:

    def __init__(self, status, **headers):
        self.status = status
        named = {name.replace("_", "-"): v for name, v in headers.items()}
        self.headers = multidict.CIMultiDictProxy(
            multidict.CIMultiDict({"X-Request-Id": ID} | named)
        )


def read_head(response):
    headers = multidict.CIMultiDict()
    call = calls.Call(
        ID, "GET", "/a/", "h", "/a/", headers, b"", None, None, 9.0, 0.0
    )
    return gateway.PlatformProtocol().read_head(call, response)


def read_load(text):
    head = read_head(Response(200, X_Reply_Stamp="s", X_Server_Load=text))
    return head.running, head.waiting, head.pace


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0", (3, 0, None)),
        ("3,0,8", (3, 0, None)),
        ("3,0,8,100", (3, 0, 1.0)),
        (" 3 , 2 , 8 , 250 ", (3, 2, 2.5)),
        ("3,0,8,0", (3, 0, 0.0)),
    ],
)
def test_a_load_header_states_requests_and_pace(text, load):
    assert read_load(text) == load


@pytest.mark.parametrize(
    "text",
    [
        "",
        "3",
        "-1,0",
        "3,x",
        "3,0,x",
        "3,0,8,x",
        "3,0,8,",
        "3,0,8,-5",
        "3,0,8,1e3",
        "3,0,8,100,7",
        "3,0,8,9999999999",
        "\u0663,0",
    ],
)
def test_an_odd_load_header_counts_as_none(text):
    assert read_load(text) == (-1, 0, None)
