"""JSON logging of the gateway: one object per line on standard output."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

NOISY_LOGGERS = ("httpcore", "asyncio", "uvicorn", "uvicorn.access")


def configure_json_logging(node_name: str, level: str = "INFO") -> None:
    """Log one JSON object per line, with the time, level, node name and message."""
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
