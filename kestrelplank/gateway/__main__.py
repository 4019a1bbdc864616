"""`python -m kestrelplank.gateway`: set-up that must precede all other imports, then the command line."""

import signal
import sys

PROGRAMS = ("edge", "control")

if __name__ == "__main__":
    if sys.argv[1:2] and sys.argv[1] in PROGRAMS:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # a settings change during start-up must not end the program

    from kestrelplank.settings import skip_unused_libraries  # noqa: F401 - before any import of pyserde or httpcore

    from kestrelplank.gateway.command_line import main  # isort: skip

    sys.exit(main())
