"""Writes the routes that the leader plans, in as few transactions as their limits allow."""

from __future__ import annotations

import asyncio
from typing import Any

from pearstep.controller.leader_transactions import LeaderContext, LeaderTransactions
from pearstep.leader.route_plan import RoutePlan
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import CommitOutcome

log = EventLogger("pearstep.leader")

# Plans older than this are made afresh.
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
        """Take up the transaction's size for a plan's records; False if they do not fit."""
        return self._transactions.try_add(self._size, puts, conditions)

    def add(self, plan: RoutePlan, puts: dict[str, Any], conditions: dict[str, int]) -> None:
        """Add a plan whose size is reserved."""
        self.plans.append(plan)
        self.puts.update(puts)
        self.conditions.update(conditions)


class RouteWriter:
    """Writes route plans under one leadership."""

    def __init__(self, context: LeaderContext, transactions: LeaderTransactions) -> None:
        """Write with the transactions of a leadership."""
        self.replica = context.replica
        self.kv = context.kv
        self.now_us = context.now_us
        self.read_barrier = context.read_barrier
        self.transactions = transactions

    async def write_routes(self, plans: list[RoutePlan]) -> None:
        """Write new routes, and wait until it is known what became of withdrawn ones."""
        await self.write_plans(plans)
        if any(plan.withdrawn and not plan.moved for plan in plans):
            # Nothing was said of what is placed there: an owner may have placed a task before its route
            # was taken back. Before such a task can be routed anew, that must be known here.
            await self._read_until_current()

    async def _read_until_current(self) -> None:
        while self.transactions.is_current():
            if await self.read_barrier():
                return
            await asyncio.sleep(READ_RETRY_S)

    async def write_plans(self, plans: list[RoutePlan]) -> None:
        """Write plans, as many as fit in one transaction.

        All that was planned together is written in one go: a hundred jobs that came at once would otherwise
        wait for a pass each dozen. A plan that is out of date fails on its conditions and is made afresh.
        What moves tasks fails often, since owners place them meanwhile, so each move is written by itself,
        after the rest. Seen: with long arrays on the move, every few seconds the routes of new gangs failed
        with them.
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

        If they are malformed together, each is written by itself; one that is malformed by itself is written
        step by step.
        """
        log.debug("writing routes", keys=list(puts))
        if await self.transactions.commit(puts, conditions) != CommitOutcome.MALFORMED:
            return
        if len(plans) == 1:
            await self._write_steps(plans[0])
            return
        for plan in plans:
            await self._write_group([plan], *plan.writes())

    async def _write_steps(self, plan: RoutePlan) -> None:
        """Write a plan shard by shard. What is left when a step fails is planned anew."""
        for step in plan.steps():
            conditions = dict(step.conditions)
            if step.follows_withdrawal:
                conditions[step.key] = self.replica.version_of(step.key)
            outcome = await self.transactions.commit({step.key: step.route}, conditions)
            if outcome != CommitOutcome.COMMITTED or not self.transactions.is_current():
                return
