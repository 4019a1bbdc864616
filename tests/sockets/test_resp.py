import pytest
from assigner.assigner_parties import NODE_REPORT

from kestrelplank.decode import MalformedError
from kestrelplank.sockets import resp


@pytest.mark.parametrize("chunk_size", [1, 2, 7, 10_000])
def test_messages_are_parsed_from_chunks_of_any_size(chunk_size):
    parser, data = resp.Parser(), resp.encode(b"hb") + resp.encode(*NODE_REPORT) + resp.encode(b"x", b"a\r\nb", b"")
    messages = [
        message
        for offset in range(0, len(data), chunk_size)
        for message in parser.feed(data[offset : offset + chunk_size])
    ]
    assert messages == [[b"hb"], list(NODE_REPORT), [b"x", b"a\r\nb", b""]]


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*-1\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n:5\r\n",
        b"*99999999999\r\n",
        b"*1025\r\n",
        b"*1\r\n$1048577\r\n",
        b"*2\r\n$700000\r\n" + b"x" * 700_000 + b"\r\n$700000\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"\x00" * 40,
        b"*1x\r\n",
        b"*" + b"1" * 30,
    ],
)
def test_invalid_and_oversized_input_is_rejected(data):
    with pytest.raises(MalformedError):
        list(resp.Parser().feed(data))
