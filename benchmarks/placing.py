"""Where keys go, by hand: the pass against keys that never move and keys by consistent hashing, on a made stream
of requests whose busy keys lie close together; and what the decider costs. `python benchmarks/placing.py`."""

import time
from bisect import bisect
from itertools import accumulate
from random import Random

from kestrelplank.interlocking.lines import KEYS, Interlocking, Server
from kestrelplank.interlocking.placing import Placing
from kestrelplank.plan.picks import keyed

S = 1_000_000_000
SKEW, THINGS = 0.64, 60_000


def servers(count):
    return [Server(f"s{number}", f"10.0.{number // 250}.{number % 250}:80", "abc"[number % 3], 2, True, 0)
            for number in range(count)]


def stream(random, per_s, seconds):
    """By half second the keys asked for: a Zipf law over neighbours, from a place of its own on."""
    sums = list(accumulate(1 / (rank + 1) ** SKEW for rank in range(THINGS)))
    at = random.randrange(KEYS)
    for _ in range(2 * seconds):
        yield [(at + bisect(sums, random.random() * sums[-1])) % KEYS for _ in range(per_s // 2)]


def play(count, per_s, seconds, moves):
    """Busiest server over the mean after a third of the time; share of keys that moved; ms of processor a second."""
    random, now = Random(1), 100 * S
    lines = Interlocking(now, 1, None)
    lines.listed(now, servers(count))
    lines.divide(4 * count)
    placing = Placing(now, 1, lines, S // 2)
    met, spent, names = dict.fromkeys(lines.servers, 0), 0.0, [(number, 1.0) for number in range(count)]
    for half, keys in enumerate(stream(random, per_s, seconds)):
        firsts, by_server = [line.first for line in lines.lines], {}
        for key in keys:
            if moves == "hash":
                name = f"s{keyed(str(key), names)}"
            else:
                name = lines.lines[bisect(firsts, key) - 1].server
            by_server[name] = by_server.get(name, 0) + 1
            if half > 2 * seconds // 3:
                met[name] = met.get(name, 0) + 1
        began = time.process_time()
        if moves == "pass" or not half:
            placing.report(now, keys, {name: (tries, 0, 0.4 * tries, tries) for name, tries in by_server.items()})
            for _ in range(10):
                now += S // 20
                placing.turn(now)
                for effect in lines.tick(now):
                    if effect[0] == "lay":
                        lines.laid(now)
                    elif effect[0] in ("grant", "release"):
                        lines.called(now, effect[0], effect[3], True, 200, "h")
        spent += time.process_time() - began
    mean = sum(met.values()) / count
    return max(met.values()) / mean, lines.moved / KEYS - 1, 1000 * spent / seconds, len(lines.lines)


for count, per_s in ((23, 125), (500, 2700)):
    for moves in ("never", "hash", "pass") if count < 100 else ("pass",):
        busiest, moved, cost, held = play(count, per_s, 60 if count < 100 else 10, moves)
        print(f"{count} servers, {per_s}/s, {moves}: busiest/mean {busiest:.2f}, keys moved {moved:.2f} times, "
              f"{cost:.1f} ms/s, {held} lines")
