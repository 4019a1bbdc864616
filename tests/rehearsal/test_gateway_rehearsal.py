"""The gateway as a whole, in real processes on loopback, through losses."""

from kestrelplank.rehearsal.gateway_rehearsal import play


def test_a_small_gateway_keeps_the_rules_through_losses():
    seen = play(requests=150, per_s=40)
    assert seen["ready"] and len(seen["losses"]) == 5
    assert seen["replaced"]  # the control member that came empty counts
    assert (seen["run_twice"], seen["promised_and_ran"], seen["held_twice"]) == (0, 0, 0)
    assert seen["served"] > 0.5 * seen["asked"]  # how many depends on how busy the machine is; the rules do not
