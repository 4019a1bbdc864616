"""The tenants of a configuration, and the index that finds the tenant of an API key.

The index holds keyed digests instead of keys, so that a dump of it or of its tenants shows no key. The key of the
digests is chosen once per process: digests of two indexes of one process are comparable, others are not.
"""

import hashlib
import secrets
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

import msgspec

from kestrelplank.configuration.document import TenantDocument

API_KEY_DIGEST_BYTES = 16
DIGEST_KEY = secrets.token_bytes(16)


class Tenant(NamedTuple):
    """A tenant. A `priority` takes precedence over that of the route; None leaves the route's."""

    name: str
    priority: int | None


class TenantIndex:
    """The tenants of one configuration, immutable, with look-up by API key.

    :param documents: the validated tenants of the document, in which no two share a key.
    """

    def __init__(self, documents: list[TenantDocument]) -> None:
        self._list_digest = _list_digest(documents)
        self._tenants = {document.name: Tenant(document.name, document.priority) for document in documents}
        self._tenant_of_key = {
            _digest(api_key.encode()): self._tenants[document.name]
            for document in documents
            for api_key in document.api_keys
        }

    @property
    def tenants(self) -> Mapping[str, Tenant]:
        """All tenants by name, also those without a key."""
        return MappingProxyType(self._tenants)

    def find(self, api_key: bytes) -> Tenant | None:
        """Return the tenant of the key; None if the key is unknown."""
        return self._tenant_of_key.get(_digest(api_key))

    def key_digests(self) -> dict[str, frozenset[bytes]]:
        """Return the digests of each tenant's keys, by the tenant's name."""
        digests: dict[str, list[bytes]] = {name: [] for name in self._tenants}
        for digest, tenant in self._tenant_of_key.items():
            digests[tenant.name].append(digest)
        return {name: frozenset(of_tenant) for name, of_tenant in digests.items()}

    def is_index_of(self, documents: list[TenantDocument]) -> bool:
        """Whether the index was built from an equal list of tenants."""
        return self._list_digest == _list_digest(documents)

    def __repr__(self) -> str:
        return f"<TenantIndex tenants={len(self._tenants)} keys={len(self._tenant_of_key)}>"


def tenant_index(documents: list[TenantDocument] | None, former: TenantIndex | None) -> TenantIndex | None:
    """Return the index of the tenants: `former` if the list is unchanged, None if the document has no tenants."""
    if documents is None:
        return None
    if former is not None and former.is_index_of(documents):
        return former
    return TenantIndex(documents)


def _digest(api_key: bytes) -> bytes:
    """Return the digest under which a key is indexed."""
    return hashlib.blake2b(api_key, key=DIGEST_KEY, digest_size=API_KEY_DIGEST_BYTES).digest()


def _list_digest(documents: list[TenantDocument]) -> bytes:
    """Return a digest of all fields of the tenants, in the order of the document."""
    return _digest(msgspec.json.encode(documents))
