"""The services behind the small gateway, and the mix of requests to them."""

from typing import NamedTuple


class RehearsedService(NamedTuple):
    """One service: its route, its servers, and the requests of clients."""

    name: str
    method: str
    path_prefix: str
    route_type: str
    servers: int
    body_bytes: int
    is_sharded: bool = False

    @property
    def runs_at_most_once(self) -> bool:
        """Whether a request may run at most once."""
        return self.route_type != "idempotent"


VIEWS = RehearsedService("views", "GET", "/views/", "idempotent", servers=4, body_bytes=0, is_sharded=True)
ORDERS = RehearsedService("orders", "POST", "/orders/", "non_idempotent", servers=2, body_bytes=200)
UPLOADS = RehearsedService("uploads", "POST", "/uploads/", "upload", servers=2, body_bytes=20_000)
SERVICES = (VIEWS, ORDERS, UPLOADS)
REQUEST_MIX = (VIEWS, VIEWS, VIEWS, ORDERS, UPLOADS)
