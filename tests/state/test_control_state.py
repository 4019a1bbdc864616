"""The replicated state machine must reach the expected state for each sequence of entries."""

from random import Random

import msgspec
import pytest
from configuration.test_parsing import encoded
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.consensus.log_entries import (
    AssignRole,
    ChangeMembership,
    Entry,
    Noop,
    PutConfiguration,
    PutRecord,
)
from kestrelplank.consensus.membership import Membership
from kestrelplank.decode import MalformedError
from kestrelplank.state.control_state import NO_CHANGE, REMOVED_RECORD, ApplyResult, ControlState
from kestrelplank.state.role_table import RoleAssignment

MEMBERS = ChangeMembership(Membership(2, ("a:1/first", "b:1/first")))


def order(version, sharded=("views",), mark=""):
    """Return an order that shards the services in `sharded`; `mark` makes another text of the same version."""
    services = [{"name": name, "sharded": name in sharded} for name in ("views", "orders", "carts")]
    text = encoded(version=f"{version:08x}", service_table=services) + mark.encode()
    return PutConfiguration(version, parse_configuration(text).unwrap().key.digest, text)


def applied(*commands):
    state = ControlState()
    results = [state.apply(Entry(index, 1, command)) for index, command in enumerate(commands, 1)]
    return state, results


FIVE, OTHER_FIVE, SEVEN = order(5), order(5, mark=" "), order(7)
BOTH_SHARDED, NONE_SHARDED = order(6, ("views", "orders")), order(8, ())
VIEWS, VIEWS_2, ORDERS = PutRecord("views", b"v"), PutRecord("views", b"v2"), PutRecord("orders", b"o")
MALFORMED_SEVEN = PutConfiguration(7, "d", b"{")
ORDERS_2, ORDERS_REMOVED = PutRecord("orders", b"o2"), PutRecord("orders", REMOVED_RECORD)


@pytest.mark.parametrize(
    "commands, in_force, records, last_result",
    [
        # before the first configuration
        ([], None, {}, None),
        ([Noop()], None, {}, NO_CHANGE),
        ([MEMBERS], None, {}, NO_CHANGE),
        ([VIEWS], None, {}, NO_CHANGE),
        # configurations
        ([FIVE], FIVE, {}, ApplyResult(in_force=FIVE)),
        ([FIVE, SEVEN], SEVEN, {}, ApplyResult(in_force=SEVEN)),
        ([SEVEN, FIVE], SEVEN, {}, NO_CHANGE),
        ([FIVE, FIVE], FIVE, {}, NO_CHANGE),
        ([FIVE, OTHER_FIVE], FIVE, {}, NO_CHANGE),
        ([OTHER_FIVE, FIVE], OTHER_FIVE, {}, NO_CHANGE),
        ([FIVE, SEVEN, OTHER_FIVE], SEVEN, {}, NO_CHANGE),
        ([order(0)], order(0), {}, ApplyResult(in_force=order(0))),
        # records
        ([FIVE, VIEWS], FIVE, {"views": b"v"}, ApplyResult(recorded_service="views")),
        ([FIVE, VIEWS, VIEWS_2], FIVE, {"views": b"v2"}, ApplyResult(recorded_service="views")),
        ([FIVE, ORDERS], FIVE, {}, NO_CHANGE),
        ([FIVE, PutRecord("nobody", b"n")], FIVE, {}, NO_CHANGE),
        ([FIVE, VIEWS, Noop(), MEMBERS], FIVE, {"views": b"v"}, NO_CHANGE),
        ([FIVE, ORDERS_REMOVED], FIVE, {}, NO_CHANGE),
        # a configuration that no longer shards a service keeps its record
        ([FIVE, VIEWS, SEVEN], SEVEN, {"views": b"v"}, ApplyResult(in_force=SEVEN)),
        (
            [BOTH_SHARDED, VIEWS, ORDERS, NONE_SHARDED],
            NONE_SHARDED,
            {"views": b"v", "orders": b"o"},
            ApplyResult(in_force=NONE_SHARDED),
        ),
        ([BOTH_SHARDED, VIEWS, ORDERS, FIVE], BOTH_SHARDED, {"views": b"v", "orders": b"o"}, NO_CHANGE),
        ([BOTH_SHARDED, ORDERS, NONE_SHARDED, order(9, ("orders",))], order(9, ("orders",)), {"orders": b"o"}, None),
        (  # it was proposed before the configuration was known to be in force
            [BOTH_SHARDED, ORDERS, SEVEN, ORDERS_2],
            SEVEN,
            {"orders": b"o2"},
            ApplyResult(recorded_service="orders"),
        ),
        ([BOTH_SHARDED, ORDERS, SEVEN, ORDERS_REMOVED], SEVEN, {}, ApplyResult(removed_service="orders")),
        ([BOTH_SHARDED, ORDERS, SEVEN, ORDERS_REMOVED, ORDERS_2], SEVEN, {}, NO_CHANGE),
        (
            [BOTH_SHARDED, ORDERS, SEVEN, order(9, ("orders",)), ORDERS_REMOVED],
            order(9, ("orders",)),
            {"orders": b"o"},
            NO_CHANGE,
        ),
        ([BOTH_SHARDED, ORDERS, MALFORMED_SEVEN, ORDERS_REMOVED], MALFORMED_SEVEN, {"orders": b"o"}, NO_CHANGE),
        ([NONE_SHARDED, order(9), VIEWS], order(9), {"views": b"v"}, ApplyResult(recorded_service="views")),
    ],
)
def test_entries_result_in_the_expected_state(commands, in_force, records, last_result):
    state, results = applied(*commands)
    assert state.configuration == in_force and state.records == records
    assert last_result is None or results[-1] == last_result
    assert state.version == (-1 if in_force is None else in_force.version)


