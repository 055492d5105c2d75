"""Structured logs: one event a line on standard error, as JSON or for a person."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog


def configure(form: str, level: str) -> Any:
    """Set up structlog; returns the root logger of the program."""
    last = structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer(colors=False)
    chain = [structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True)]
    if form == "json":
        chain.append(structlog.processors.format_exc_info)
    structlog.configure(
        processors=[*chain, last],
        cache_logger_on_first_use=True,
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger()
