"""The report of a rehearsal of the small gateway."""

import msgspec

WIRE_NAMES = {
    "faults": "losses",
    "requests": "asked",
    "rejected_but_ran": "promised_and_ran",
    "keys_with_two_owners": "held_twice",
    "keys_by_server": "holders",
}


class GatewayReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, rename=WIRE_NAMES):
    """The report as it is printed; only `ready` and `replaced` are given if the gateway never became ready.

    :param replaced: whether the replacement control member, which starts with empty storage, has become a voter.
    :param faults: descriptions of the injected faults, in order.
    :param answers: number of answers by HTTP status, 0 for no answer.
    """

    ready: bool
    ready_s: float | None = None
    faults: list[str] | None = None
    replaced: bool
    requests: int | None = None
    served: int | None = None
    answers: dict[int, int] | None = None
    run_twice: int | None = None
    rejected_but_ran: int | None = None
    keys_with_two_owners: int | None = None
    wrong_tenant: int | None = None
    keys_by_server: dict[str, int] | None = None
