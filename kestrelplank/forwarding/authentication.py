"""Authentication of a client's request: the tenant that holds its API key, by the configuration that routes it.

With tenants in force a request carries its key as `Authorization: Bearer KEY` (RFC 6750, section 2.1); the key is
compared byte for byte. A route with `public_access` needs no key, but one that is presented must be known there too.
"""

from collections.abc import Sequence

from kestrelplank.configuration.route_table import Configuration, Route
from kestrelplank.configuration.tenants import Tenant
from kestrelplank.forwarding.errors import AuthenticationFailure, UnauthorizedError

BEARER_SCHEME = b"bearer"  # schemes are compared without regard to case: RFC 9110, section 11.1


def authenticate(configuration: Configuration, route: Route, authorizations: Sequence[bytes]) -> Tenant | None:
    """Return the tenant whose key the request carries.

    None if the configuration has no tenants, or if the route is public and the request carries no key.

    :param authorizations: the values of all `Authorization` headers of the request.
    :raises UnauthorizedError: the request must not be run.
    """
    if configuration.tenants is None:
        return None
    if len(authorizations) > 1:
        raise UnauthorizedError(failure=AuthenticationFailure.MALFORMED)
    scheme, _, credentials = authorizations[0].partition(b" ") if authorizations else (b"", b"", b"")
    if scheme.lower() != BEARER_SCHEME:
        if route.public_access:
            return None
        failure = AuthenticationFailure.MALFORMED if authorizations else AuthenticationFailure.MISSING
        raise UnauthorizedError(failure=failure)
    api_key = credentials.lstrip(b" ")
    if not api_key:
        raise UnauthorizedError(failure=AuthenticationFailure.MALFORMED)
    tenant = configuration.tenants.find(api_key)
    if tenant is None:
        raise UnauthorizedError(failure=AuthenticationFailure.UNKNOWN_KEY)
    return tenant
