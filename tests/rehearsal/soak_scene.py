"""Records of a soak in which nothing is wrong, for tests that plant one breach each."""

from kestrelplank.rehearsal.soak_configurations import PlannedConfiguration, PlannedRoute, PlannedTenant
from kestrelplank.rehearsal.soak_records import (
    ClientAttempt,
    ConfigurationCall,
    Disturbance,
    Ending,
    ServerCall,
    SoakRecords,
)
from kestrelplank.rehearsal.soak_server import digest

EDGE, MEMBERS = "edge-3", ["control-0", "control-1", "control-2"]
TENANTS = (PlannedTenant("ana", ("key-a",)), PlannedTenant("bo", ("key-b", "key-c")))
ROUTES = (
    PlannedRoute("/orders/", "non_idempotent", {"orders": 1}),
    PlannedRoute("/views/", "idempotent", {"views": 1}),
)
FIRST = PlannedConfiguration(1, ROUTES, TENANTS)


def calm_records():
    """Records of a minute with one configuration."""
    records = SoakRecords(members=MEMBERS, edges=[EDGE], ended_at=60.0)
    acknowledge(records, FIRST, at=0.0)
    return records


def acknowledge(records, planned, at):
    """The configuration was sent, and acknowledged 0.1 s later."""
    records.configurations.append(ConfigurationCall(planned, MEMBERS[0], at, at + 0.1, 200))


def attempt(records, at, path="/orders/1", key="key-a", ending=Ending.ANSWERED, status=200, took=0.1, **fields):
    """An attempt that was sent at that time; `fields` change its record."""
    name = f"a{len(records.attempts)}"
    record = ClientAttempt(name, EDGE, "POST", path, digest(b""), False, key, 2.0, at, at, at + took, ending, status)
    if ending is Ending.ANSWERED and status == 200:
        record.seal, record.answered_id, record.answer_body = "seal", name, b"body of " + name.encode()
    for field, value in fields.items():
        setattr(record, field, value)
    records.attempts[name] = record
    return record


def run(records, of, server="orders-0", service="orders", tenant="ana", executed=True, **fields):
    """The attempt arrived at a server, which answered; `fields` change the record."""
    call = ServerCall(
        of.attempt_id,
        server,
        service,
        of.sent_from + 0.01,
        of.method,
        of.path,
        of.body_digest,
        (tenant,),
        False,
        executed,
    )
    call.status, call.answer_body, call.ended_at = 200, b"body of " + of.attempt_id.encode(), of.sent_from + 0.05
    for field, value in fields.items():
        setattr(call, field, value)
    records.calls.setdefault(of.attempt_id, []).append(call)
    return call


def served(records, at, **fields):
    """An attempt that was served."""
    record = attempt(records, at, **fields)
    run(records, record)
    return record


def disturb(records, machine, kind, start, end):
    """Trouble or planned work on a machine."""
    records.disturbances.append(Disturbance(machine, kind, start, end))
