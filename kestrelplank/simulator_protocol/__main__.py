"""`python -m kestrelplank.simulator_protocol`: reads batches of events from stdin, writes replies to stdout."""

import sys

from kestrelplank.simulator_protocol.host import Host


def main() -> None:
    """Reply to batches until standard input ends."""
    host, output = Host(), sys.stdout.buffer
    for line_number, raw in enumerate(sys.stdin.buffer, 1):
        if raw.strip():
            reply = host.read(raw, line_number)
            if reply is not None:
                output.write(b"\n".join(reply) + b"\n")
                output.flush()


if __name__ == "__main__":
    main()
