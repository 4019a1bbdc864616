"""Where keys go, by hand: the pass beside keys that never move and keys by consistent hashing, over servers with queues
(`emulator/queues`) whose busy keys lie close together, and what it costs. `python benchmarks/placement.py [SEEDS]`."""

import sys
import time
from random import Random

from kestrelplank.emulator.queues import Service
from kestrelplank.load_balancing.selection import rendezvous
from kestrelplank.sharding.key_ranges import KEYS

SPEEDS = [0.7, 1.0, 1.0, 1.5]


def speeds(seed, count):
    found = [SPEEDS[number % len(SPEEDS)] for number in range(count)]
    Random(seed).shuffle(found)
    return found


class Hashed(Service):
    """Each key by itself, by consistent hashing."""

    def holder(self, firsts, key):
        return f"s{rendezvous(str(key), [(number, 1.0) for number in range(len(self.servers))])}"


def play(kind, moves, count, per_s, seconds, seeds, hot):
    """Share of requests beyond the aim by quarters, the busiest server over the mean in the last one, keys that moved
    after the first time, processor of the whole model in ms a second."""
    late, busiest, moved, spent = [0.0] * 4, 0.0, 0.0, time.process_time()
    for seed in range(seeds):
        service = kind(seed, speeds(seed, count), per_s, 0.16, 0.584, moves)
        for quarter in range(4):
            service.hot = (service.random.randrange(KEYS), 0.3) if hot and quarter == 1 else (0, 0.0)
            late[quarter] += service.play(seconds / 4) / seeds
        busiest += service.busiest() / seeds
        moved += (service.lines.moved / KEYS - 1) / seeds
    return late, busiest, moved, 1000 * (time.process_time() - spent) / seconds / seeds


def main():
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    for count, per_s, seconds, hot in (
        (23, 125, 40, False),
        (23, 170, 40, False),
        (23, 125, 40, True),
        (500, 2700, 8, False),
    ):
        for name, kind, moves in (
            ("never moved", Service, False),
            ("by hashing", Hashed, False),
            ("the pass", Service, True),
        ):
            if count < 100 or moves:
                late, busiest, moved, cost = play(kind, moves, count, per_s, seconds, seeds if count < 100 else 1, hot)
                print(
                    f"{count} servers, {per_s}/s{', a hot key' if hot else ''}, {name}: late",
                    " ".join(f"{one:.3f}" for one in late),
                    f"busiest/mean {busiest:.2f}, moved {moved:.2f}, {cost:.0f} ms/s",
                )


if __name__ == "__main__":
    main()
