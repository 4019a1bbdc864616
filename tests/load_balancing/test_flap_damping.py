from kestrelplank.load_balancing.flap_damping import FlapDamping, FlapDampingSettings
from kestrelplank.time_units import SECOND as S


def test_hold_down_doubles_with_each_loss_of_a_flapping_zone():
    damping, usable_at = FlapDamping(FlapDampingSettings()), []
    for at in (0, 20, 40, 55):
        damping.lost(at * S)
        damping.lost(at * S + 1)  # no effect, as it is already down
        usable_at.append(damping.recovered((at + 2) * S) // S)
    assert usable_at == [2, 25, 50, 75] and not damping.is_usable(74 * S) and damping.is_usable(75 * S)


def test_hold_down_is_bounded_and_reset_after_a_time_without_losses():
    damping = FlapDamping(FlapDampingSettings(max_hold_ns=8 * S))
    for at in range(0, 50, 10):
        damping.lost(at * S)
        damping.recovered((at + 1) * S)
    assert damping.held_until == 48 * S
    damping.lost(300 * S)
    assert damping.recovered(301 * S) == 301 * S


def test_lost_zone_is_not_usable_after_its_hold_down_ends():
    damping = FlapDamping(FlapDampingSettings())
    damping.lost(0)
    assert not damping.is_usable(900 * S)
