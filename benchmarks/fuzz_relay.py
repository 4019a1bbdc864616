"""Fuzzes both HTTP sides of the reference relay with atheris, by hand; the tests do the same with hypothesis.

    python benchmarks/fuzz_relay.py -max_total_time=60      # with the extras test and fuzz

The first byte says where to cut, the second how much is the client's; the rest goes to the proxy as a client's bytes
and as a node's answer. Whatever raises in the loop ends the run, as does an op without exactly one end, or anything
held after it.
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


def one(data: bytes) -> None:
    if len(data) < 2:
        return
    cut = 2 + data[1] * (len(data) - 2) // 255
    sent, reply = data[2:cut], data[cut:]
    here = Site(
        lambda peer: peer.gone or peer.write(reply) or peer.connection.close("end"), hold=0, timeouts=(30 * MS,) * 3
    )
    client = here.client()
    client.send(GET[: data[0] % len(GET)] + sent)
    here.pass_time(2 * MS)
    client.close()
    here.wait(lambda: not here.proxy.clients.connections and not here.proxy.exchanges)
    counts = here.attempts.counts
    assert counts["asked"] == sum(counts[word] for word in ("acked", "rejected", "aborted")) == len(here.ops)
    here.close()


if __name__ == "__main__":
    atheris.Setup([*sys.argv, "-max_len=600"], one)
    for seed in (GET + OK,):
        one(b"\x00\x80" + seed)
    atheris.Fuzz()
