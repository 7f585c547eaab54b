"""Background tasks of the event loop: references are kept until they end, and exceptions are logged."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from pearstep.transport.event_log import EventLogger


class BackgroundTasks:
    """Keeps references to running tasks, because the event loop holds only weak ones."""

    def __init__(self, log: EventLogger) -> None:
        """Start without tasks; exceptions of tasks go to ``log``."""
        self._log = log
        self._running: set[asyncio.Future[Any]] = set()
        self._names: dict[asyncio.Future[Any], str] = {}

    def start(self, coroutine: Coroutine[Any, Any, Any], name: str = "") -> None:
        """Run a coroutine as a task of the running event loop.

        Args:
            coroutine: The coroutine to run.
            name: The task's name in the log line of a failure; unnamed by default.
        """
        task = asyncio.ensure_future(coroutine)
        self._running.add(task)
        if name:
            self._names[task] = name
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Future[Any]) -> None:
        self._running.discard(task)
        name = self._names.pop(task, "")
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log.error_with_traceback(
                "background task failed", error, **({"task": name} if name else {})
            )
