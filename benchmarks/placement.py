"""Where keys go, by hand: the pass beside keys that never move and keys by consistent hashing, over servers with queues
(`emulator/sharded_service`) whose busy keys lie close together, and what it costs. `python benchmarks/placement.py
[SEEDS]`."""

import sys
import time
from random import Random

from kestrelplank.emulator.sharded_service import ShardedService
from kestrelplank.load_balancing.selection import rendezvous
from kestrelplank.sharding.key_range import KEY_COUNT

SPEEDS = [0.7, 1.0, 1.0, 1.5]
MEAN_WORK_S, LATENCY_TARGET_S = 0.16, 0.584


def shuffled_speeds(seed, count):
    speeds = [SPEEDS[number % len(SPEEDS)] for number in range(count)]
    Random(seed).shuffle(speeds)
    return speeds


class HashedService(ShardedService):
    """Each key by itself, by consistent hashing."""

    def owner_of_key(self, firsts, key):
        return f"s{rendezvous(str(key), [(number, 1.0) for number in range(len(self.servers))])}"


def measure(service_type, moves_keys, servers, requests_per_s, seconds, seeds, has_hot_key):
    """Share of requests beyond the target by quarters, the busiest server over the mean in the last one, keys that
    moved after the first time, processor of the model and the decider in ms a second."""
    late, busiest, moved, spent = [0.0] * 4, 0.0, 0.0, time.process_time()
    for seed in range(seeds):
        speeds = shuffled_speeds(seed, servers)
        service = service_type(seed, speeds, requests_per_s, MEAN_WORK_S, LATENCY_TARGET_S, moves_keys=moves_keys)
        for quarter in range(4):
            hot = has_hot_key and quarter == 1
            service.hot_key = (service.random.randrange(KEY_COUNT), 0.3) if hot else (0, 0.0)
            late[quarter] += service.run(seconds / 4) / seeds
        busiest += service.busiest_over_mean() / seeds
        moved += (service.key_ranges.moved_keys / KEY_COUNT - 1) / seeds
    return late, busiest, moved, 1000 * (time.process_time() - spent) / seconds / seeds


def main():
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    for servers, requests_per_s, seconds, has_hot_key in (
        (23, 125, 40, False),
        (23, 170, 40, False),
        (23, 125, 40, True),
        (500, 2700, 8, False),
    ):
        for name, service_type, moves_keys in (
            ("never moved", ShardedService, False),
            ("by hashing", HashedService, False),
            ("the pass", ShardedService, True),
        ):
            if servers < 100 or moves_keys:
                late, busiest, moved, cost = measure(
                    service_type,
                    moves_keys,
                    servers,
                    requests_per_s,
                    seconds,
                    seeds if servers < 100 else 1,
                    has_hot_key,
                )
                print(
                    f"{servers} servers, {requests_per_s}/s{', a hot key' if has_hot_key else ''}, {name}: late",
                    " ".join(f"{share:.3f}" for share in late),
                    f"busiest/mean {busiest:.2f}, moved {moved:.2f}, {cost:.0f} ms/s",
                )


if __name__ == "__main__":
    main()
