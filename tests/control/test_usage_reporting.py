"""Usage reports of simulated members and edges under failures; `usage_simulation` checks each call."""

from random import Random

import pytest
from control.simulation import NAMES
from control.usage_simulation import POLICY, UsageSimulation

from kestrelplank.time_units import MILLISECOND, SECOND

FIVE = tuple(f"10.0.0.{number}:80" for number in range(1, 6))


def running(seed=1, seconds=12, **options):
    system = UsageSimulation(seed, **options)
    system.start_up()
    system.run_for(seconds)
    return system


def align(system, after_window_start_s):
    """Run until that time after the start of the next window, in true time."""
    position = system.true_time() % POLICY.interval_ns
    system.run_for((POLICY.interval_ns - position) / SECOND + after_window_start_s)


def test_every_window_is_reported_in_time_and_exactly_without_failures():
    system = running(seconds=30)
    system.check_reports(tolerance=0)
    assert len(system.due_windows()) >= 3
    late = [system.lateness_ns(window) for window in system.due_windows()]
    assert max(late) <= 3 * SECOND
    calls = [call.window for _, _, call in system.platform.calls]
    assert len(calls) == len(set(calls))  # no call more than needed


def test_windows_follow_true_time_though_some_clocks_are_wrong_and_step():
    errors = {"edge-0": 2 * SECOND, "edge-1": -2 * SECOND, "10.0.0.1:80": 2 * SECOND}
    system = running(edges=7, clock_errors=errors)
    system.run_for(10)
    system.clock_errors = {"edge-2": -2 * SECOND, "edge-3": 2 * SECOND, "10.0.0.2:80": -2 * SECOND}
    system.run_for(10)
    system.clock_errors = {}
    system.run_for(15)
    system.check_reports(tolerance=0)


def test_only_the_holder_of_the_role_reports():
    system = running()
    holder = system.holder()
    call_count = len(system.platform.calls)
    system.run_for(10)
    assert call_count < len(system.platform.calls)
    assert {name for _, name, _ in system.platform.calls} == {holder}


@pytest.mark.parametrize("after_s", [0.5, 4.9, 1.0, 2.5])
def test_a_window_has_one_content_though_leader_and_holder_are_killed_together(after_s):
    """Guards against: the next leader counts a window anew that was sent already (ONE)."""
    system = running(names=FIVE)
    align(system, after_s)
    for name in dict.fromkeys((system.leader(), system.holder())):
        system.kill(name)
        system.schedule(3 * SECOND, system.start, name)
    system.run_for(25)
    system.check_reports(tolerance=0)


@pytest.mark.parametrize("after_s", [0.2, 1.0, 4.0])
def test_counts_survive_a_loss_of_power_of_all_members(after_s):
    system = running()
    align(system, after_s)
    for name in NAMES:
        system.kill(name)
    system.run_for(2)
    for name in NAMES:
        system.start(name)
    system.run_for(25)
    system.check_reports(tolerance=0)


def test_the_counts_of_a_killed_edge_are_kept_up_to_its_last_message():
    system = running(edges=8)
    align(system, 2.0)
    system.kill_edge("edge-3")
    system.schedule(2 * SECOND, system.start_edge, "edge-3")
    system.run_for(20)
    system.check_reports(tolerance=0.05)


def test_an_edge_restarted_twice_in_a_window_counts_all_its_processes():
    system = running(edges=8)
    align(system, 0.1)
    for _ in range(2):
        system.stop_edge("edge-2", restart=True)
        system.run_for(2)
    system.run_for(20)
    system.check_reports(tolerance=0)


def test_a_window_does_not_wait_for_an_edge_that_has_stopped():
    system = running()
    align(system, 2.0)
    window = system.true_time() // POLICY.interval_ns
    system.stop_edge("edge-1")
    system.run_for(15)
    system.check_reports(tolerance=0)
    assert system.lateness_ns(window) <= 3 * SECOND


@pytest.mark.parametrize("after_s", [0.0, 1.5, 3.5])
def test_the_counts_of_an_edge_that_is_cut_off_for_5_5_s_arrive_in_time(after_s):
    system = running()
    align(system, after_s)
    system.cut_edges.add("edge-0")
    system.run_for(5.5)
    system.cut_edges.clear()
    system.run_for(20)
    system.check_reports(tolerance=0)


