"""The bounds and the answers that the rules of a soak refer to."""

import msgspec

REJECTIONS = (408, 421, 429, 503)  # each guarantees that the request has not run
NOT_COUNTED_AS_DENIED = (*REJECTIONS, 409)
SUCCESSES = range(200, 300)


class SoakBounds(msgspec.Struct, frozen=True):
    """The platform's bounds, in seconds, with the names of the settings file."""

    contact_s: float = 5.0
    ack_s: float = 6.0
    drain_s: float = 2.5
    grace_s: float = 6.0
    loss_slack_s: float = 0.2
    config_apply_s: float = 2.5
    downgrade_slack_s: float = 0.25
    max_stretch_s: float = 10.0
    lease_s: float = 3.0
    thaw_slack_s: float = 0.3
    report_interval_s: float = 5.0
    usage_delay_s: float = 10.0
    usage_tolerance: float = 0.05
    revoke_s: float = 5.0
    retry_allowance: int = 144
    recovery_s: float = 15.0
    max_hold_s: float = 10.0
    fencing_enabled: bool = True
    revocation_closed: bool = False


BOUNDS = SoakBounds()
