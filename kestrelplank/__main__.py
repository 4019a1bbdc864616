"""`python -m kestrelplank`: runs an assigner, configured by the file that $NODE_CONFIG names."""

import gc
import os
import signal
import socket
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from kestrelplank.assigner.counters import Counters, logger
from kestrelplank.assigner.health_checks import HealthChecks
from kestrelplank.assigner.node_discovery import NodeDiscovery
from kestrelplank.assigner.order_queue import STAMP_COUNT, OrderQueue
from kestrelplank.assigner.peer_datagrams import PeerDatagrams
from kestrelplank.assigner.proxy_updates import ProxyUpdates
from kestrelplank.assigner.rounds import RoundRunner
from kestrelplank.assigner.telemetry_server import TelemetryServer
from kestrelplank.decode import Ids, MalformedError, list_value, object_value, parse_json, read_settings, text
from kestrelplank.interface import Event, PeerMessage, PolicySettings
from kestrelplank.policy import Policy
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.connection import address as parse_address
from kestrelplank.sockets.loop import READ, Loop

if TYPE_CHECKING:
    from kestrelplank.assigner.membership_gossip import MembershipGossip
    from kestrelplank.assigner.status_socket import StatusSocket
    from kestrelplank.file_discovery.node_files import NodeFiles
    from kestrelplank.settings.operator import OperatorSettings

Value = TypeVar("Value")

BUFFER_BYTES, BUFFERS = 1 << 16, 4
EXIT_DONE, EXIT_CANNOT_LISTEN, EXIT_UNUSABLE_INPUT = 0, 1, 2


class AssignerConfiguration(NamedTuple):
    """This assigner's configuration in the platform's file; addresses are `host:port`, or empty if there is none."""

    name: str
    listen_address: str
    discovery_address: str
    update_source_address: str  # the relay that sends updates and executes orders; `hub.address` in the file
    peer_listen_address: str
    peer_addresses: list[str]
    all_peers_address: str
    seed: int
    known_nodes: object  # the node list that discovery sent in an earlier run
    settings: dict[str, Any]  # as `decode.read_settings` returns them


def read_configuration(ids: Ids) -> AssignerConfiguration:
    """Read the configuration file; zones and op types are added to `ids`.

    :raises MalformedError: the file or a field is invalid; the text names both.
    """
    path = os.environ.get("NODE_CONFIG")
    if not path:
        raise MalformedError("NODE_CONFIG is not set")
    document = _read_document(path)
    relay = document.get("hub")
    relay_address = relay.get("address") if isinstance(relay, dict) else None
    if "settings" not in document:
        raise MalformedError(f"{path}, field settings: missing")
    peers = _read_field(path, "peers", list_value, document.get("peers") or [])
    values = {"listen": document.get("listen"), "discovery": document.get("discovery"), "hub": relay_address}
    values.update({name: document[name] for name in ("peer_listen", "peers_all") if document.get(name)})
    addresses = {name: _read_field(path, name, _read_address, value) for name, value in values.items()}
    peer_addresses = [_read_field(path, "peers", _read_address, peer) for peer in peers]
    return AssignerConfiguration(
        name=str(document.get("name", "")),
        listen_address=addresses["listen"],
        discovery_address=addresses["discovery"],
        update_source_address=addresses["hub"],
        peer_listen_address=addresses.get("peer_listen", ""),
        peer_addresses=peer_addresses,
        all_peers_address=addresses.get("peers_all", ""),
        seed=_read_field(path, "seed", lambda value: int(text(value), 16), document.get("seed")),
        known_nodes=document.get("known"),
        settings=read_settings(document["settings"], ids, "settings"),
    )


def _read_document(path: str) -> dict[str, object]:
    """Return the configuration file's JSON object."""
    try:
        with open(path, "rb") as file:  # noqa: PTH123 - importing pathlib would add half a megabyte of memory
            return object_value(parse_json(file.read()))
    except OSError as err:
        raise MalformedError(f"{path} can't be read: {err.strerror}") from None
    except MalformedError as err:
        raise MalformedError(f"{path}: {err}") from None


def _read_field(path: str, name: str, reader: Callable[[object], Value], value: object) -> Value:
    """Return a field, validated by `reader`; errors name the file and the field."""
    try:
        return reader(value)
    except ValueError as err:
        raise MalformedError(f"{path}, field {name}: {err}") from None


