"""Measures failure detection between conductors: detection time, false detections and bytes sent, by datagram loss.

Simulated: `state/membership` on a clock of this file.

    python benchmarks/membership.py [--runs 20]
"""

import argparse
from random import Random

from kestrelplank.state.membership import DetectorSettings, Liveness, Membership
from kestrelplank.state.membership_datagram import ZoneSums
from kestrelplank.time_units import MILLISECOND, SECOND

STEP = 10 * MILLISECOND
DELAY_RANGE_NS = 3 * MILLISECOND, 25 * MILLISECOND


def simulate(count: int, loss: float, seed: int, fault_free_ns: int) -> tuple[list[int], int, float]:
    """Simulate a cluster in which member 0 stops after 3 s of start-up and `fault_free_ns` without a fault.

    Returns the detection times of the other members in ns, the number of false detections before the failure (one
    for each change to DEAD), and the bytes a second that one member sends to one other.
    """
    random, now, sequence, sent_bytes = Random(seed), 0, 0, 0
    members = {number: Membership(0, number, 1, count, DetectorSettings()) for number in range(count)}
    for member in members.values():
        member.set_zone_sums([ZoneSums(zone, 100, 200, 5) for zone in range(3)])
    in_flight: list[tuple] = []
    false_detections, detected, failed_at, considered_dead = 0, {}, 3 * SECOND + fault_free_ns, {}
    while len(detected) < count - 1 and now < failed_at + 60 * SECOND:
        now += STEP
        for number, member in members.items():
            body = member.tick(now) if number or now < failed_at else None
            if body is not None:
                sent_bytes += len(body) if now < failed_at else 0
                for to in members:
                    if to != number and random.random() >= loss:
                        sequence += 1
                        in_flight.append((now + random.randint(*DELAY_RANGE_NS), sequence, to, body))
        due = sorted(datagram for datagram in in_flight if datagram[0] <= now)
        in_flight = [datagram for datagram in in_flight if datagram[0] > now]
        for _, _, to, body in due:
            members[to].receive(now, body)
        if now % (50 * MILLISECOND):
            continue
        for number, member in members.items():
            if now < failed_at:
                for other in members:
                    is_dead = member.liveness(now, other) == Liveness.DEAD
                    false_detections += is_dead and not considered_dead.get((number, other), False) and now > 3 * SECOND
                    considered_dead[number, other] = is_dead
            elif number and number not in detected and member.liveness(now, 0) == Liveness.DEAD:
                detected[number] = now - failed_at
    return sorted(detected.values()), false_detections, sent_bytes / count / (failed_at / SECOND)


def main(runs: int) -> None:
    print(
        f"{'conductors':>10} {'loss':>5}  {'detected: p50':>16} {'p90':>6} {'latest':>7}  {'false per hour':>14}"
        f" {'bytes/s':>8}"
    )
    for count in (2, 3, 8, 40):
        for loss in (0.0, 0.1, 0.2, 0.3, 0.4):
            times, false_detections, rate, fault_free_ns = [], 0, 0.0, 30 * SECOND
            run_count = max(1, runs if count < 40 else runs // 10)
            for seed in range(run_count):
                detection_times, false_in_run, rate = simulate(
                    count, loss, seed, fault_free_ns if count < 40 else 5 * SECOND
                )
                times += detection_times
                false_detections += false_in_run
            times.sort()
            hours = run_count * (fault_free_ns if count < 40 else 5 * SECOND) / 3600 / SECOND
            percentiles = [
                times[min(len(times) - 1, len(times) * percent // 100)] / SECOND for percent in (50, 90, 100)
            ]
            print(
                f"{count:>10} {loss:>5.0%}  {percentiles[0]:>14.2f} s {percentiles[1]:>4.2f} s "
                f"{percentiles[2]:>5.2f} s  "
                f"{false_detections / hours:>14.1f} {rate:>8.0f}",
                flush=True,
            )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--runs", type=int, default=20)
    main(parser.parse_args().runs)
