"""The tenants of the small gateway: their API keys, and a key that no tenant has."""

API_KEYS = {"museum": "key-of-museum", "library": "key-of-library"}  # by tenant
TENANTS = tuple(API_KEYS)
UNKNOWN_API_KEY = "key-of-nobody"


def authorization(api_key: str) -> tuple[bytes, bytes]:
    """Return the header that carries the key."""
    return b"Authorization", f"Bearer {api_key}".encode()
