"""A server receives the request that the client sent: its target, headers and body, and nothing in place of them."""

import asyncio

import pytest
from edge.stage import answer, run_scenario

HEADERS = ["Host: shop.example", "X-Attempt-Id: me", "X-Deadline-Remaining: 2000"]
CHUNKED = "3\r\nabc\r\n0\r\n\r\n"


def request(target, headers=HEADERS, body="", method="POST"):
    """Return a request's bytes."""
    return "\r\n".join([f"{method} {target} HTTP/1.1", *headers, "", body]).encode()


def chunked_request(*trailers):
    """Return a request with a chunked body and trailers."""
    return request(
        "/safe/x",
        [*HEADERS, "Transfer-Encoding: chunked"],
        CHUNKED[:-2] + "".join(f"{line}\r\n" for line in (*trailers, "")),
    )


def run_on_one_connection(data, answers=1, pieces=1):
    """Send the data on one connection; return the answers' statuses and the requests that the server received.

    :param pieces: into how many parts the data is split; the edge may read each on its own.
    :returns: statuses (None: the connection ended), and each request's first line, headers and body.
    """
    received = []

    async def script(server, connection):
        while True:
            line, fields = await connection.head()
            body = await connection._read(int(fields.get("content-length", "0")))
            received.append((line, fields, body))
            connection.write(answer(fields))

    async def scenario(harness):
        client = await harness.client()
        size = -(-len(data) // pieces)
        for position in range(0, len(data), size):
            client.writer.write(data[position : position + size])
            await client.writer.drain()
            for _ in range(3):
                await asyncio.sleep(0)
        whole = [await client.answer() for _ in range(answers)]
        return [one and one[0] for one in whole], received

    return run_scenario(scenario, script)


# Guards against trailers that choose route, tenant or id, as they were taken for headers of the request.
@pytest.mark.parametrize("pieces", [1, 2, 20])
@pytest.mark.parametrize(
    "trailer",
    ["Host: nobody.example", "X-Attempt-Id: two", "X-Shard-Key: 5", "Authorization: Bearer k", "X-Tenant-Name: own"],
)
def test_trailers_are_dropped(trailer, pieces):
    statuses, [(line, fields, body)] = run_on_one_connection(chunked_request(trailer), pieces=pieces)
    assert statuses == [200] and (line, body) == ("POST /safe/x HTTP/1.1", b"abc")
    assert set(fields) == {"host", "x-attempt-id", "x-deadline-remaining", "x-target-instance", "content-length"}
    assert (fields["host"], fields["x-attempt-id"]) == ("shop.example", "me")


# Guards against a next request that is never answered: the parser ignores what follows `Connection: close` in a trailer.
def test_a_connection_ends_after_the_answer_if_a_trailer_says_so():
    data = chunked_request("Connection: close") + request("/safe/y", method="GET")
    statuses, received = run_on_one_connection(data, answers=2)
    assert statuses == [200, None] and len(received) == 1


# Guards against trailers that have an effect beyond their request.
@pytest.mark.parametrize("trailers", [["Connection: Upgrade", "Upgrade: h2c"], ["Expect: 100-continue"]])
def test_a_connection_goes_on_after_trailers(trailers):
    data = chunked_request(*trailers) + request("/safe/y", method="GET")
    statuses, received = run_on_one_connection(data, answers=2)
    assert statuses == [200, 200]
    assert [line for line, _, _ in received] == ["POST /safe/x HTTP/1.1", "GET /safe/y HTTP/1.1"]


UPGRADES = [
    ["Connection: Upgrade", "Upgrade: h2c"],
    [
        "Connection: Upgrade, HTTP2-Settings",
        "Upgrade: h2c",
        "HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA",
    ],  # as curl sends
    ["Upgrade: websocket", "Connection: keep-alive, upgrade", "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ=="],
]


# Guards against requests for an upgrade that lose their body and leave the connection's next request without an answer.
@pytest.mark.parametrize("pieces", [1, 2, 50])
@pytest.mark.parametrize("upgrade", UPGRADES)
@pytest.mark.parametrize(
    "framing, sent_body, body",
    [([], "", b""), (["Content-Length: 3"], "abc", b"abc"), (["Transfer-Encoding: chunked"], CHUNKED, b"abc")],
)
def test_a_request_for_an_upgrade_is_served_without_it(upgrade, framing, sent_body, body, pieces):
    data = request("/safe/x", [*HEADERS, *upgrade, *framing], sent_body, "PUT")
    following = request("/safe/y", [*HEADERS, "Content-Length: 2"], "zz")
    statuses, received = run_on_one_connection(data + following, answers=2, pieces=pieces)
    assert statuses == [200, 200]
    lines_and_bodies = [(line, body) for line, _, body in received]
    assert lines_and_bodies == [("PUT /safe/x HTTP/1.1", body), ("POST /safe/y HTTP/1.1", b"zz")]
    assert not {"upgrade", "connection"} & set(received[0][1])


# Guards against a parser that takes the end of such a connection for the end of its first request.
@pytest.mark.parametrize("ends", [["Connection: close, Upgrade"], ["Connection: Upgrade", "Connection: close"]])
def test_a_request_for_an_upgrade_on_a_connection_that_ends_is_served(ends):
    data = request("/safe/x", [*HEADERS, "Upgrade: h2c", *ends, "Content-Length: 3"], "abc")
    statuses, [(_, _, body)] = run_on_one_connection(data, answers=2)
    assert (statuses, body) == ([200, None], b"abc")
    statuses, [(_, _, body)] = run_on_one_connection(data.replace(b"HTTP/1.1", b"HTTP/1.0"), answers=2)
    assert (statuses, body) == ([200, None], b"abc")


# Guards against a parser that tries for ever: CONNECT asks for a tunnel, which nothing can make a plain request.
@pytest.mark.parametrize("target", ["shop.example:80", "shop.example"])
def test_connect_is_answered_400_and_not_run(target):
    assert run_on_one_connection(request(target, method="CONNECT")) == ([400], [])


# Guards against recursion or a cost that grows with the square of the requests in one read.
def test_many_pipelined_requests_for_an_upgrade_are_each_answered():
    data = request("/safe/x", [*HEADERS, *UPGRADES[0]], method="GET") * 300
    statuses, received = run_on_one_connection(data, answers=300)
    assert statuses == [200] * 300 and len(received) == 300


# Guards against a target that names one host and runs by the routes of another.
@pytest.mark.parametrize(
    "target", ["http://pay.example/safe/x", "http://me@shop.example/safe/x", "ftp://shop.example/safe/x"]
)
def test_an_absolute_target_with_another_authority_than_host_is_answered_400(target):
    assert run_on_one_connection(request(target)) == ([400], [])


# Guards against 400, 404 and 502 for a request with blanks behind a value, which are no part of it (RFC 9110, 5.5).
@pytest.mark.parametrize("blanks", [" ", "\t", " \t  "])
@pytest.mark.parametrize("number", range(len(HEADERS) + 1))
def test_blanks_behind_a_header_value_are_not_part_of_it(blanks, number):
    headers = [*HEADERS, "X-Own: a  b"]
    headers[number] += blanks
    statuses, [(_, fields, _)] = run_on_one_connection(request("/safe/x", headers))
    assert statuses == [200] and fields["x-own"] == "a  b" and fields["x-attempt-id"] == "me"


# Guards against a body that a server gets in a coding of which it is not told.
@pytest.mark.parametrize("codings", [["gzip, chunked"], ["gzip", "chunked"], ["Chunked;q=1"]])
def test_a_body_in_another_transfer_coding_than_chunked_is_answered_400(codings):
    headers = [*HEADERS, *(f"Transfer-Encoding: {coding}" for coding in codings)]
    assert run_on_one_connection(request("/safe/x", headers, CHUNKED)) == ([400], [])


def test_the_name_of_the_transfer_coding_is_taken_in_any_case():
    statuses, [(_, _, body)] = run_on_one_connection(
        request("/safe/x", [*HEADERS, "Transfer-Encoding: CHUNKED"], CHUNKED)
    )
    assert (statuses, body) == ([200], b"abc")
