"""The script of a soak's faults, drawn before the start: the same seed and form give the same script."""

from enum import Enum
from random import Random

import msgspec

from kestrelplank.rehearsal.soak_configuration_plan import ConfigurationPlan
from kestrelplank.rehearsal.soak_configurations import PlannedConfiguration
from kestrelplank.rehearsal.soak_terms import BOUNDS

START_S = 1.5  # how long a process may take to start, at the most that the script reckons with
FIRST_FAULT_S = 3.0
EPISODE_S, CALM_S = (5.0, 10.0), (6.0, 9.0)  # faults come in episodes, with calm between them
CLOSING_CALM_S = 8.0
FAULT_GAP_S = (0.1, 1.5)
CHANGE_GAP_S = (0.8, 3.0)
RACE_SHARE, INVALID_SHARE, LATE_RESEND_SHARE = 0.25, 0.2, 0.15
SURROUNDINGS_SHARE, SERVER_SHARE = 0.2, 0.5  # of faults outside the machines; of those, of servers
RESTART_S, FREEZE_S, OUTAGE_S = (0.1, 2.0), (0.2, 4.0), (0.5, 2.0)
PLATFORM_S = (1.0, 5.0)


class FaultKind(Enum):
    """A fault, a planned signal, or a change of configuration."""

    TERMINATE = "SIGTERM"
    RELOAD = "SIGHUP"
    KILL = "SIGKILL"
    FREEZE = "SIGSTOP"
    CORE_OUTAGE = "core_outage"
    CONFIGURE = "configure"
    RESEND = "resend"
    REPLACE_SERVER = "replace_server"
    PLATFORM_DOWN = "platform_down"
    PLATFORM_SLOW = "platform_slow"
    PLATFORM_BUSY = "platform_busy"
    PLATFORM_LOSES_ANSWERS = "platform_loses_answers"


PLATFORM_FAULTS = (
    FaultKind.PLATFORM_DOWN,
    FaultKind.PLATFORM_SLOW,
    FaultKind.PLATFORM_BUSY,
    FaultKind.PLATFORM_LOSES_ANSWERS,
)


