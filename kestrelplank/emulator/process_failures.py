"""Crashes and restarts of proxies and assigners of a simulation."""

from collections.abc import Callable, Sequence

from kestrelplank.emulator.assigners import Assigner
from kestrelplank.emulator.clients import EmulatedClients
from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.proxies import EmulatedProxy
from kestrelplank.emulator.slice_store import SliceStore


class ProcessFailures:
    """Ends processes, and restarts them at a later time.

    :param begin_assigner: starts an incarnation of an assigner and sends it the node list.
    """

    def __init__(
        self,
        environment: Environment,
        proxies: Sequence[EmulatedProxy],
        assigners: Sequence[Assigner],
        store: SliceStore,
        clients: EmulatedClients,
        begin_assigner: Callable[[Assigner], None],
    ) -> None:
        self._environment, self._clock = environment, environment.clock
        self._proxies, self._assigners = proxies, assigners
        self._store, self._clients, self._begin_assigner = store, clients, begin_assigner

    def lose_proxy(self, number: int, until: int) -> None:
        """End a proxy's process, and restart it at that time."""
        proxy = self._proxies[number]
        if not proxy.alive:
            return
        notice_ns = self._clients.random.randint(*self._environment.script.proxies.notice)
        for assigner in list(proxy.streams):
            self._store.leave(proxy, assigner, notice_ns)
        proxy.kill()
        self._clock.at(until, lambda: self._start_proxy(proxy))

    def _start_proxy(self, proxy: EmulatedProxy) -> None:
        proxy.start()
        for assigner in self._assigners:
            self._redial(proxy, assigner.number)

    def _redial(self, proxy: EmulatedProxy, assigner: int) -> None:
        joins_at = self._clock.now() + proxy.random.randint(*self._environment.script.proxies.redial)
        self._clock.at(joins_at, lambda: self._store.join(proxy, assigner))

    def lose_assigner(self, number: int, until: int) -> None:
        """End an assigner's process, and restart it at that time.

        Its streams break; its slices pass to assigners that are alive, and return some time after its restart.
        """
        assigner = self._assigners[number]
        if not assigner.alive:
            return
        assigner.kill()
        self._environment.rules.assigner_ended(number, range(len(self._environment.nodes)))
        for proxy in self._proxies:
            proxy.streams.pop(number, None)
        slices = self._store.take_from(number)
        takeover_ns = self._store.random.randint(*self._environment.script.rules.takeover)
        self._clock.at(self._clock.now() + takeover_ns, lambda: self._assign_to_living(slices))
        self._clock.at(until, lambda: self._start_assigner(assigner))

    def _assign_to_living(self, slices: list[int]) -> None:
        living = [assigner.number for assigner in self._assigners if assigner.alive]
        for position, slice_ in enumerate(slices):
            if self._store.owner[slice_] is None and living:
                self._store.assign(slice_, living[position % len(living)])

    def _start_assigner(self, assigner: Assigner) -> None:
        self._begin_assigner(assigner)
        for proxy in self._proxies:
            self._redial(proxy, assigner.number)
        return_ns = self._store.random.randint(*self._environment.script.rules.rehome)
        self._clock.at(self._clock.now() + return_ns, lambda: self._return_slices(assigner))

    def _return_slices(self, assigner: Assigner) -> None:
        store = self._store
        for slice_, home in enumerate(store.home) if assigner.alive else ():
            if home == assigner.number and store.owner[slice_] != assigner.number:
                store.assign(slice_, assigner.number)
