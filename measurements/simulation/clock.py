"""A virtual clock, and lives: processes that share one event loop, each of which can stand still or end.

Whatever a life schedules runs only while it lives. One that stands still finds all that became due when it
goes on, in order, as a process does that was stopped; its clocks run on meanwhile.
"""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

from pearstep.domain.state_machine import TransitionTable
from pearstep.transport import clock as clocks

RUNNING, STILL, DEAD = "running", "still", "dead"
LIFE_STATES = TransitionTable("life", {RUNNING: (STILL, DEAD), STILL: (RUNNING, DEAD), DEAD: ()})
LIFE: contextvars.ContextVar[Life | None] = contextvars.ContextVar("life", default=None)

# The time of day at the start of every run, seconds.
DAY_S = 1_000_000_000.0


class Life:
    """One run of a process on a host, from its start to its end. ``rate``: how fast its steady clock goes;
    ``off_s``: how far its time of day is off.
    """

    def __init__(
        self, loop: VirtualLoop, host: str, name: str, rate: float = 1.0, off_s: float = 0.0
    ) -> None:
        self.loop = loop
        self.host = host
        self.name = name
        self.rate = rate
        self.off_s = off_s
        self.state = RUNNING
        self.held: list[tuple[_Guard, tuple[Any, ...]]] = []
        self.stood_s = 0.0
        self._still_since = 0.0
        self.context = contextvars.copy_context()
        self.context.run(LIFE.set, self)

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run something as a part of this life."""
        return self.loop.create_task(work, context=self.context.copy())

    def soon(self, call: Callable[..., Any], *args: Any) -> None:
        """Call something within this life."""
        self.loop.call_soon(call, *args, context=self.context.copy())

    def stand_still(self) -> None:
        """It goes on with nothing until ``go_on``."""
        LIFE_STATES.transition(self, STILL)
        self._still_since = self.loop.time()

    def go_on(self) -> None:
        """All that became due meanwhile is done now."""
        if self.state != STILL:
            return
        LIFE_STATES.transition(self, RUNNING)
        self.stood_s += self.loop.time() - self._still_since
        held, self.held = self.held, []
        for guard, args in held:
            if guard.handle is None or not guard.handle.cancelled():
                self.soon(guard.call, *args)

    def end(self) -> None:
        """Nothing of it runs any more."""
        LIFE_STATES.transition(self, DEAD)
        self.held.clear()

    def now_us(self) -> int:
        """Its steady clock."""
        return int(self.loop.time() * self.rate * 1e6)


class _Guard:
    """A callback that runs only while its life does."""

    __slots__ = ("call", "handle", "life")

    def __init__(self, life: Life, call: Callable[..., Any]) -> None:
        self.life = life
        self.call = call
        self.handle: asyncio.Handle | None = None

    def __call__(self, *args: Any) -> None:
        if self.life.state == RUNNING:
            self.call(*args)
        elif self.life.state == STILL:
            self.life.held.append((self, args))


class _Nothing(selectors.SelectSelector):
    """Waits for nothing: the time that would be waited passes at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is due and nothing ever will be")
        self.now_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only when there is nothing to do."""

    def __init__(self) -> None:
        self._nothing = _Nothing()
        super().__init__(self._nothing)
        # A timer is due when its time is reached, to the resolution of the clock: time must move past it.
        self._clock_resolution = 1e-6

    def time(self) -> float:
        """Seconds since the start."""
        return self._nothing.now_s

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        """As the loop does, guarded by the life that asks."""
        life = LIFE.get() if context is None else context.get(LIFE)
        if life is None or isinstance(callback, _Guard):
            return super().call_soon(callback, *args, context=context)
        guard = _Guard(life, callback)
        guard.handle = super().call_soon(guard, *args, context=context)
        return guard.handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """As the loop does, guarded by the life that asks."""
        life = LIFE.get() if context is None else context.get(LIFE)
        if life is None:
            return super().call_at(when, callback, *args, context=context)
        guard = _Guard(life, callback)
        handle = super().call_at(when, guard, *args, context=context)
        guard.handle = handle
        return handle


class Clock:
    """Stands for the module ``time`` in ``links.clocks``: each life sees its own clocks."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def monotonic_ns(self) -> int:
        """The steady clock of the life that asks."""
        life = LIFE.get()
        return int(self.loop.time() * (life.rate if life else 1.0) * 1e9)

    def time_ns(self) -> int:
        """Its time of day."""
        life = LIFE.get()
        return int((DAY_S + self.loop.time() + (life.off_s if life else 0.0)) * 1e9)


class Virtual:
    """While entered, the project's clocks are virtual ones."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self._real = clocks.time

    def __enter__(self) -> VirtualLoop:
        clocks.time = Clock(self.loop)  # type: ignore[assignment]
        # Lives that ended leave tasks behind, and nobody waits for them.
        self.loop.set_exception_handler(lambda loop, context: None)
        asyncio.set_event_loop(self.loop)
        return self.loop

    def __exit__(self, *exc: object) -> None:
        clocks.time = self._real
        asyncio.set_event_loop(None)
