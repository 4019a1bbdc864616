"""Random requests, pipelined and in pieces: a server receives each as its client sent it, or the client gets a 4xx.

Guards against requests that run with another method, target, header or body than their client sent. Three injected
defects, one for each fault that has been found in this way of a request, check that such faults are detected.
"""

import asyncio
from dataclasses import dataclass

import httptools
import pytest
from configuration.test_parsing import route
from edge.stage import answer, running_harness
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from kestrelplank.edge import client_exchange
from kestrelplank.http.client_protocol import ClientProtocol
from kestrelplank.http.request_parser import RequestParser

ANSWER_TIMEOUT_S = 10
OK, BAD_REQUEST, NOT_FOUND = 200, 400, 404
ROUTED_PREFIX = "/safe/"
NO_BODY, WITH_LENGTH, CHUNKED = "no body", "with a length", "chunked"
HOSTS = [{"host_name": "shop.example", "host_routes": [route(ROUTED_PREFIX, "idempotent", timeout_s=60)]}]
SET_BY_THE_EDGE = ("x-target-instance", "x-deadline-remaining", "content-length")
URI_CHARACTERS = st.text("az09/?#%&=+.:;@~-_!$'()*,[]|\"\\^`{}<>", max_size=20)
TOKEN_CHARACTERS = st.text("azAZ09!#$%&'*+-.^_`|~", min_size=1, max_size=5)
VALUES = st.text([chr(code) for code in (*range(0x20, 0x7F), *range(0x80, 0x100), 9)], max_size=10)


@dataclass
class Request:
    """One client request. `framing`: of its body, whose parts are `chunks`."""

    method: str
    origin: str
    prefix: str
    rest_of_target: str
    headers: list[tuple[str, str]]
    upgrade: list[tuple[str, str]]
    framing: str
    chunks: list[bytes]
    trailers: list[tuple[str, str]]

    @property
    def body(self):
        return b"" if self.framing == NO_BODY else b"".join(self.chunks)

    def expected_status(self):
        if self.origin not in ORIGINS_OF_HOST:
            return BAD_REQUEST
        return OK if self.prefix == ROUTED_PREFIX else NOT_FOUND

    def expected_headers(self, name):
        kept = [(header.lower(), value.strip(" \t")) for header, value in self.headers]
        return [("host", "shop.example"), ("x-attempt-id", name), *kept]

    def encoded(self, name):
        head = [("Host", "shop.example"), ("X-Attempt-Id", name), *self.headers, *self.upgrade]
        body = self.body
        if self.framing == CHUNKED:
            head.append(("Transfer-Encoding", "chunked"))
            body = b"".join(b"%x;e=1\r\n%s\r\n" % (len(chunk), chunk) for chunk in self.chunks if chunk)
            body += b"0\r\n" + header_lines(self.trailers) + b"\r\n"
        elif self.framing == WITH_LENGTH:
            head.append(("Content-Length", str(len(body))))
        line = f"{self.method} {self.origin}{self.prefix}{self.rest_of_target} HTTP/1.1\r\n"
        return line.encode() + header_lines(head) + b"\r\n" + body


def header_lines(headers):
    return "".join(f"{name}: {value}\r\n" for name, value in headers).encode("latin-1")


