"""How soon conductors see a death, how often one that is none, over the loss of datagrams; and what the
talk costs. Simulated: the cores of `state/membership` on a clock of this file.

    python benchmarks/membership.py [--runs 20]
"""

import argparse
from random import Random

from kestrelplank.state.membership import DetectorSettings, Liveness, Membership
from kestrelplank.state.membership_datagram import ZoneSums
from kestrelplank.time_units import MILLISECOND, SECOND

STEP = 10 * MILLISECOND
LATE = 3 * MILLISECOND, 25 * MILLISECOND


def run(count: int, loss: float, seed: int, quiet: int) -> tuple[list[int], int, float]:
    """Until each of the others has seen the death of member 0 (ns after it); false deaths seen by anybody in the
    `quiet` ns before, counted once a judgement that begins; and bytes a second that one member sends to one other."""
    random, now, order, sent = Random(seed), 0, 0, 0
    members = {number: Membership(0, number, 1, count, DetectorSettings()) for number in range(count)}
    for member in members.values():
        member.set_zone_sums([ZoneSums(zone, 100, 200, 5) for zone in range(3)])
    under_way: list[tuple] = []
    false, seen, dead_at, thought = 0, {}, 3 * SECOND + quiet, {}
    while len(seen) < count - 1 and now < dead_at + 60 * SECOND:
        now += STEP
        for number, member in members.items():
            body = member.tick(now) if number or now < dead_at else None
            if body is not None:
                sent += len(body) if now < dead_at else 0
                for to in members:
                    if to != number and random.random() >= loss:
                        order += 1
                        under_way.append((now + random.randint(*LATE), order, to, body))
        due = sorted(one for one in under_way if one[0] <= now)
        under_way = [one for one in under_way if one[0] > now]
        for _, _, to, body in due:
            members[to].receive(now, body)
        if now % (50 * MILLISECOND):
            continue
        for number, member in members.items():
            if now < dead_at:
                for other in members:
                    is_dead = member.liveness(now, other) == Liveness.DEAD
                    false += is_dead and not thought.get((number, other), False) and now > 3 * SECOND
                    thought[number, other] = is_dead
            elif number and number not in seen and member.liveness(now, 0) == Liveness.DEAD:
                seen[number] = now - dead_at
    return sorted(seen.values()), false, sent / count / (dead_at / SECOND)


def main(runs: int) -> None:
    print(
        f"{'conductors':>10} {'loss':>5}  {'death seen: p50':>16} {'p90':>6} {'latest':>7}  {'false an hour':>14}"
        f" {'bytes/s':>8}"
    )
    for count in (2, 3, 8, 40):
        for loss in (0.0, 0.1, 0.2, 0.3, 0.4):
            times, false, rate, quiet = [], 0, 0.0, 30 * SECOND
            tries = max(1, runs if count < 40 else runs // 10)
            for seed in range(tries):
                seen, wrong, rate = run(count, loss, seed, quiet if count < 40 else 5 * SECOND)
                times += seen
                false += wrong
            times.sort()
            hours = tries * (quiet if count < 40 else 5 * SECOND) / 3600 / SECOND
            pick = [times[min(len(times) - 1, len(times) * part // 100)] / SECOND for part in (50, 90, 100)]
            print(
                f"{count:>10} {loss:>5.0%}  {pick[0]:>14.2f} s {pick[1]:>4.2f} s {pick[2]:>5.2f} s  "
                f"{false / hours:>14.1f} {rate:>8.0f}",
                flush=True,
            )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--runs", type=int, default=20)
    main(parser.parse_args().runs)
