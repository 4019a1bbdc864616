"""Fixtures and helpers for tests of the assigner's network components, based on the stub servers of rehearsals."""

import json
from contextlib import contextmanager

import pytest

from kestrelplank.assigner.counters import Counters, logger
from kestrelplank.assigner.order_queue import OrderQueue
from kestrelplank.decode import Ids, text
from kestrelplank.rehearsal import stub_server
from kestrelplank.rehearsal.relay_messages import attach, instance, message, node_list
from kestrelplank.rehearsal.stub_server import raise_error
from kestrelplank.time_units import MILLISECOND as MS

__all__ = [
    "MS",
    "FakeClient",
    "Kit",
    "StubServer",
    "attach",
    "raise_error",
    "instance",
    "kit",
    "message",
    "sample_ids",
    "node_list",
    "order_queue",
    "read_available",
    "running_kit",
    "wait_until",
]


def wait_until(loop, condition, seconds=20):
    end = loop.now() + seconds * 1000 * MS
    while not condition():
        assert loop.now() < end, "the condition was not met in time"
        loop.at(loop.now() + 5 * MS, lambda: None)
        loop.run_once()


class Kit(stub_server.SocketKit):
    """The event loop, buffer pool, counters and collected events that a component under test needs.

    `programs`: the processes that the test has started.
    """

    def __init__(self):
        super().__init__()
        self.counters = Counters(logger("test"), self.loop.now)
        self.events, self.programs = [], []


@contextmanager
def running_kit():
    """Yield a kit; afterwards, also after a failure, end its programs and close its loop."""
    kit = Kit()
    try:
        yield kit
    finally:
        for program in kit.programs:
            program.close()
        kit.loop.close()


@pytest.fixture
def kit():
    """A kit for one test."""
    with running_kit() as kit:
        yield kit


class StubServer(stub_server.StubServer):
    """A stub server that records its requests."""

    def __init__(self, kit, answer=lambda connection, path, body: None):
        super().__init__(kit, answer)
        self.requests = []

    def request_received(self, connection, path, body):
        self.requests.append((connection, path, body))
        super().request_received(connection, path, body)


def read_available(sock):
    """Return the available bytes of a non-blocking socket, or None."""
    try:
        return sock.recv(1 << 20)
    except BlockingIOError:
        return None


def sample_ids():
    ids = Ids(text)
    for name in ("s-1", "s-2"):
        ids.node(name)
    ids.zone("a")
    ids.op_types["look"] = 0
    return ids


class FakeClient:
    """Replaces the HTTP client: records calls; the test reports their outcomes."""

    def __init__(self):
        self.bodies, self.busy = [], False

    def call(self, method, path, body, timeout_ns):
        self.bodies.append(
            [
                (order["verb"], order.get("cluster", order.get("endpoint", order.get("stamp"))))
                for order in json.loads(body)["ops"]
            ]
        )
        self.busy = True


def order_queue(kit, first_stamp=0):
    queue = OrderQueue(kit.loop, kit.pool, kit.counters, "127.0.0.1:1", sample_ids(), ["look", "buy"], first_stamp)
    queue._client = FakeClient()
    queue.resume()
    return queue
