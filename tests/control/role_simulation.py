"""A simulation of control members with singleton roles, and a platform that checks the fencing tokens of their calls."""

from dataclasses import replace

from control.simulation import NAMES, Simulation

from kestrelplank.roles.role_names import USAGE_REPORT
from kestrelplank.time_units import SECOND

LEASE_NS = 3 * SECOND


class RolePlatform:
    """Accepts calls whose token is not lower than one that it saw, and checks the rules of the platform."""

    def __init__(self):
        self.highest_token = 0
        self.caller_by_token = {}
        self.last_call = None  # (name, time)
        self.last_call_before_another = {}  # by name

    def call(self, now, name, process, token):
        """Return whether the call is accepted."""
        if token < self.highest_token:
            return False
        assert self.caller_by_token.setdefault(token, process) == process, "one token, two processes"
        self.highest_token = token
        if self.last_call is not None and self.last_call[0] != name:
            self.last_call_before_another[self.last_call[0]] = self.last_call[1]
            before = self.last_call_before_another.get(name)
            assert before is None or now - before > LEASE_NS, f"{name} acts after another within the lease"
        self.last_call = (name, now)
        return True


class RoleSimulation(Simulation):
    """Each member that may act calls the platform in each step of 10 ms."""

    def __init__(self, seed, names=NAMES, losses=1, roles=(USAGE_REPORT,)):
        self.roles, self.platforms = roles, {role: RolePlatform() for role in roles}
        self.gaps, self.without_holder_since = [], {}
        super().__init__(seed, names=names, losses=losses)

    def profile(self, name, seeds=None):
        return replace(super().profile(name, seeds), roles=self.roles, role_lease_ns=LEASE_NS)

    def token(self, name, role=USAGE_REPORT):
        if name in self.frozen or name not in self.members:
            return None
        return self.members[name].role_token(self.now, role)

    def holder(self, role=USAGE_REPORT):
        """The member that may act."""
        return next((name for name in self.members if self.token(name, role) is not None), None)

    def step(self):
        super().step()
        for role, platform in self.platforms.items():
            acting = [name for name in self.members if self.token(name, role) is not None]
            assert len(acting) <= 1, (role, acting)
            for name in acting:
                process = self.members[name].identity, self.starts[name]
                if not platform.call(self.now, name, process, self.token(name, role)):
                    raise AssertionError(f"{name} may act in {role}, and its token is refused")
            if not acting:
                self.without_holder_since.setdefault(role, self.now)
            elif role in self.without_holder_since:
                self.gaps.append((self.now - self.without_holder_since.pop(role)) / SECOND)

    def run_until(self, condition, seconds=15):
        """Run until the condition holds; return the seconds it took."""
        begun_at = self.now
        while not condition():
            assert self.now - begun_at < seconds * SECOND, "not reached in time"
            self.step()
        return (self.now - begun_at) / SECOND

    def start_with_holder(self):
        self.start_up()
        self.run_until(self.holder)
        return self.holder()

    def assignments(self):
        """The lines about assignments."""
        return [text for _, _, text in self.log_lines if "assigned to" in text]
