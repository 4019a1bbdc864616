import pytest

from kestrelplank.policy import Conductor, Node, Slice


class Orders(list):
    """A writer that keeps what it was told as tuples."""

    def __getattr__(self, word):
        return lambda *fields: self.append((word, *fields))


@pytest.mark.parametrize("state", ["draining", "removed"])
def test_a_slice_leaves_a_node_that_goes(state):
    conductor, out = Conductor(0, 1, {"subscribe": False}), Orders()
    for index, condition in enumerate((state, "up")):
        conductor.nodes[index] = Node()
        conductor.nodes[index].state = condition
    conductor.slices[3] = Slice()
    conductor.slices[3].lines[0] = 1.0
    conductor.evacuate(out)
    assert out == [("line", 3, 1, 1.0), ("line", 3, 0, 0)]
