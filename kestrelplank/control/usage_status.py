"""Usage reports in a member's status for operators."""

import msgspec


class UsageStatus(msgspec.Struct, frozen=True):
    """Usage reports as one member knows them. Windows are None before the first one.

    :param fixed_through: the last window whose content is fixed.
    :param reported_through: the last window up to which the log has all marked as reported.
    :param unreported: how many fixed windows are not marked as reported.
    :param overdue_s: time since the oldest of those was due; negative: until it will be.
    :param edges: edges that this member collects counts from.
    :param true_time_s: the estimate of true time, in seconds since 1970.
    :param late_counts: tenants' counts that arrived after their window was fixed.
    :param windows_dropped: windows dropped unfixed, as too many were waiting.
    """

    fixed_through: int | None
    reported_through: int | None
    unreported: int
    overdue_s: float | None
    edges: int
    true_time_s: float | None
    late_counts: int
    windows_dropped: int
