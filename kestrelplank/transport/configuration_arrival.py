"""How the newest configuration reached an edge machine, for its log."""

from enum import StrEnum
from typing import NamedTuple


class Delivery(StrEnum):
    """Why a control member sent the configuration."""

    PUSH = "push"  # it had just come into force at the leader
    ANSWER = "answer"  # the edge machine's heartbeat showed an older one


class ConfigurationArrival(NamedTuple):
    """The arrival of the configuration that is in force at an edge machine.

    :param member: control address of the sender.
    :param former_confirmed_ns: time since this machine sent the last heartbeat whose answer confirmed its former
        configuration, so the new one has been in force for at most about this long; None: none was ever confirmed.
    """

    version: int
    member: str
    delivery: Delivery
    former_confirmed_ns: int | None
