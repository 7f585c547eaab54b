"""Address exchange for the tasks of a gang: each task posts its worker's address under its job and attempt.

The board is held in memory only. It is needed while a gang gathers; members tell each other the rest
themselves. A task that still waits posts again within seconds, so a restarted node soon knows all addresses
again.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

TTL_US = 30_000_000
MOST = 100_000


class Post(msgspec.Struct):
    """One task of a gang's attempt and where its worker listens."""

    job: str
    attempt: int
    task: int
    addr: str


class Board:
    """Addresses by job and attempt; each post is forgotten after a while."""

    def __init__(self, now_us: Callable[[], int]) -> None:
        """Create an empty board that reads the time from ``now_us``."""
        self._now_us = now_us
        self._posts: dict[tuple[str, int], dict[int, tuple[str, int]]] = {}
        self._count = 0

    def post(self, post: Post) -> dict[int, str] | None:
        """Take in a post; the addresses of all tasks of its attempt, or None if the board is full."""
        now = self._now_us()
        key = (post.job, post.attempt)
        if key not in self._posts and self._count >= MOST:
            self._sweep(now)
            if self._count >= MOST:
                return None
        tasks = self._posts.setdefault(key, {})
        self._count += post.task not in tasks
        tasks[post.task] = (post.addr, now)
        return {task: addr for task, (addr, at) in tasks.items() if now - at <= TTL_US}

    def _sweep(self, now: int) -> None:
        for key, tasks in list(self._posts.items()):
            live = {t: p for t, p in tasks.items() if now - p[1] <= TTL_US}
            if live:
                self._posts[key] = live
            else:
                del self._posts[key]
        self._count = sum(map(len, self._posts.values()))