# Guards against two holders of a key: the keys of a service that came back were granted anew beside running leases.
@pytest.mark.parametrize("restored", [False, True])
def test_record_of_a_service_that_left_the_configuration_stays_until_it_is_removed(restored):
    state, _ = applied(BOTH_SHARDED, ORDERS, SEVEN)
    if restored:
        snapshot, state = state.snapshot(), ControlState()
        state.restore(snapshot)
    assert state.records == {"orders": b"o"}
    state.apply(Entry(4, 1, order(8, ("orders",))))
    assert state.records == {"orders": b"o"}
    state.apply(Entry(5, 1, order(9, ())))
    state.apply(Entry(6, 1, ORDERS_REMOVED))
    assert state.records == {}


@pytest.mark.parametrize(
    "result, changed",
    [
        (NO_CHANGE, False),
        (ApplyResult(in_force=FIVE), True),
        (ApplyResult(recorded_service="views"), True),
        (ApplyResult(removed_service="views"), True),
    ],
)
def test_result_reports_whether_the_entry_changed_anything(result, changed):
    assert result.changed is changed


@pytest.mark.parametrize(
    "commands, requested, expected",
    [
        ([], FIVE, False),
        ([], order(0), False),
        ([FIVE], FIVE, True),
        ([FIVE], OTHER_FIVE, True),
        ([SEVEN], FIVE, True),
        ([FIVE], SEVEN, False),
        ([FIVE, SEVEN], SEVEN, True),
    ],
)
def test_order_is_decided_once_it_is_in_force_or_superseded(commands, requested, expected):
    assert applied(*commands)[0].is_decided(requested) is expected


def test_configuration_in_force_is_parsed_once_per_version():
    state, _ = applied(FIVE)
    assert state.parsed.key.version == 5 and state.parsed.text == FIVE.text
    assert state.parsed is state.parsed
    state.apply(Entry(2, 1, SEVEN))
    assert state.parsed.key.version == 7


def test_the_next_version_reuses_the_index_of_an_unchanged_tenant_list():
    def tenants_order(version, *tenants):
        text = encoded(version=f"{version:08x}", tenants=list(tenants))
        return PutConfiguration(version, parse_configuration(text).unwrap().key.digest, text)

    first, second = {"name": "acme", "api_keys": ["first"]}, {"name": "acme", "api_keys": ["second"]}
    state, _ = applied(tenants_order(5, first))
    index = state.parsed.tenants
    state.apply(Entry(2, 1, tenants_order(6, first)))
    assert state.parsed.key.version == 6 and state.parsed.tenants is index
    state.apply(Entry(3, 1, tenants_order(7, second)))
    assert state.parsed.tenants is not index and state.parsed.tenants.find(b"first") is None


def test_unparsable_configuration_is_in_force_and_drops_no_record():
    state, _ = applied(FIVE, VIEWS, PutConfiguration(6, "d", b"{not whole"))
    assert state.version == 6 and state.parsed is None and state.records == {"views": b"v"}
    state.apply(Entry(4, 1, SEVEN))
    assert state.parsed.key.version == 7 and state.records == {"views": b"v"}


def test_records_are_read_only_for_callers():
    state, _ = applied(FIVE, VIEWS)
    with pytest.raises(TypeError):
        state.records["views"] = b"other"


HISTORIES = [
    [],
    [FIVE],
    [FIVE, VIEWS],
    [BOTH_SHARDED, VIEWS, ORDERS],
    [BOTH_SHARDED, VIEWS, ORDERS, NONE_SHARDED],
    [PutConfiguration(6, "d", b"{not whole"), VIEWS],
]


