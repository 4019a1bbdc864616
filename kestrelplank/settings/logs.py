"""Logs of the gateway: one JSON object a line on standard output, short sentences that begin with their part's name."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def set_up(name: str, level: str = "INFO") -> None:
    """Every line has the time, the level, the process's name and the sentence."""
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            static_fields={"node": name},
            rename_fields={"asctime": "at", "levelname": "level"},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for noisy in ("httpcore", "asyncio", "uvicorn", "uvicorn.access"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
    logging.getLogger("uvicorn.error").setLevel(logging.ERROR)
