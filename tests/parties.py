"""Stand-ins for the outside parties, written from the protocol, and what drives them in a test."""

import json

import httptools

from kestrelplank.decode import Ids, text
from kestrelplank.net.buffers import Pool
from kestrelplank.net.connection import Connection, Listener
from kestrelplank.net.counters import Counters, logger
from kestrelplank.net.loop import Loop
from kestrelplank.net.orders import Orders

MS = 1_000_000


def fail(err):
    raise err


def until(loop, condition, seconds=20):
    end = loop.now() + seconds * 1000 * MS
    while not condition():
        assert loop.now() < end, "what was waited for did not come"
        loop.at(loop.now() + 5 * MS, lambda: None)
        loop.turn()


class Kit:
    """What every part of the network side is made with."""

    def __init__(self):
        self.loop, self.pool = Loop(fail), Pool(1 << 16, 4)
        self.counters = Counters(logger("test"), self.loop.now)
        self.events = []


def names():
    ids = Ids(text)
    for name in ("s-1", "s-2"):
        ids.node(name)
    ids.zone("a")
    ids.op_types["look"] = 0
    return ids


class Calls:
    """In place of the HTTP client: what would be sent, and outcomes by hand."""

    def __init__(self):
        self.bodies, self.busy = [], False

    def call(self, method, path, body, within):
        self.bodies.append([(o["verb"], o.get("cluster", o.get("endpoint", o.get("stamp"))))
                            for o in json.loads(body)["ops"]])
        self.busy = True


def orders(kit, first_mark=0):
    made = Orders(kit.loop, kit.pool, kit.counters, "127.0.0.1:1", names(), ["look", "buy"], first_mark)
    made._client = Calls()
    made.hold(False)
    return made


class Visitor:
    """One connection to a party; its requests, taken apart."""

    def __init__(self, party, sock):
        self.party, self.gone, self.bytes_in = party, None, 0
        self.parser, self.body, self.path = httptools.HttpRequestParser(self), b"", ""
        self.connection = Connection(party.kit.loop, party.kit.pool, sock, self, 1 << 22)

    def on_data(self, data):
        self.bytes_in += len(data)
        self.parser.feed_data(data)

    def on_close(self, why):
        self.gone = why

    def on_url(self, url):
        self.path, self.body = url.decode(), b""

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        self.party.requests.append((self, self.path, self.body))
        self.party.answer(self, self.path, self.body)

    def reply(self, value, status=200):
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.connection.write(b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def begin(self):
        self.connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def tell(self, *lines):
        for line in lines:
            data = line if isinstance(line, bytes) else json.dumps(line).encode() + b"\n"
            self.connection.write(b"%x\r\n%s\r\n" % (len(data), data))


class Party:
    """Listens on a free port. `answer` says what it does with a request; by default nothing."""

    def __init__(self, kit, answer=lambda visitor, path, body: None):
        self.kit, self.answer, self.requests, self.visitors = kit, answer, [], []
        self.listener = Listener(kit.loop, ("127.0.0.1", 0), self.accept, fail, MS)
        self.at = "%s:%d" % self.listener.at

    def accept(self, sock):
        self.visitors.append(Visitor(self, sock))

    def close(self):
        self.listener.close()
        for visitor in self.visitors:
            visitor.connection.close("over")


def news(kind, **fields):
    return {"type": kind, "object": fields}


def attach(proxy, cold=True):
    return news("attach", node=proxy, locality="a", w=2.0, cold=cold)


def instance(name, lifecycle="in_service", started=0):
    return {"instanceId": name, "hostPort": "127.0.0.1:1", "zone": "a", "machineType": "m", "cell": 1,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started}


def node_list(version, *instances, reset=False):
    return {"generation": version, "reset": reset, "instances": list(instances)}
