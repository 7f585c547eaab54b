"""The interface of the process that runs history compaction: a controller or an operator's command."""

from __future__ import annotations

from typing import Protocol

from pearstep.controller.extension import FinishedJobs
from pearstep.controller.replica_follower import ReplicaFollower
from pearstep.controller.settings import StateSettings
from pearstep.state.replica import Replica
from pearstep.transport.kv_client import KeyValueStore


class HostLeases(Protocol):
    """The leases of the host in the state service."""

    # The history format that the host announces in the records of its leases.
    version: int

    @property
    def lease_id(self) -> int | None:
        """The lease to which keys of this process are bound, or None if it has none."""

    @property
    def leadership(self) -> object | None:
        """The host's work as the leader of the cluster, or None if it isn't the leader."""

    def may_act(self) -> bool:
        """Tell whether the lease is certain to be valid now."""


class HostParameters(Protocol):
    """The tuning parameters of the host."""

    @property
    def state(self) -> StateSettings:
        """The limits of the state service."""


class HostSettings(Protocol):
    """The settings of the host."""

    @property
    def shard_count(self) -> int:
        """The number of shards, which is the number of controllers."""

    @property
    def txn_ops(self) -> int:
        """The largest number of changes in a transaction of this host."""

    @property
    def params(self) -> HostParameters:
        """The tuning parameters."""


class HistoryQueries(Protocol):
    """The part of the host that answers users' queries about jobs."""

    history: FinishedJobs | None


class HistoryHost(Protocol):
    """The process that runs history compaction, as ``CompactionExtension.attach`` takes it."""

    @property
    def node(self) -> str:
        """The name of the process."""

    @property
    def kv(self) -> KeyValueStore:
        """The client of the state service."""

    @property
    def replica(self) -> Replica:
        """The replica of the stored records."""

    @property
    def follower(self) -> ReplicaFollower:
        """The follower that keeps the replica up to date."""

    @property
    def leases(self) -> HostLeases:
        """The leases of this process."""

    @property
    def settings(self) -> HostSettings:
        """The settings of this process."""

    @property
    def job_api(self) -> HistoryQueries:
        """The part that receives the reader of the history."""
