"""All decisions of an assigner.

Make a `Policy(now, seed, settings)` for each assigner and call `policy.round(now, events, out)` once a round with all
events that came in; it orders through `out`. `kestrelplank/interface.py` has the types of both sides.

The mechanism is that of *Mirador: An Active Control Plane for Datacenter Storage*; docs/design.md says which part of
the paper each step follows, and lists every departure with its reason.
"""

from kestrelplank.policy.assigner_policy import Policy as Policy
