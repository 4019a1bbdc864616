"""The decision logic of an assigner.

Create a `Policy(now, seed, settings)` for each assigner and call `policy.round(now, events, out)` once a round with all
events received since the last one; it writes its orders to `out`. `kestrelplank/interface.py` defines their types. The
mechanism is that of *Mirador: An Active Control Plane for Datacenter Storage*; docs/design.md lists every departure
from it with its reason.
"""

from kestrelplank.policy.assigner_policy import Policy as Policy
