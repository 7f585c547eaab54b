"""Define the interface of the extensions that a controller may load.

A controller without an extension imports none of its modules.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import msgspec
from tornado.httputil import HTTPServerRequest

from pearstep.state.job import Job
from pearstep.transport.http import Answer


class FinishedJob(msgspec.Struct, frozen=True):
    """How a job ended whose records were moved to the history."""

    job_id: str
    # A value of ``JobState``.
    state: str
    # How many of its tasks have completed.
    done: int


class FinishedJobs(Protocol):
    """Finds jobs whose records were moved to the history."""

    async def find(self, job_id: str) -> FinishedJob | dict[str, int] | None:
        """Find a job.

        Returns:
            How the job ended; if it is not there, the preconditions (versions by key) under which that still
            holds; None if it cannot be determined now.
        """


class Extension(Protocol):
    """An optional component of a controller, such as offloading to peers.

    ``controller`` is the ``Controller`` and ``leadership`` its ``Leadership``. They are untyped because their
    modules import this one.
    """

    def attach(self, controller: Any) -> None:
        """Attach to a controller that is constructed, but has not read any records yet."""

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return functions that the controller calls in loops beside its own."""

    async def before_plan(self, leadership: Any) -> None:
        """Prepare a pass of the leader; no route is being written at that time."""

    def after_plan(self, leadership: Any) -> None:
        """Process the plan of a pass of the leader, before it is written."""

    async def before_cancellation(self, job: Job) -> dict[str, int] | None:
        """Prepare the cancellation of a job by its user.

        Returns:
            Preconditions under which it may be written now, or None if it must wait; the request is then
            recorded.
        """

    def handle(self, request: HTTPServerRequest) -> Answer | None:
        """Answer a request that the controller does not serve; return None if this extension can't either."""


class CompositeExtension(Extension):
    """Several extensions as one, called in their order."""

    def __init__(self, extensions: Sequence[Extension]) -> None:
        """Combine extensions."""
        self.extensions = extensions

    def attach(self, controller: Any) -> None:
        """Attach all extensions."""
        for extension in self.extensions:
            extension.attach(controller)

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loop functions of all extensions."""
        return [loop for extension in self.extensions for loop in extension.loops()]

    async def before_plan(self, leadership: Any) -> None:
        """Prepare a pass in all extensions."""
        for extension in self.extensions:
            await extension.before_plan(leadership)

    def after_plan(self, leadership: Any) -> None:
        """Process the plan of a pass in all extensions."""
        for extension in self.extensions:
            extension.after_plan(leadership)

    async def before_cancellation(self, job: Job) -> dict[str, int] | None:
        """Return the preconditions of all extensions; None if the cancellation must wait for one of them."""
        preconditions: dict[str, int] = {}
        for extension in self.extensions:
            extension_preconditions = await extension.before_cancellation(job)
            if extension_preconditions is None:
                return None
            preconditions |= extension_preconditions
        return preconditions

    def handle(self, request: HTTPServerRequest) -> Answer | None:
        """Return the answer of the first extension that serves the request."""
        answers = (extension.handle(request) for extension in self.extensions)
        return next((answer for answer in answers if answer is not None), None)
