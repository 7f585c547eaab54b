"""A controller's settings: the platform's file, the operators' file, and the values derived from both."""

from __future__ import annotations

from pearstep.controller.operator_settings import (
    Backfilling,
    Deployment,
    Guarding,
    Leading,
    Renting,
    Tuning,
    load_tuning,
)
from pearstep.controller.platform_settings import (
    CloudSettings,
    Endpoints,
    Objective,
    Other,
    Params,
    Platform,
    Resources,
    StateSettings,
    TeamSettings,
    WorkerSettings,
    check_platform,
    load_platform,
)
from pearstep.controller.settings_error import SettingsError
from pearstep.controller.settings_error import parse_address as address
from pearstep.domain.team import Team
from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.timeouts import derive_timeouts
from pearstep.shard.commands import ShardOwnerConfig
from pearstep.state.transactions import CONDITIONS_PER_OPERATION, TransactionLimits

__all__ = [
    "Backfilling",
    "CloudSettings",
    "Deployment",
    "Endpoints",
    "Guarding",
    "Leading",
    "Objective",
    "Other",
    "Params",
    "Platform",
    "Renting",
    "Resources",
    "Settings",
    "SettingsError",
    "StateSettings",
    "TeamSettings",
    "Tuning",
    "WorkerSettings",
    "address",
    "load",
    "owner_config",
    "to_us",
]

BYTES_PER_KB = 1024


def to_us(seconds: float) -> int:
    """Convert seconds to whole microseconds."""
    return int(seconds * SECOND_US)


class Settings:
    """The settings of both files, and the values derived from them; times in microseconds."""

    def __init__(self, platform: Platform, tuning: Tuning) -> None:
        """Derive values from the platform's and the operators' files."""
        self.platform = platform
        self.tuning = tuning
        self.node = platform.node
        self.params = platform.params
        self._derive_shards()
        self.teams = {
            team.name: Team(team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max)
            for team in self.params.teams
        }
        self._derive_objectives()
        self._derive_transaction_limits()
        self._derive_timeouts()

    def _derive_shards(self) -> None:
        """Derive the shards: each node is the home of one shard."""
        platform = self.platform
        locations = {
            platform.node: platform.location,
            **{other.node: other.location for other in platform.others},
        }
        self.nodes = sorted(locations)
        self.shard_count = len(self.nodes)
        self.home_shard = self.nodes.index(platform.node)
        # Each shard's zone is that of its home node. Empty if there is one zone only, or a node has none.
        zones = [locations[node] for node in self.nodes]
        self.shard_zones = zones if len(set(zones)) > 1 and all(zones) else []

    def _derive_objectives(self) -> None:
        """Derive the times within which work is to start."""
        objectives = self.params.objectives
        waits = [
            (objective.cls, to_us(objective.within_s)) for objective in objectives if objective.kind == "wait"
        ]
        # The times of its submission within which jobs of a class are to start, ascending.
        self.start_objectives = {
            job_class: tuple(sorted(within_us for cls, within_us in waits if cls == job_class))
            for job_class, _ in waits
        }
        # The time within which work within a team's guarantee is to start; 0 if there is no such objective.
        guaranteed = [to_us(objective.within_s) for objective in objectives if objective.kind == "guarantee"]
        self.guaranteed_start_us = min(guaranteed, default=0)
        # The classes that are to start soon.
        urgent_us = to_us(self.tuning.backfilling.urgent_s)
        self.urgent_classes = frozenset(
            job_class for job_class, within in self.start_objectives.items() if within[0] <= urgent_us
        )

    def _derive_transaction_limits(self) -> None:
        """Derive the limits of this node's transactions.

        A transaction is refused unless the rate limit has room for all its changes at once. Seen: one of 16
        changes was refused again and again at a limit of 20 changes a second, while the small ones of the
        other nodes were accepted.
        """
        state = self.params.state
        self.txn_ops = max(min(state.txn_ops, int(state.write_rps / self.shard_count)), 1)
        self.transaction_limits = TransactionLimits(
            operations=self.txn_ops,
            conditions=CONDITIONS_PER_OPERATION * state.txn_ops,
            value_bytes=int(state.value_kb * BYTES_PER_KB),
        )

    def _derive_timeouts(self) -> None:
        """Derive the timeouts of leases, heartbeats and cancellations."""
        agents = self.params.workers
        self.lease_us = to_us(agents.lease_s)
        self.heartbeat_interval_us = to_us(agents.report_s)
        self.cancel_us = to_us(agents.cancel_s)
        leading = self.tuning.leading
        self.timeouts = derive_timeouts(
            self.lease_us,
            self.heartbeat_interval_us,
            self.cancel_us,
            to_us(leading.lease_s),
            to_us(leading.takeover_s),
            to_us(self.tuning.guarding.silent_s),
        )


def load(config: str, tuning: str | None) -> Settings:
    """Read and check both files.

    Args:
        config: The platform's file.
        tuning: The operators' file; by default the one in the environment, if any.

    Raises:
        SettingsError: A file can't be read, or a setting is wrong. The text is one line.
    """
    platform = load_platform(config)
    operators = load_tuning(tuning, platform.params.zones)
    check_platform(platform, config)
    return Settings(platform, operators)


def owner_config(settings: Settings) -> ShardOwnerConfig:
    """Return the settings of a shard owner."""
    backfilling = settings.tuning.backfilling
    guarding = settings.tuning.guarding
    return ShardOwnerConfig(
        shard_count=settings.shard_count,
        zone=settings.platform.location,
        lease_us=settings.lease_us,
        report_us=settings.heartbeat_interval_us,
        cancel_us=settings.cancel_us,
        queue_bounds_us=[to_us(bound_s) for bound_s in backfilling.bounds_s],
        initial_delay_us=to_us(backfilling.initial_delay_s),
        delay_batch_size=backfilling.batch,
        delay_threshold=backfilling.threshold,
        overrun_share=backfilling.overrun,
        machine_silence_us=settings.timeouts.silent_us,
        faulty_machine_errors=guarding.sick_errors,
        suspect_machines=guarding.suspect_machines,
        value_bytes=settings.transaction_limits.value_bytes,
        txn_ops=settings.txn_ops,
        txn_conditions=settings.transaction_limits.conditions,
        urgent_classes=settings.urgent_classes,
        start_objectives=settings.start_objectives,
        accelerator_penalty_us=to_us(backfilling.spare_s),
        first_start_within_us=to_us(backfilling.begin_s),
        shards_within_zones=bool(settings.shard_zones),
    )