def _read_address(value: object) -> str:
    """Validate an address with a port, and return it unchanged."""
    address = text(value)
    parse_address(address)
    return address


def read_operator_file() -> "OperatorSettings | None":
    """Read the operator's file that $KESTRELPLANK_INI names; return None without one, and import nothing for it.

    :raises InvalidSettingsError: the file is invalid.
    """
    path = os.environ.get("KESTRELPLANK_INI")
    if not path:
        return None
    from kestrelplank.settings.ini import IniFile
    from kestrelplank.settings.operator import read_operator_settings

    return read_operator_settings(IniFile.load(path))


class Signals:
    """Runs callbacks for signals in the event loop, by the wake-up descriptor instead of in a signal handler.

    :param callbacks: callbacks by signal number.
    """

    def __init__(self, loop: Loop, callbacks: dict[int, Callable[[], None]]) -> None:
        self._loop, self._callbacks = loop, callbacks
        self._readable, self._writable = socket.socketpair()
        for sock in (self._readable, self._writable):
            sock.setblocking(False)
        signal.set_wakeup_fd(self._writable.fileno(), warn_on_full_buffer=False)
        for number in callbacks:
            signal.signal(number, lambda *_: None)
        loop.watch(self._readable, READ, self._on_readable)

    def _on_readable(self, _events: int) -> None:
        for number in self._readable.recv(64):
            if number in self._callbacks:
                self._callbacks[number]()

    def close(self) -> None:
        """Stop receiving signals."""
        signal.set_wakeup_fd(-1)
        self._loop.forget(self._readable)
        self._readable.close()
        self._writable.close()


class CannotListenError(Exception):
    """A socket that the program needs can't be created; the text gives the reason."""


