"""Compares key placement with fixed keys and consistent hashing: `python benchmarks/placement.py [SEEDS]`.

The servers are those of `emulator/sharded_service`: they have queues, and their busy keys are contiguous. The processor
cost is measured too.
"""

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
    """Assigns each key on its own, by consistent hashing."""

    def owner_of_key(self, firsts, key):
        return f"s{rendezvous(str(key), [(number, 1.0) for number in range(len(self.servers))])}"


def measure(service_type, moves_keys, servers, requests_per_s, seconds, seeds, has_hot_key):
    """Run one service type, averaged over seeds.

    Returns the share of requests above the latency target by quarter of the run, the load of the busiest server
    divided by the mean in the last quarter, keys moved after the initial assignment as a share of all keys, and
    processor time of model and placement in ms a second.
    """
    late_share, busiest_over_mean, moved_share, processor_start_s = [0.0] * 4, 0.0, 0.0, time.process_time()
    for seed in range(seeds):
        speeds = shuffled_speeds(seed, servers)
        service = service_type(seed, speeds, requests_per_s, MEAN_WORK_S, LATENCY_TARGET_S, moves_keys=moves_keys)
        for quarter in range(4):
            is_hot = has_hot_key and quarter == 1
            service.hot_key = (service.random.randrange(KEY_COUNT), 0.3) if is_hot else (0, 0.0)
            late_share[quarter] += service.run(seconds / 4) / seeds
        busiest_over_mean += service.busiest_over_mean() / seeds
        moved_share += (service.key_ranges.moved_keys / KEY_COUNT - 1) / seeds
    return (
        late_share,
        busiest_over_mean,
        moved_share,
        1000 * (time.process_time() - processor_start_s) / seconds / seeds,
    )


def main():
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    for servers, requests_per_s, seconds, has_hot_key in (
        (23, 125, 40, False),
        (23, 170, 40, False),
        (23, 125, 40, True),
        (500, 2700, 8, False),
    ):
        for name, service_type, moves_keys in (
            ("fixed", ShardedService, False),
            ("hashed", HashedService, False),
            ("placement", ShardedService, True),
        ):
            if servers < 100 or moves_keys:
                late_share, busiest_over_mean, moved_share, processor_ms = measure(
                    service_type,
                    moves_keys,
                    servers,
                    requests_per_s,
                    seconds,
                    seeds if servers < 100 else 1,
                    has_hot_key,
                )
                print(
                    f"{servers} servers, {requests_per_s}/s{', hot key' if has_hot_key else ''}, {name}: late share",
                    " ".join(f"{share:.3f}" for share in late_share),
                    f"busiest/mean {busiest_over_mean:.2f}, moved {moved_share:.2f}, {processor_ms:.0f} ms/s",
                )


if __name__ == "__main__":
    main()
