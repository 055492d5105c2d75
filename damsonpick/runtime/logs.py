"""Structured logs on standard error, one event per line, as JSON or as text for a person."""

from __future__ import annotations

import logging
import sys
from typing import Literal

import structlog
from structlog.typing import FilteringBoundLogger

LogFormat = Literal["console", "json"]


def configure(log_format: LogFormat, level: str) -> FilteringBoundLogger:
    """Configure structlog and return the root logger of the program.

    Args:
        log_format: Format of an event.
        level: Least severe level that is written, such as "info".
    """
    processors = [structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True)]
    if log_format == "json":
        processors += [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    else:
        processors.append(structlog.dev.ConsoleRenderer(colors=False))
    structlog.configure(
        processors=processors,
        cache_logger_on_first_use=True,
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger()