class Fault(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the script.

    :param target: a machine, or the number of a server or of a control member that is called.
    :param duration_s: of a freeze or an outage; after an end, until the restart.
    :param version: of the configuration to send.
    """

    at_s: float
    kind: FaultKind
    target: str = ""
    duration_s: float = 0.0
    version: int = 0


class SoakForm(msgspec.Struct, frozen=True):
    """The size of a soak.

    :param load_per_s: about how many requests all clients send in a second.
    """

    minutes: float = 1.0
    members: int = 3
    edges: int = 3
    servers: int = 8
    load_per_s: float = 60.0
    with_tenants: bool = True

    @property
    def duration_s(self) -> float:
        """How long requests are sent, in seconds."""
        return self.minutes * 60

    @property
    def member_names(self) -> list[str]:
        """The control members."""
        return [f"control-{number}" for number in range(self.members)]

    @property
    def edge_names(self) -> list[str]:
        """The edges."""
        return [f"edge-{self.members + number}" for number in range(self.edges)]


class SoakScript(msgspec.Struct, frozen=True):
    """The faults in the order of their times, and the configurations that they send, the first one included."""

    seed: int
    faults: list[Fault]
    configurations: list[PlannedConfiguration]

    def configuration(self, version: int) -> PlannedConfiguration:
        """Return the configuration with that version."""
        return next(planned for planned in self.configurations if planned.version == version)


def draw_script(seed: int, form: SoakForm) -> SoakScript:
    """Draw the script of a soak."""
    return _ScriptWriter(Random(seed), form).write(seed)


class _ScriptWriter:
    """Draws faults, and keeps a majority of members and one edge up except in an outage of the core."""

    def __init__(self, random: Random, form: SoakForm) -> None:
        self._random, self._form = random, form
        self._plan = ConfigurationPlan(Random(random.getrandbits(64)), form.with_tenants)
        self._configurations = [self._plan.newest]
        self._faults: list[Fault] = []
        self._down_until = dict.fromkeys([*form.member_names, *form.edge_names], 0.0)

    def write(self, seed: int) -> SoakScript:
        """Return the script."""
        end_s = self._form.duration_s - CLOSING_CALM_S
        self._write_changes(end_s)
        at_s = FIRST_FAULT_S
        while at_s < end_s:
            episode_end_s = min(end_s, at_s + self._random.uniform(*EPISODE_S))
            self._write_episode(at_s, episode_end_s)
            at_s = episode_end_s + self._random.uniform(*CALM_S)
        self._faults.sort(key=lambda fault: fault.at_s)
        return SoakScript(seed, self._faults, self._configurations)

    def _seconds(self, bounds: tuple[float, float]) -> float:
        return round(self._random.uniform(*bounds), 3)

    # Changes of the configuration go on through episodes and calm.

    def _write_changes(self, end_s: float) -> None:
        at_s = 1.0
        while at_s < end_s:
            draw = self._random.random()
            if draw < INVALID_SHARE:
                self._send(at_s, self._invalid())
            elif draw < INVALID_SHARE + LATE_RESEND_SHARE:
                older = self._random.choice([c for c in self._configurations if c.defect is None])
                self._send(at_s, older.version, FaultKind.RESEND)
            else:
                self._send(at_s, self._valid())
                if self._random.random() < RACE_SHARE:  # the second operator, at the same time
                    self._send(at_s + self._seconds((0.0, 0.02)), self._valid())
            at_s = round(at_s + self._seconds(CHANGE_GAP_S), 3)

    def _valid(self) -> int:
        self._configurations.append(self._plan.next())
        return self._configurations[-1].version

    def _invalid(self) -> int:
        """Return the version of a new invalid document; no valid one has the same."""
        invalid = self._plan.next_invalid()
        self._configurations.append(invalid)
        self._plan.newest = msgspec.structs.replace(self._plan.newest, version=invalid.version)
        return invalid.version

    def _send(self, at_s: float, version: int, kind: FaultKind = FaultKind.CONFIGURE) -> None:
        member = self._random.choice(self._form.member_names)
        self._faults.append(Fault(round(at_s, 3), kind, member, version=version))

    # Episodes of faults.

    def _write_episode(self, at_s: float, end_s: float) -> None:
        scope = self._random.choice(["edges", "edges", "core", "all", "all", "outage"])
        if scope == "outage":
            self._write_outage(at_s)
            return
        while at_s < end_s:
            self._write_fault(at_s, scope)
            at_s = round(at_s + self._seconds(FAULT_GAP_S), 3)

    def _write_outage(self, at_s: float) -> None:
        duration_s = self._seconds(OUTAGE_S)
        self._faults.append(Fault(at_s, FaultKind.CORE_OUTAGE, duration_s=duration_s))
        for name in self._form.member_names:
            self._down_until[name] = max(self._down_until[name], at_s + duration_s + START_S)

    def _write_fault(self, at_s: float, scope: str) -> None:
        if self._random.random() < SURROUNDINGS_SHARE:
            self._write_surroundings(at_s)
            return
        edges, members = self._form.edge_names, self._form.member_names
        machine = self._random.choice({"edges": edges, "core": members, "all": edges + members}[scope])
        kinds = [FaultKind.TERMINATE, FaultKind.TERMINATE, FaultKind.RELOAD, FaultKind.KILL, FaultKind.FREEZE]
        kind = self._random.choice(kinds)
        duration_s = self._seconds(FREEZE_S if kind is FaultKind.FREEZE else RESTART_S)
        if kind is FaultKind.RELOAD:
            self._faults.append(Fault(at_s, kind, machine))
        elif self._may_go_down(machine, at_s):
            self._faults.append(Fault(at_s, kind, machine, duration_s))
            self._down_until[machine] = max(self._down_until[machine], at_s + _longest_s(kind, duration_s))

    def _may_go_down(self, machine: str, at_s: float) -> bool:
        """Whether enough machines of its kind stay up beside it."""
        names = self._form.edge_names if machine in self._form.edge_names else self._form.member_names
        down = [name for name in names if name != machine and self._down_until[name] > at_s]
        limit = len(names) - 1 if machine in self._form.edge_names else (len(names) - 1) // 2
        return len(down) + 1 <= limit

    def _write_surroundings(self, at_s: float) -> None:
        """Write the replacement of a server, or trouble at the platform."""
        if self._random.random() < SERVER_SHARE:
            number = self._random.randrange(self._form.servers)
            self._faults.append(Fault(at_s, FaultKind.REPLACE_SERVER, str(number)))
        else:
            kind = self._random.choice(PLATFORM_FAULTS)
            self._faults.append(Fault(at_s, kind, duration_s=self._seconds(PLATFORM_S)))


def _longest_s(kind: FaultKind, duration_s: float) -> float:
    """Return how long a machine may be down because of a fault."""
    if kind is FaultKind.FREEZE:
        return duration_s
    grace_s = BOUNDS.grace_s if kind is FaultKind.TERMINATE else 0.0
    return grace_s + duration_s + START_S
