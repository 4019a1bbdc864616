"""`python -m kestrelplank`: one real conductor, told all it needs by the file that $NODE_CONFIG names."""

import gc
import os
import signal
import socket
import sys
from collections.abc import Callable
from typing import Any

from kestrelplank.assigner.counters import Counters, logger
from kestrelplank.assigner.health_checks import HealthChecks
from kestrelplank.assigner.node_discovery import NodeDiscovery
from kestrelplank.assigner.order_queue import MARKS, OrderQueue
from kestrelplank.assigner.peer_datagrams import PeerDatagrams
from kestrelplank.assigner.proxy_updates import ProxyUpdates
from kestrelplank.assigner.rounds import RoundRunner
from kestrelplank.assigner.telemetry_server import TelemetryServer
from kestrelplank.decode import Ids, Malformed, listed, mapping, parsed, settings, text
from kestrelplank.interface import Event, PeerMessage, PolicySettings
from kestrelplank.policy import Policy
from kestrelplank.sockets.buffers import Pool
from kestrelplank.sockets.connection import address
from kestrelplank.sockets.loop import READ, Loop

BUFFER, BUFFERS = 1 << 16, 4


def configuration(ids: Ids) -> dict[str, Any]:
    """The configuration as it stands, its addresses and settings read; Malformed says what can't be used."""
    path = os.environ.get("NODE_CONFIG")
    if not path:
        raise Malformed("NODE_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            found = mapping(parsed(file.read()))
    except OSError as err:
        raise Malformed(f"{path} can't be read: {err.strerror}") from None
    except Malformed as err:
        raise Malformed(f"{path}: {err}") from None
    found["hub"] = found["hub"].get("address") if isinstance(found.get("hub"), dict) else None
    if "settings" not in found:
        raise Malformed(f"{path}, field settings: missing")

    def check(name: str, reader: Callable[[Any], Any], value: Any) -> Any:
        try:
            return reader(value)
        except ValueError as err:
            raise Malformed(f"{path}, field {name}: {err}") from None

    found["peers"] = check("peers", listed, found.get("peers") or [])
    addresses = [(name, found.get(name)) for name in ("listen", "discovery", "hub")]
    addresses += [(name, found[name]) for name in ("peer_listen", "peers_all") if found.get(name)]
    for name, value in addresses + [("peers", peer) for peer in found["peers"]]:
        check(name, lambda value: address(text(value)), value)
    found["seed"] = check("seed", lambda value: int(text(value), 16), found.get("seed"))
    found["settings"] = settings(found["settings"], ids, "settings")
    return found


def operators_file() -> Any:
    """What the operator's own file says, where one is named; InvalidSettingsError says what can't be used. Without it
    nothing is imported for it."""
    path = os.environ.get("KESTRELPLANK_INI")
    if not path:
        return None
    from kestrelplank.settings.ini import IniFile
    from kestrelplank.settings.operator import read_operator_settings

    return read_operator_settings(IniFile.load(path))


class Signals:
    """Signals as bytes on a socket of the loop's: nothing of ours runs inside a handler."""

    def __init__(self, loop: Loop, calls: dict[int, Any]) -> None:
        self._loop, self._calls = loop, calls
        self._ours, self._theirs = socket.socketpair()
        for sock in (self._ours, self._theirs):
            sock.setblocking(False)
        signal.set_wakeup_fd(self._theirs.fileno(), warn_on_full_buffer=False)
        for number in calls:
            signal.signal(number, lambda *_: None)
        loop.watch(self._ours, READ, self._ready)

    def _ready(self, events: int) -> None:
        for number in self._ours.recv(64):
            if number in self._calls:
                self._calls[number]()

    def close(self) -> None:
        signal.set_wakeup_fd(-1)
        self._loop.forget(self._ours)
        self._ours.close()
        self._theirs.close()


def main() -> int:
    try:
        ids = Ids(text)
        config = configuration(ids)
        found = config["settings"]
        extras = operators_file()
    except ValueError as err:
        print(f"kestrelplank: {err}", file=sys.stderr)
        return 2
    loop = Loop(lambda err: counters.defect(err))
    counters = Counters(logger(str(config.get("name", ""))), loop.now)
    pool, op_types = Pool(BUFFER, BUFFERS), list(ids.op_types)

    def on_event(event: Event) -> None:
        conductor.on_event(event)

    def reload() -> None:
        try:
            new = configuration(Ids(text))
            more = operators_file()
        except ValueError as err:
            counters.trouble("reloads_refused", err)
            return
        counters.add("reloads")
        counters.info("reloaded", discovery=new["discovery"], hub=new["hub"])
        for part, to in ((orders, new["hub"]), (news, new["hub"]), (discovery, new["discovery"])):
            part.move(to)
        if files:
            files.reload(more.nodes)

    orders = OrderQueue(
        loop, pool, counters, config["hub"], ids, op_types, config["seed"] % MARKS, found["longest_transit"]
    )
    files = None

    def on_listed(event: Event) -> None:
        (files.on_event if files else on_event)(event)

    def on_datagram(event: Event) -> None:
        if members and isinstance(event, PeerMessage):
            members.take(event.sender, event.body)
        else:
            on_event(event)

    discovery = NodeDiscovery(loop, pool, counters, config["discovery"], ids, on_listed)
    probes = HealthChecks(
        loop,
        pool,
        counters,
        discovery.addresses,
        found["may_probe"],
        found["dial_timeout"],
        found["load_by"] != "none",
        on_event,
    )
    try:
        front = TelemetryServer(loop, pool, counters, address(config["listen"]), ids, found["slices"], on_event)
        peers = None
        if found["may_tell"] and config.get("peer_listen"):
            peers = PeerDatagrams(
                loop, counters, config["peer_listen"], config["peers"], config.get("peers_all") or "", ids, on_datagram
            )
    except OSError as err:
        print(f"kestrelplank: can't listen: {err.strerror}", file=sys.stderr)
        return 1
    policy = Policy(loop.now(), config["seed"], PolicySettings.from_mapping(found))
    conductor = RoundRunner(loop, counters, policy, found["tick"], orders, discovery, probes, peers)
    if extras and extras.nodes.files:
        from kestrelplank.file_discovery.node_files import NodeFiles

        files = NodeFiles(loop, counters, extras.nodes, found["grace"], ids, discovery.addresses, on_event)
        conductor.holders.append(files)
    members = status = None
    if extras and (extras.members.enabled or extras.status.path):
        from kestrelplank.assigner.operator_features import make_membership, make_status_socket

        members = make_membership(loop, counters, extras.members, found, policy, peers)
        try:
            status = make_status_socket(loop, extras.status, policy, ids, members)
        except OSError as err:
            print(f"kestrelplank: can't listen at {extras.status.path}: {err.strerror}", file=sys.stderr)
            return 1
    discovery.start(config.get("known"))
    news = ProxyUpdates(loop, pool, counters, config["hub"], ids, found["proxies"], found["slices"], orders, on_event)
    signals = Signals(
        loop,
        {signal.SIGTERM: loop.stop, signal.SIGINT: loop.stop, signal.SIGHUP: reload, signal.SIGUSR1: counters.report},
    )
    counters.info("started", listen="%s:%d" % front.at)
    gc.freeze()  # what start-up made stays, and need not be looked through again
    loop.run()
    for part in (front, news, orders, discovery, files, members, status, probes, peers, signals, loop):
        if part is not None:
            part.close()
    counters.report()
    return 0


if __name__ == "__main__":
    sys.exit(main())
