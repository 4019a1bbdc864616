"""Logs of the gateway: one JSON object a line on standard output, short sentences that begin with their part's name."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

NOISY_LOGGERS = ("httpcore", "asyncio", "uvicorn", "uvicorn.access")


def configure_json_logging(node_name: str, level: str = "INFO") -> None:
    """Log one JSON object a line, with the time, the level, the node's name and the sentence."""
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            static_fields={"node": node_name},
            rename_fields={"asctime": "at", "levelname": "level"},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for name in NOISY_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
    logging.getLogger("uvicorn.error").setLevel(logging.ERROR)
