"""The platform's settings for usage reports."""

from dataclasses import dataclass

from kestrelplank.settings.platform import PlatformSettings
from kestrelplank.time_units import SECOND, seconds_to_ns

USAGE_REPORT_DUTIES = ("usage", "usage_report")  # names of the reports in `platform.cloud_api.duties`

REPORTING_TIME_NS = 3 * SECOND  # part of the delay that is reserved for sending a fixed window


@dataclass(frozen=True, slots=True)
class UsagePolicy:
    """When windows begin and end, and how soon they are to be reported.

    :param interval_ns: length of a window.
    :param delay_ns: time from the end of a window until its report is due.
    :param calls_per_s: calls that the platform accepts from all members together.
    """

    interval_ns: int = 5 * SECOND
    delay_ns: int = 10 * SECOND
    calls_per_s: float = 1.0

    @property
    def fixing_delay_ns(self) -> int:
        """Return the time from the end of a window until it is fixed at the latest."""
        return max(self.delay_ns // 2, self.delay_ns - REPORTING_TIME_NS)


def usage_policy(settings: PlatformSettings) -> UsagePolicy | None:
    """Return the policy in the settings; None if the platform wants no usage reports."""
    if not any(duty in USAGE_REPORT_DUTIES for duty in settings.cloud_api.duties):
        return None
    bounds = settings.bounds
    return UsagePolicy(
        seconds_to_ns(bounds.report_interval_s), seconds_to_ns(bounds.usage_delay_s), settings.cloud_api.duty_rate_s
    )