def test_a_frozen_edge_counts_in_the_right_windows_after_its_thaw():
    system = running()
    align(system, 1.0)
    system.frozen["edge-0"] = system.now + 6 * SECOND
    system.run_for(25)
    system.check_reports(tolerance=0)


def test_a_holder_frozen_beyond_its_lease_is_replaced_and_its_calls_are_harmless():
    system = running()
    align(system, 0.6)
    holder = system.holder()
    system.frozen[holder] = system.now + 4 * SECOND
    system.run_for(25)
    system.check_reports(tolerance=0)
    assert len({name for _, name, _ in system.platform.calls}) >= 2


def test_a_lost_answer_is_followed_by_the_same_content():
    system = running()
    system.platform.mode = "answers lost"
    system.run_for(12)
    system.platform.mode = "up"
    system.run_for(15)
    system.check_reports(tolerance=0)


def test_a_backlog_is_sent_once_the_platform_is_back():
    system = running(seconds=5)
    system.platform.mode = "down"
    system.run_for(30)
    system.platform.mode = "up"
    system.run_for(15)
    assert all(system.reported(window) == system.truth[window] for window in system.due_windows())


def test_throttled_calls_are_repeated_and_few():
    system = running()
    system.platform.mode, call_count = "throttled", len(system.platform.calls)
    system.run_for(60)
    assert len(system.platform.calls) - call_count <= 40
    system.platform.mode = "up"
    system.run_for(25)
    assert all(system.reported(window) == system.truth[window] for window in system.due_windows())


def test_a_holder_that_does_not_reach_the_platform_gives_the_role_up():
    system = running()
    holder = system.holder()
    system.partitions.add(frozenset((holder, "platform")))
    system.run_for(30)
    assert system.holder() != holder
    assert all(system.reported(window) == system.truth[window] for window in system.due_windows())


def test_a_stopping_holder_hands_over_without_a_late_report():
    system = running()
    system.start("10.0.0.4:80")
    system.run_for(3)
    align(system, 0.3)
    system.stop(system.holder())
    system.run_for(25)
    system.check_reports(tolerance=0)


def test_the_ledger_is_bounded_by_marks_of_what_was_reported():
    system = running(seconds=40)
    for member in system.members.values():
        assert len(member.state.usage.unreported) <= 2


def test_status_shows_windows_and_lateness():
    system = running(seconds=30)
    status = system.members[system.leader()].status(system.now).usage
    assert status.fixed_through >= system.due_windows()[-1]
    assert status.unreported <= 1 and status.edges == 4 and (status.overdue_s or -1) < 0
    system.platform.mode = "down"
    system.run_for(20)
    status = system.members[system.leader()].status(system.now).usage
    assert status.unreported >= 3 and status.overdue_s > 0


@pytest.mark.parametrize("seed", range(6))
def test_random_failures_cause_no_second_content_and_lose_no_window(seed):
    system, random = running(seed, names=FIVE, edges=5), Random(seed)
    for _ in range(12):
        failure = random.randrange(6)
        name, edge = random.choice(list(system.members)), random.choice(list(system.edges))
        if failure == 0 and len(system.members) == len(FIVE):
            system.kill(name)
            system.schedule(random.randrange(1, 4) * SECOND, system.start, name)
        elif failure == 1:
            system.frozen[name] = system.now + random.randrange(500, 4000) * MILLISECOND
        elif failure == 2:
            system.kill_edge(edge)
            system.start_edge(edge)
        elif failure == 3:
            system.platform.mode = random.choice(("down", "answers lost", "throttled", "up"))
        elif failure == 4:
            system.clock_errors = {edge: 2 * SECOND, name: -2 * SECOND}
        else:
            system.partitions = {frozenset((name, other)) for other in FIVE if other != name}
        system.run_for(random.randrange(500, 4000) / 1000)
        system.partitions = set()
    system.platform.mode = "up"
    system.run_for(30)
    missing = [window for window in system.due_windows() if system.reported(window) is None]
    assert missing == []
