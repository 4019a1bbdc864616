"""Fuzzes both HTTP sides of the reference proxy with atheris; the tests do the same with hypothesis.

    python benchmarks/fuzz_relay.py -max_total_time=60      # with the extras test and fuzz

The first byte sets where a valid request is cut, the second how many of the bytes the client sends; the rest is the
node's response. A run ends at any exception in the event loop, and when an op does not end exactly once or anything is
still open after it.
"""

import sys
from pathlib import Path

import atheris

sys.path[:0] = [
    str(Path(__file__).parents[1]),
    str(Path(__file__).parents[1] / "tests"),
    str(Path(__file__).parents[1] / "tests" / "reference_proxy"),
]

with atheris.instrument_imports(include=["kestrelplank.reference_proxy", "kestrelplank.load_balancing", "httptools"]):
    from test_proxy import GET, MS, OK, Site


def fuzz_one_input(data: bytes) -> None:
    if len(data) < 2:
        return
    split = 2 + data[1] * (len(data) - 2) // 255
    sent, reply = data[2:split], data[split:]
    site = Site(
        lambda peer: peer.closed_because or peer.write(reply) or peer.connection.close("end"),
        hold=0,
        timeouts=(30 * MS,) * 3,
    )
    client = site.client()
    client.send(GET[: data[0] % len(GET)] + sent)
    site.pass_time(2 * MS)
    client.close()
    site.wait(lambda: not site.proxy.clients.connections and not site.proxy.exchanges)
    counts = site.attempts.counts
    assert counts["asked"] == sum(counts[word] for word in ("acked", "rejected", "aborted")) == len(site.ops)
    site.close()


if __name__ == "__main__":
    atheris.Setup([*sys.argv, "-max_len=600"], fuzz_one_input)
    for seed in (GET + OK,):
        fuzz_one_input(b"\x00\x80" + seed)
    atheris.Fuzz()
