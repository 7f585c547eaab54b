"""Write the routes that the leader plans, in as few transactions as the size limits allow."""

from __future__ import annotations

import asyncio
from typing import Any

from pearstep.controller.leader_transactions import LeaderContext, LeaderTransactions
from pearstep.leader.route_plan import RoutePlan
from pearstep.state.records import RouteRecord
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import CommitOutcome

log = EventLogger("pearstep.leader")

# Plans that are not written within this time are dropped and made again.
MAX_WRITE_US = 600_000
READ_RETRY_S = 0.2


class _RouteBatch:
    """Plans whose records go into one transaction."""

    def __init__(self, transactions: LeaderTransactions) -> None:
        self.plans: list[RoutePlan] = []
        self.puts: dict[str, Any] = {}
        self.conditions: dict[str, int] = {}
        self._transactions = transactions
        self._size = transactions.new_size()

    def reserve(self, puts: dict[str, Any], conditions: dict[str, int]) -> bool:
        """Reserve space in the transaction for a plan's records; False if they do not fit."""
        return self._transactions.try_add(self._size, puts, conditions)

    def add(self, plan: RoutePlan, puts: dict[str, Any], conditions: dict[str, int]) -> None:
        """Add a plan whose space has been reserved."""
        self.plans.append(plan)
        self.puts.update(puts)
        self.conditions.update(conditions)


class RouteWriter:
    """Writes route plans under one leadership."""

    def __init__(self, context: LeaderContext, transactions: LeaderTransactions) -> None:
        """Create a writer that uses the transactions of a leadership."""
        self.replica = context.replica
        self.kv = context.kv
        self.now_us = context.now_us
        self.read_barrier = context.read_barrier
        self.transactions = transactions

    async def write_routes(self, plans: list[RoutePlan]) -> None:
        """Write new routes, and after withdrawals wait until the replica is up to date."""
        await self.write_plans(plans)
        if any(plan.withdrawn and not plan.moved for plan in plans):
            # The transaction had no condition on placements, so an owner may have placed a task before its
            # route was withdrawn. The replica must show that before the task can be routed again.
            await self._read_until_current()

    async def _read_until_current(self) -> None:
        while self.transactions.is_current():
            if await self.read_barrier():
                return
            await asyncio.sleep(READ_RETRY_S)

    async def write_plans(self, plans: list[RoutePlan]) -> None:
        """Write plans, as many in each transaction as fit.

        All plans of a pass are written before the next pass. Otherwise a hundred jobs submitted together
        would need one pass for each dozen. An outdated plan fails on its conditions and is planned again.

        Plans that move tasks often fail because owners place the tasks in the meantime, so each move has a
        transaction of its own, after the other plans. Seen: while long arrays were being moved, the routes of
        new gangs failed with them every few seconds.
        """
        batch = _RouteBatch(self.transactions)
        started_us = self.now_us()
        for plan in sorted(plans, key=lambda plan: plan.moved):
            puts, conditions = plan.writes()
            fits = batch.reserve(puts, conditions)
            if batch.plans and (plan.moved or not fits):
                await self._write_group(batch.plans, batch.puts, batch.conditions)
                if not self.transactions.is_current() or self.now_us() - started_us > MAX_WRITE_US:
                    return
                await self.kv.wait_for_write_quota()
                batch = _RouteBatch(self.transactions)
                fits = batch.reserve(puts, conditions)
            if fits:
                batch.add(plan, puts, conditions)
            else:
                await self._write_steps(plan)
        if batch.plans:
            await self._write_group(batch.plans, batch.puts, batch.conditions)

    async def _write_group(
        self, plans: list[RoutePlan], puts: dict[str, Any], conditions: dict[str, int]
    ) -> None:
        """Write plans in one transaction.

        If the transaction is malformed, each plan is written separately. A single plan whose transaction is
        malformed is written step by step.
        """
        outcome = await self._commit_routes(puts, conditions)
        if outcome != CommitOutcome.MALFORMED:
            return
        if len(plans) == 1:
            await self._write_steps(plans[0])
            return
        for plan in plans:
            await self._write_group([plan], *plan.writes())

    async def _write_steps(self, plan: RoutePlan) -> None:
        """Write a plan shard by shard. The steps after a failed one are left to the next planning pass."""
        for step in plan.steps():
            conditions = dict(step.conditions)
            if step.follows_withdrawal:
                conditions[step.key] = self.replica.version_of(step.key)
            outcome = await self._commit_routes({step.key: step.route}, conditions)
            if outcome != CommitOutcome.COMMITTED or not self.transactions.is_current():
                return

    async def _commit_routes(self, routes: dict[str, RouteRecord], conditions: dict[str, int]) -> str:
        """Write routes in one transaction; return the ``CommitOutcome``."""
        fields: dict[str, object] = {
            "fencing_token": self.transactions.fencing_token,
            "read_revision": self.replica.revision,
            "routes": [_label(key, route) for key, route in routes.items()],
        }
        outcome = await self.transactions.commit(routes, conditions)
        if outcome == CommitOutcome.COMMITTED:
            log.info("routes written", revision=self.replica.version_of(next(iter(routes))), **fields)
        else:
            log.info("routes not written", outcome=outcome, **fields)
        return outcome


def _label(key: str, route: RouteRecord) -> str:
    """Return a route for the log, as in ``r/0/req-1=0-5@2``: its tasks, and its attempt if it has one."""
    tasks = [route.tasks, *(f"{zone}:{text}" for zone, text in (route.zone_tasks or {}).items())]
    attempt = f"@{route.attempt}" if route.attempt else ""
    return f"{key}={'+'.join(filter(None, tasks))}{attempt}"
