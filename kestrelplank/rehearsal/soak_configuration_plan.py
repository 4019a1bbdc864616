"""Draws the configurations of a soak: each differs from the version before it by one change."""

from collections.abc import Callable
from random import Random

import msgspec

from kestrelplank.rehearsal.services import SERVICES
from kestrelplank.rehearsal.soak_configurations import Defect, PlannedConfiguration, PlannedRoute, PlannedTenant

TENANTS, KEYS_PER_TENANT = 4, 2
MAX_VERSION_STEP = 5
MAX_EXTRA_ROUTES = 6
PUBLIC_SHARE = 0.2
SERVICE_NAMES = [service.name for service in SERVICES]
Change = Callable[[PlannedConfiguration], PlannedConfiguration]


class ConfigurationPlan:
    """Draws one configuration after the other from a seeded source of chance."""

    def __init__(self, random: Random, with_tenants: bool) -> None:
        self._random, self._numbers = random, 0
        routes = [PlannedRoute(s.path_prefix, s.route_type, {s.name: 1}) for s in SERVICES]
        routes.append(PlannedRoute("/open/", "idempotent", {"orders": 1}, public_access=True))
        tenants = tuple(self._tenant() for _ in range(TENANTS)) if with_tenants else None
        self.newest = PlannedConfiguration(1, tuple(routes), tenants)

    def next(self) -> PlannedConfiguration:
        """Return the next valid version, which the following ones start from."""
        changes: list[Change] = [self._add_route, self._drop_route, self._move_route, self._move_route, self._split]
        if self.newest.tenants is not None:
            changes += [self._add_tenant, self._take_key, self._take_key, self._move_key, self._add_key]
        change = self._random.choice(changes)
        self.newest = msgspec.structs.replace(
            change(self.newest), version=self._next_version(), change=change.__name__.strip("_")
        )
        return self.newest

    def next_invalid(self) -> PlannedConfiguration:
        """Return an invalid document with a higher version, and with a route that no valid one has."""
        defects = [defect for defect in Defect if defect is not Defect.SHARED_KEY or self.newest.tenants is not None]
        marker = PlannedRoute(f"/invalid-{self._number()}/", "idempotent", {"orders": 1})
        return msgspec.structs.replace(
            self.newest,
            version=self._next_version(),
            routes=(*self.newest.routes, marker),
            defect=self._random.choice(defects),
            change="invalid",
        )

    def _next_version(self) -> int:
        return self.newest.version + self._random.randint(1, MAX_VERSION_STEP)

    def _number(self) -> int:
        self._numbers += 1
        return self._numbers

    # Routes.

    def _extra_routes(self, configuration: PlannedConfiguration) -> list[PlannedRoute]:
        return [route for route in configuration.routes if "extra" in route.prefix]

    def _add_route(self, configuration: PlannedConfiguration) -> PlannedConfiguration:
        if len(self._extra_routes(configuration)) >= MAX_EXTRA_ROUTES:
            return self._drop_route(configuration)
        service = self._random.choice(SERVICE_NAMES)
        parent = self._random.choice(["/", "/orders/", "/views/"])
        route = PlannedRoute(
            f"{parent}extra-{self._number()}/",
            "idempotent",
            {service: 1},
            public_access=self._random.random() < PUBLIC_SHARE,
        )
        return msgspec.structs.replace(configuration, routes=(*configuration.routes, route))

    def _drop_route(self, configuration: PlannedConfiguration) -> PlannedConfiguration:
        extra = self._extra_routes(configuration)
        if not extra:
            return self._add_route(configuration)
        dropped = self._random.choice(extra)
        remaining = tuple(route for route in configuration.routes if route is not dropped)
        return msgspec.structs.replace(configuration, routes=remaining)

    def _move_route(self, configuration: PlannedConfiguration) -> PlannedConfiguration:
        moved = self._random.choice(configuration.routes)
        others = [name for name in SERVICE_NAMES if name not in moved.services]
        return self._with_weights(configuration, moved, {self._random.choice(others or SERVICE_NAMES): 1})

    def _split(self, configuration: PlannedConfiguration) -> PlannedConfiguration:
        route = self._random.choice(configuration.routes)
        first, second = self._random.sample(SERVICE_NAMES, 2)
        return self._with_weights(configuration, route, {first: self._random.randint(1, 9), second: 1})

    @staticmethod
    def _with_weights(
        configuration: PlannedConfiguration, route: PlannedRoute, weights: dict[str, int]
    ) -> PlannedConfiguration:
        changed = msgspec.structs.replace(route, weights=weights)
        routes = tuple(changed if other is route else other for other in configuration.routes)
        return msgspec.structs.replace(configuration, routes=routes)

    # Tenants.

    def _key(self) -> str:
        return f"key-{self._number()}-{self._random.getrandbits(64):016x}"

    def _tenant(self) -> PlannedTenant:
        keys = tuple(self._key() for _ in range(KEYS_PER_TENANT))
        return PlannedTenant(f"tenant-{self._number()}", keys, self._random.choice([None, 0, 2]))

    def _add_tenant(self, configuration: PlannedConfiguration) -> PlannedConfiguration:
        return msgspec.structs.replace(configuration, tenants=(*(configuration.tenants or ()), self._tenant()))

    def _add_key(self, configuration: PlannedConfiguration) -> PlannedConfiguration:
        tenant = self._random.choice(configuration.tenants or ())
        return self._with_keys(configuration, {tenant.name: (*tenant.api_keys, self._key())})

    def _take_key(self, configuration: PlannedConfiguration) -> PlannedConfiguration:
        holders = [tenant for tenant in configuration.tenants or () if len(tenant.api_keys) > 1]
        if not holders:
            return self._add_key(configuration)
        tenant = self._random.choice(holders)
        return self._with_keys(configuration, {tenant.name: tenant.api_keys[1:]})

    def _move_key(self, configuration: PlannedConfiguration) -> PlannedConfiguration:
        giver, taker = self._random.sample(configuration.tenants or (), 2)
        if len(giver.api_keys) <= 1:
            return self._add_key(configuration)
        moved = {giver.name: giver.api_keys[1:], taker.name: (*taker.api_keys, giver.api_keys[0])}
        return self._with_keys(configuration, moved)

    @staticmethod
    def _with_keys(configuration: PlannedConfiguration, keys: dict[str, tuple[str, ...]]) -> PlannedConfiguration:
        tenants = tuple(
            msgspec.structs.replace(tenant, api_keys=keys.get(tenant.name, tenant.api_keys))
            for tenant in configuration.tenants or ()
        )
        return msgspec.structs.replace(configuration, tenants=tenants)
