"""`python -m kestrelplank.gateway`: what must come before all other imports, then the command line."""

import signal
import sys

PROGRAMS = ("edge", "control")

if __name__ == "__main__":
    if sys.argv[1:2] and sys.argv[1] in PROGRAMS:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # settings may change while we start: no reason to end

    from kestrelplank.settings import skip_unused_libraries  # noqa: F401 - before all that loads pyserde or httpcore

    from kestrelplank.gateway.command_line import main  # isort: skip

    sys.exit(main())
