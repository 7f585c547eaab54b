"""What a node may carry beyond its own parts: an interface, so that a node without it imports nothing of
it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from tornado.httputil import HTTPServerRequest

from ..core.job import Job
from ..links.http import Answer


class Extension(Protocol):
    """Something that lives in a controller, such as lending to peers. ``controller`` is the node's
    ``Controller`` and ``chief`` its ``Chief``, which know of this interface and not the other way round."""

    def attach(self, controller: Any) -> None:
        """The node is made; nothing has been read yet."""

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Rounds to be run for ever beside the node's own."""

    async def planning(self, chief: Any) -> None:
        """Before a pass of the leader. No route is on its way then."""

    def planned(self, chief: Any) -> None:
        """After a pass of the leader, before it is written."""

    async def cancelling(self, job: Job) -> dict[str, int] | None:
        """A user cancels: conditions under which that may be written now, or None if it must wait, in which
        case the wish is written down."""

    def handle(self, request: HTTPServerRequest) -> Answer | None:
        """A request that is nobody else's; None if it is not this one's either."""
