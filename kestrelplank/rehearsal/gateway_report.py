"""What a rehearsal of the small gateway has shown."""

import msgspec

WIRE_NAMES = {
    "faults": "losses",
    "requests": "asked",
    "rejected_but_ran": "promised_and_ran",
    "keys_with_two_owners": "held_twice",
    "keys_by_server": "holders",
}


class GatewayReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, rename=WIRE_NAMES):
    """The report as it is printed; what follows `ready` and `replaced` is left out where the gateway never was ready.

    :param replaced: the control member that came with empty storage votes.
    :param faults: what was done to the gateway, in order.
    :param answers: by HTTP status, 0 where no answer came.
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
    keys_by_server: dict[str, int] | None = None