@pytest.mark.parametrize("commands", HISTORIES)
def test_snapshot_contains_the_complete_state(commands):
    state, _ = applied(*commands)
    for target in (ControlState(), applied(BOTH_SHARDED, VIEWS, PutRecord("orders", b"stale"))[0]):
        target.restore(state.snapshot())
        assert target.configuration == state.configuration and target.records == state.records
        assert target.snapshot() == state.snapshot()
        assert (target.parsed is None) == (state.parsed is None)
        for index, command in enumerate((ORDERS, VIEWS_2, order(9, ("orders",)), FIVE), 9):
            target.apply(Entry(index, 2, command))
        expected, _ = applied(*commands, ORDERS, VIEWS_2, order(9, ("orders",)), FIVE)
        assert target.snapshot() == expected.snapshot()


def test_snapshot_bytes_do_not_depend_on_the_order_of_records():
    assert applied(BOTH_SHARDED, VIEWS, ORDERS)[0].snapshot() == applied(BOTH_SHARDED, ORDERS, VIEWS)[0].snapshot()


@pytest.mark.parametrize(
    "snapshot, message",
    [
        (b"", "snapshot"),
        (b"\xc1", "snapshot"),
        (msgspec.msgpack.encode([2, None, []]), "format version 2"),
        (msgspec.msgpack.encode([1, None, [["views"]]]), "snapshot"),
        (msgspec.msgpack.encode([1, 5, []]), "snapshot"),
    ],
)
def test_undecodable_snapshot_changes_nothing(snapshot, message):
    state, _ = applied(FIVE, VIEWS)
    before = state.snapshot()
    with pytest.raises(MalformedError, match=message):
        state.restore(snapshot)
    assert state.snapshot() == before and state.parsed.key.version == 5


def test_truncated_snapshot_is_rejected_at_any_length():
    state, _ = applied(BOTH_SHARDED, VIEWS, ORDERS)
    snapshot = state.snapshot()
    for end in range(len(snapshot)):
        with pytest.raises(MalformedError):
            ControlState().restore(snapshot[:end])


def test_newest_assignment_of_each_role_survives_a_snapshot():
    state = ControlState()
    for index, holder in enumerate(("a:1/x", "b:1/x", "a:1/y"), 5):
        state.apply(Entry(index, 1, AssignRole("usage_report", 0, holder, 9, True)))
    state.apply(Entry(8, 1, AssignRole("probe", 1, "b:1/x", 9, False)))
    restored = ControlState()
    restored.restore(state.snapshot())
    assert list(restored.roles.assignments.values()) == [
        RoleAssignment("probe", 1, "b:1/x", 9, 8, False),
        RoleAssignment("usage_report", 0, "a:1/y", 9, 7, True),
    ]
    assert restored.snapshot() == state.snapshot()


def test_snapshot_without_roles_has_the_bytes_of_older_releases_and_clears_the_roles():
    without = applied(BOTH_SHARDED, VIEWS)[0].snapshot()
    assert len(msgspec.msgpack.decode(without)) == 3
    state = ControlState()
    state.apply(Entry(5, 1, AssignRole("usage_report", 0, "a:1/x", 9, True)))
    state.restore(without)
    assert not state.roles.assignments


@given(some.integers(0, 1 << 32), some.integers(0, 30))
def test_version_never_decreases_and_state_stays_bounded(seed, cut):
    random = Random(seed)
    choices = [
        Noop(),
        MEMBERS,
        VIEWS,
        VIEWS_2,
        ORDERS,
        ORDERS_REMOVED,
        PutRecord("carts", b"c"),
        AssignRole("usage_report", 0, "a:1/x", 9, True),
        FIVE,
        OTHER_FIVE,
        BOTH_SHARDED,
        SEVEN,
        NONE_SHARDED,
    ]
    commands = [random.choice(choices) for _ in range(30)]
    state, restored = ControlState(), ControlState()
    first_texts = {}
    for index, command in enumerate(commands, 1):
        before, recorded_before = state.version, set(state.records)
        state.apply(Entry(index, 1, command))
        if index == cut:
            restored.restore(state.snapshot())
        elif index > cut:
            restored.apply(Entry(index, 1, command))
        assert state.version >= before
        if state.configuration:
            assert first_texts.setdefault(state.version, state.configuration) == state.configuration
            sharded = {name for name, service in state.parsed.services.items() if service.sharded}
            kept = recorded_before - sharded
            assert set(state.records) - sharded == (kept - {"orders"} if command is ORDERS_REMOVED else kept)
    assert restored.snapshot() == state.snapshot()
