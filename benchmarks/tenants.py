"""Measures tenants with two API keys each: parsing, index, look-ups, memory, transfer: `python benchmarks/tenants.py`.

`parsed` and `parsed, same tenants` are whole configurations; the latter is given a former one with an equal list of
tenants, whose index it uses again. `at 2 Mbit/s`: the transfer time of one text on the wire alone, and of one text from
each of seven voters, as an edge machine gets it when it starts.
"""

from random import Random

from configurations import configuration_text
from slopes import markdown_table, measure_memory, min_processor_ms

from kestrelplank.configuration.document import TenantDocument
from kestrelplank.configuration.parsing import parse_configuration, parse_document
from kestrelplank.configuration.tenants import TenantIndex
from kestrelplank.configuration.validation import validate
from kestrelplank.transport.messages import ConfigurationUpdate
from kestrelplank.transport.wire import encode_frame

SIZES = (71, 1_700, 17_000)
ROUTES, HOSTS = 12, 3
VERSION = 7
KEYS_PER_TENANT, KEY_CHARACTERS = 2, 20
ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789"
VOTERS = 7
LINK_BYTES_PER_S = 2_000_000 / 8
LOOKUPS = 50_000


def api_key(random: Random) -> str:
    """Return a key as operators choose them."""
    return "".join(random.choices(ALPHABET, k=KEY_CHARACTERS))


def tenants_json(count: int, random: Random) -> bytes:
    """Return the `tenants` of a document."""
    tenants = []
    for number in range(count):
        keys = ",".join(f'"{api_key(random)}"' for _ in range(KEYS_PER_TENANT))
        tenants.append(f'{{"name":"t{number:05d}x","api_keys":[{keys}],"priority":{number % 3}}}')
    return ("[" + ",".join(tenants) + "]").encode()


def with_tenants(count: int) -> bytes:
    """Return a configuration with that many tenants."""
    text = configuration_text(ROUTES, HOSTS, VERSION)
    return text[:-1] + b',"tenants":' + tenants_json(count, Random(count)) + b"}"


def lookup_us(index: TenantIndex, keys: list[bytes]) -> float:
    """Return the processor time of one look-up in us."""
    repeated = (keys * (LOOKUPS // len(keys) + 1))[:LOOKUPS]

    def find_all() -> None:
        for key in repeated:
            index.find(key)

    return 1000 * min_processor_ms(find_all) / LOOKUPS


def measure(count: int) -> dict[str, float]:
    """Return processor times in ms, sizes in KB, look-ups in us, and transfers in ms."""
    text = with_tenants(count)
    document = parse_document(text)
    tenants: list[TenantDocument] = document.tenants or []
    index, index_kb = measure_memory(lambda: TenantIndex(tenants))
    configuration, kept_kb = measure_memory(lambda: parse_configuration(text).unwrap())
    known = [key.encode() for tenant in tenants for key in tenant.api_keys]
    unknown = [api_key(Random(-number)).encode() for number in range(1, 1_000)]
    wire_bytes = len(encode_frame(ConfigurationUpdate(VERSION, text)))
    transfer_ms = 1000 * wire_bytes / LINK_BYTES_PER_S
    return {
        "text, KB": len(text) / 1000,
        "on the wire, KB": wire_bytes / 1000,
        "validated, ms": min_processor_ms(lambda: validate(document)),
        "indexed, ms": min_processor_ms(lambda: TenantIndex(tenants)),
        "parsed, ms": min_processor_ms(lambda: parse_configuration(text).unwrap(), 3),
        "parsed, same tenants, ms": min_processor_ms(lambda: parse_configuration(text, configuration).unwrap(), 3),
        "index, KB": index_kb,
        "memory with its text, KB": kept_kb,
        "look-up, known, us": lookup_us(index, known),
        "look-up, unknown, us": lookup_us(index, unknown),
        "at 2 Mbit/s, ms": transfer_ms,
        f"from {VOTERS} voters, ms": VOTERS * transfer_ms,
    }


def main() -> None:
    print(markdown_table("tenants", [(f"{count:,}", count, measure(count)) for count in SIZES]))


if __name__ == "__main__":
    main()
