"""Structured logging: one JSON object per line, on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

ROOT_LOGGER = "jayswitch"


def configure_logging(level: str, vm: str) -> None:
    """Sends JSON lines of at least the level to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"vm": vm},
    )
    handler.setFormatter(formatter)
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