ORIGINS_OF_HOST = ("", "http://shop.example", "HTTP://SHOP.example:80")
UPGRADES = [
    [],
    [("Connection", "Upgrade"), ("Upgrade", "h2c")],
    [("Upgrade", "websocket"), ("Connection", "keep-alive, UPGRADE")],
    [("Connection", "HTTP2-Settings, Upgrade"), ("HTTP2-Settings", "AAMAAABkAAQ"), ("Upgrade", "h2c")],
    [("Connection", "X-Named"), ("X-Named", "1"), ("Keep-Alive", "5"), ("TE", "trailers")],
]
TRAILER_NAMES = st.sampled_from(["Host", "X-Attempt-Id", "Authorization", "X-Shard-Key", "X-Sum", "Upgrade", "Expect"])
requests = st.builds(
    Request,
    method=st.sampled_from(["GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "QUERY"]),
    origin=st.sampled_from([*["", ""] * 2, *ORIGINS_OF_HOST, "http://pay.example", "http://shop.example:81"]),
    prefix=st.sampled_from([*[ROUTED_PREFIX] * 5, "/safe%2f", "/%73afe/", "/Safe/", "//safe/"]),
    rest_of_target=URI_CHARACTERS,
    headers=st.lists(st.tuples(TOKEN_CHARACTERS.map("X-F-{}".format), VALUES), max_size=3),
    upgrade=st.sampled_from(UPGRADES),
    framing=st.sampled_from([NO_BODY, WITH_LENGTH, CHUNKED, CHUNKED]),
    chunks=st.lists(st.binary(max_size=40), max_size=3),
    trailers=st.lists(
        st.tuples(TRAILER_NAMES, st.sampled_from(["nobody.example", "5", "Bearer k"])), min_size=1, max_size=2
    ),
)
# One connection: its requests, and the offsets at which their bytes are split.
connections = st.tuples(st.lists(requests, min_size=4, max_size=8), st.lists(st.integers(0, 3000), max_size=5))


async def record_requests(received, connection):
    """Read and answer all requests of a server's connection; store each one's parts by its `X-Attempt-Id`."""
    while True:
        head = (await connection.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *lines = head.split("\r\n")[:-2]
        headers = [tuple(text.split(": ", 1)) if ": " in text else (text[:-1], "") for text in lines]
        fields = dict(headers)
        body = await connection.reader.readexactly(int(fields.get("content-length", "0")))
        kept = [header for header in headers if header[0] not in SET_BY_THE_EDGE]
        received.append((fields["x-attempt-id"], (line, kept, body)))
        connection.write(answer(fields))


async def send_in_pieces(client, data, offsets):
    positions = sorted({0, len(data), *(offset for offset in offsets if offset < len(data))})
    for first, last in zip(positions, positions[1:]):
        client.writer.write(data[first:last])
        for _ in range(3):
            await asyncio.sleep(0)


async def statuses_of(client, count):
    """Return the statuses of the next answers, None for one that doesn't come in time."""
    statuses = []
    for _ in range(count):
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                whole = await client.answer()
        except TimeoutError:
            whole = None
        statuses.append(whole and whole[0])
        if whole is None:
            break
    return statuses


async def run_example(example):
    """Send the requests on one connection; return what differs from what was sent or is to be answered."""
    sent, offsets = example
    received = []

    async def script(server, connection):
        await record_requests(received, connection)

    async with running_harness(script) as harness:
        harness.configure(virtual_hosts=HOSTS)
        client = await harness.client()
        data = b"".join(request.encoded(f"r{number}") for number, request in enumerate(sent))
        await send_in_pieces(client, data, offsets)
        statuses = await statuses_of(client, len(sent))
    expected_statuses = [request.expected_status() for request in sent]
    violations = [] if statuses == expected_statuses else [f"answers {statuses}, expected {expected_statuses}"]
    expected = [
        (
            f"r{number}",
            (
                f"{request.method} {request.prefix}{request.rest_of_target} HTTP/1.1",
                request.expected_headers(f"r{number}"),
                request.body,
            ),
        )
        for number, request in enumerate(sent)
        if request.expected_status() == OK
    ]
    return violations if received == expected else [*violations, f"received {received}, expected {expected}"]


@settings(max_examples=60, suppress_health_check=[HealthCheck.too_slow], deadline=None)
@given(connections)
def test_servers_receive_requests_as_they_were_sent(example):
    assert asyncio.run(run_example(example)) == []


def keep_trailers(monkeypatch):
    """Defect: trailers are added to the headers."""
    on_headers_complete = ClientProtocol.on_headers_complete

    def with_headers_kept(self):
        headers = self.headers
        on_headers_complete(self)
        self.headers = headers

    monkeypatch.setattr(ClientProtocol, "on_headers_complete", with_headers_kept)


def leave_upgrades_to_httptools(monkeypatch):
    """Defect: a request for an upgrade ends with its head, and so does the connection's parsing."""
    monkeypatch.setattr(RequestParser, "should_upgrade", lambda self: False)
    monkeypatch.setattr(RequestParser, "feed_data", httptools.HttpRequestParser.feed_data)


def reassemble_targets(monkeypatch):
    """Defect: the target is put together from its parsed parts."""

    def reassembled(target, host):
        url = httptools.parse_url(target)
        return url.path + (b"?" + url.query if url.query else b"")

    monkeypatch.setattr(client_exchange, "origin_form", reassembled)


@pytest.mark.parametrize("inject", [keep_trailers, leave_upgrades_to_httptools, reassemble_targets])
def test_injected_defect_is_detected(inject, monkeypatch):
    """Generated examples must show the defect."""
    inject(monkeypatch)
    found = []

    @settings(max_examples=60, suppress_health_check=list(HealthCheck), phases=[Phase.generate], deadline=None)
    @given(connections)
    def search(example):
        if not found:
            found.extend(asyncio.run(run_example(example)))

    search()
    assert found
