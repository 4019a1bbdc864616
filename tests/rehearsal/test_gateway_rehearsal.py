"""Guards the rules of a complete gateway, run as processes on loopback, while machines and servers are lost."""

from kestrelplank.rehearsal.gateway_rehearsal import play


def test_a_small_gateway_keeps_the_rules_through_faults():
    report = play(requests=150, per_s=40)
    assert report["ready"] and len(report["losses"]) == 5
    assert report["replaced"]  # the replacement control member, which started without data, votes
    assert (report["run_twice"], report["promised_and_ran"], report["held_twice"]) == (0, 0, 0)
    assert report["wrong_tenant"] == 0
    assert report["served"] > 0.5 * report["asked"]  # a low bound, as the count depends on the load of the machine
