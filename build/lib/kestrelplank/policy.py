"""All decisions of kestrelplank.

Make one `Conductor(now, seed, settings)` an instance and call `conductor.round(now, events, out)` once a
round with all that came in; it writes its orders into `out`. The events, their fields and the writer are
described in `kestrelplank/interface.py`. Times are whole nanoseconds.
"""

from random import Random

MS = 1_000_000
BEAT = 100 * MS  # how often a conductor looks at what is due, also when nothing comes in


class Node:
    """All that is known of one node."""

    __slots__ = ("zone", "cell", "weight", "state", "boot", "out", "load")

    def __init__(self):
        self.zone = self.cell = self.boot = None
        self.weight, self.state = 1.0, "unlisted"
        self.out = False  # withdrawn from the joined proxies, as last ordered
        self.load = 0.0


class Slice:
    """A slice in this conductor's charge: the lines as last ordered."""

    __slots__ = ("lines",)

    def __init__(self):
        self.lines = {}


class Conductor:
    def __init__(self, now, seed, settings):
        self.random = Random(seed)
        self.nodes, self.slices = {}, {}
        self.subscribe, self.asked, self.due = settings["subscribe"], None, None

    def round(self, now, events, out):
        for word, *fields in events:
            handler = getattr(self, "on_" + word, None)
            if handler:
                handler(now, *fields)
        if self.subscribe and self.asked is None:
            out.watch(True)
            self.asked = now
        self.evacuate(out)
        if self.due is None or now >= self.due:
            self.due = now + BEAT
            out.timer(self.due, "beat")

    def on_roster(self, now, how, entries):
        if how == "failed":
            self.asked = None
            return
        if how != "delta":
            for node in self.nodes.values():
                node.state = "removed" if node.state != "unlisted" else "unlisted"
        for index, condition, zone, cell, weight, boot in entries:
            node = self.nodes.setdefault(index, Node())
            node.state, node.zone, node.cell, node.weight, node.boot = condition, zone, cell, weight, boot

    def on_tenure(self, now, number, held):
        if held:
            self.slices[number] = Slice()
        else:
            self.slices.pop(number, None)

    def on_line(self, now, number, index, weight):
        if number in self.slices:
            self.nodes.setdefault(index, Node())
            self.slices[number].lines[index] = weight

    def evacuate(self, out):
        live = [index for index, node in self.nodes.items() if node.state == "up"]
        for number, kept in self.slices.items():
            gone = [index for index in kept.lines if self.nodes[index].state in ("draining", "removed")]
            if live and (gone or not kept.lines):
                counts = {index: 0 for index in live}
                for other in self.slices.values():
                    for index in other.lines:
                        if index in counts:
                            counts[index] += 1
                new = min(live, key=counts.get)
                out.line(number, new, 1.0)
                kept.lines[new] = 1.0
                for index in gone:
                    out.line(number, index, 0)
                    del kept.lines[index]
