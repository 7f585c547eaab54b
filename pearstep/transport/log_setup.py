"""Structured logs on standard error, as plain text or, with LOG_FORMAT=json, as JSON.

LOG_LEVEL has the same values as for a controller.
"""

from __future__ import annotations

import logging
import os
import sys

import structlog

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def configure() -> None:
    """Configure structlog, and format the standard library's logging with it."""
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info"), logging.INFO)
    as_json = os.environ.get("LOG_FORMAT") == "json"
    shared_processors: list[structlog.types.Processor] = [
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    renderer: structlog.types.Processor = (
        structlog.processors.JSONRenderer() if as_json else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[*shared_processors, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                renderer,
            ],
            foreign_pre_chain=shared_processors,
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    logging.getLogger("tornado").setLevel(logging.ERROR)
