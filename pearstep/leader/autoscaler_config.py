"""The operators' tuning of the autoscaler."""

from __future__ import annotations

from dataclasses import dataclass, field

from pearstep.domain.scheduling_order import StartObjectives
from pearstep.domain.units import SECOND_US


@dataclass
class AutoscalerConfig:
    """The operators' tuning of the autoscaler.

    Attributes:
        idle_us: The time that a machine may be idle before it is returned.
        max_per_request: The maximum number of machines in one request.
        max_machines: The maximum number of machines in the fleet.
        refusal_backoff_us: The time for which an instance kind is not requested after the cloud had none.
        boot_factor: A boot is given up after this multiple of the type's boot time, plus ``boot_margin_us``.
        boot_margin_us: The time added to that multiple.
        boot_wait_factor: Jobs wait for running tasks to end for up to this multiple of their wait time, by
            default the longest boot time, before machines are rented; 0: they do not wait.
        overrun_share: The share of its elapsed time that a task past its estimate is expected to run on.
        urgent_classes: The job classes that wait for at most half of their first objective.
        start_objectives: The start objectives by job class.
        consolidation_interval_us: The time between two consolidations; 0: no consolidation.
        consolidation_min_run_us: A task is moved only if it has run for longer than this.
        consolidation_min_left_us: A machine is drained only if one of its tasks has at least this time left.
        max_price_ratio: The maximum price per task as a multiple of the cheapest one; 0: no limit.
    """

    idle_us: int
    max_per_request: int
    max_machines: int
    refusal_backoff_us: int
    boot_factor: float
    boot_margin_us: int
    boot_wait_factor: float = 1.0
    overrun_share: float = 0.25
    urgent_classes: frozenset[str] = frozenset()
    start_objectives: StartObjectives = field(default_factory=dict)
    consolidation_interval_us: int = 0
    consolidation_min_run_us: int = 35 * SECOND_US
    consolidation_min_left_us: int = 20 * SECOND_US
    max_price_ratio: float = 0.0