class Program:
    """The components of one assigner, created in the order of their dependencies.

    Features that only an operator's file enables are not imported without one (tests/cli/test_cli.py,
    `test_conductor_without_an_operators_file_loads_no_optional_module`).

    :raises CannotListenError: an address is in use or invalid.
    """

    def __init__(self, ids: Ids, configuration: AssignerConfiguration, operator: "OperatorSettings | None") -> None:
        self._ids, self._configuration = ids, configuration
        self._settings = configuration.settings
        self._loop = Loop(lambda err: self._counters.defect(err))  # a lambda, as the counters need the loop's clock
        self._counters = Counters(logger(configuration.name), self._loop.now)
        self._pool = BufferPool(BUFFER_BYTES, BUFFERS)
        self._node_files: NodeFiles | None = None
        self._membership: MembershipGossip | None = None
        self._status: StatusSocket | None = None
        self._orders = self._new_order_queue()
        self._discovery = NodeDiscovery(
            self._loop, self._pool, self._counters, configuration.discovery_address, ids, self._on_discovery_event
        )
        self._health_checks = self._new_health_checks()
        self._listen()
        self._policy = Policy(self._loop.now(), configuration.seed, PolicySettings.from_mapping(self._settings))
        self._rounds = RoundRunner(
            self._loop,
            self._counters,
            self._policy,
            self._settings["tick"],
            self._orders,
            self._discovery,
            self._health_checks,
            self._peers,
        )
        if operator:
            self._add_operator_features(operator)
        self._discovery.start(configuration.known_nodes)
        self._proxy_updates = self._new_proxy_updates()
        self._signals = Signals(
            self._loop,
            {
                signal.SIGTERM: self._loop.stop,
                signal.SIGINT: self._loop.stop,
                signal.SIGHUP: self.reload,
                signal.SIGUSR1: self._counters.report,
            },
        )

    # Components.

    def _new_order_queue(self) -> OrderQueue:
        return OrderQueue(
            self._loop,
            self._pool,
            self._counters,
            self._configuration.update_source_address,
            self._ids,
            list(self._ids.op_types),
            self._configuration.seed % STAMP_COUNT,
            self._settings["longest_transit"],
        )

    def _new_health_checks(self) -> HealthChecks:
        return HealthChecks(
            self._loop,
            self._pool,
            self._counters,
            self._discovery.addresses,
            self._settings["may_probe"],
            self._settings["dial_timeout"],
            self._settings["load_by"] != "none",
            self._on_event,
        )

    def _new_proxy_updates(self) -> ProxyUpdates:
        return ProxyUpdates(
            self._loop,
            self._pool,
            self._counters,
            self._configuration.update_source_address,
            self._ids,
            self._settings["proxies"],
            self._settings["slices"],
            self._orders,
            self._on_event,
        )

    def _listen(self) -> None:
        """Listen for telemetry and, if the settings allow it, for datagrams of other assigners."""
        try:
            self._telemetry = TelemetryServer(
                self._loop,
                self._pool,
                self._counters,
                parse_address(self._configuration.listen_address),
                self._ids,
                self._settings["slices"],
                self._on_event,
            )
            self._peers = self._new_peer_datagrams()
        except OSError as err:
            raise CannotListenError(f"can't listen: {err.strerror}") from err

    def _new_peer_datagrams(self) -> PeerDatagrams | None:
        configuration = self._configuration
        if not (self._settings["may_tell"] and configuration.peer_listen_address):
            return None
        return PeerDatagrams(
            self._loop,
            self._counters,
            configuration.peer_listen_address,
            configuration.peer_addresses,
            configuration.all_peers_address,
            self._ids,
            self._on_datagram,
        )

    def _add_operator_features(self, operator: "OperatorSettings") -> None:
        """Add watched files, membership and the status socket, as enabled in the operator's file."""
        if operator.nodes.files:
            from kestrelplank.file_discovery.node_files import NodeFiles

            self._node_files = NodeFiles(
                self._loop,
                self._counters,
                operator.nodes,
                self._settings["grace"],
                self._ids,
                self._discovery.addresses,
                self._on_event,
            )
            self._rounds.holders.append(self._node_files)
        if operator.members.enabled or operator.status.path:
            self._add_membership_and_status(operator)

    def _add_membership_and_status(self, operator: "OperatorSettings") -> None:
        from kestrelplank.assigner.operator_features import make_membership, make_status_socket

        self._membership = make_membership(
            self._loop, self._counters, operator.members, self._settings, self._policy, self._peers
        )
        try:
            self._status = make_status_socket(self._loop, operator.status, self._policy, self._ids, self._membership)
        except OSError as err:
            raise CannotListenError(f"can't listen at {operator.status.path}: {err.strerror}") from err

    # Events for the policy.

    def _on_event(self, event: Event) -> None:
        self._rounds.on_event(event)

    def _on_discovery_event(self, event: Event) -> None:
        """Forward a node list to the policy; the nodes of watched files, if there are any, are merged into it first."""
        if self._node_files is not None:
            self._node_files.on_event(event)
        else:
            self._on_event(event)

    def _on_datagram(self, event: Event) -> None:
        """Forward a datagram: loads to the policy, other messages to membership if it is enabled."""
        if self._membership is not None and isinstance(event, PeerMessage):
            self._membership.receive(event.sender, event.body or b"")
        else:
            self._on_event(event)

    # Running.

    def run(self) -> None:
        """Run until a signal stops the loop."""
        self._counters.info("started", listen="%s:%d" % self._telemetry.at)
        gc.freeze()  # objects created at start-up live on: exempt them from garbage collection
        self._loop.run()

    def reload(self) -> None:
        """Read both files again, and apply changed addresses and node lists; an invalid file changes nothing."""
        try:
            configuration = read_configuration(Ids(text))
            operator = read_operator_file()
        except ValueError as err:
            self._counters.record_fault("reloads_refused", err)
            return
        self._counters.add("reloads")
        relay, discovery = configuration.update_source_address, configuration.discovery_address
        self._counters.info("reloaded", discovery=discovery, hub=relay)
        self._orders.move(relay)
        self._proxy_updates.move(relay)
        self._discovery.move(discovery)
        if self._node_files is not None and operator is not None:
            self._node_files.reload(operator.nodes)

    def close(self) -> None:
        """Close every component, and log the final counters."""
        for component in (
            self._telemetry,
            self._proxy_updates,
            self._orders,
            self._discovery,
            self._node_files,
            self._membership,
            self._status,
            self._health_checks,
            self._peers,
            self._signals,
            self._loop,
        ):
            if component is not None:
                component.close()
        self._counters.report()


def main() -> int:
    """Run one assigner until a signal stops it; return the exit code."""
    ids = Ids(text)
    try:
        configuration = read_configuration(ids)
        operator = read_operator_file()
    except ValueError as err:
        print(f"kestrelplank: {err}", file=sys.stderr)
        return EXIT_UNUSABLE_INPUT
    try:
        program = Program(ids, configuration, operator)
    except CannotListenError as err:
        print(f"kestrelplank: {err}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    program.run()
    program.close()
    return EXIT_DONE


if __name__ == "__main__":
    sys.exit(main())
