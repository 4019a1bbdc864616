"""Numbers of windows: window k starts k intervals after the start of 1970, in true time."""

NO_WINDOW = -1  # before every window
AFTER_ALL_WINDOWS = 1 << 62


def window_at(true_time_ns: int, interval_ns: int) -> int:
    """Return the number of the window that contains that time."""
    return true_time_ns // interval_ns


def window_end(window: int, interval_ns: int) -> int:
    """Return the true time at which that window ends."""
    return (window + 1) * interval_ns
