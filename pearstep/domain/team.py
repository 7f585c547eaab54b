"""Teams and their quotas."""

from __future__ import annotations

import msgspec

from pearstep.domain.resources import RESOURCE_EPSILON


class Team(msgspec.Struct, frozen=True):
    """A team with its guaranteed quota and its quota limit; 0: none.

    Attributes:
        name: the name of the team.
        cpus: guaranteed processors.
        cpus_max: the largest number of processors in use at the same time.
        gpus: guaranteed accelerators.
        gpus_max: the largest number of accelerators in use at the same time.
    """

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0

    def within_limit(self, cpus: float, gpus: float) -> bool:
        """Tell whether the team may use these amounts at the same time."""
        return _within_quota(cpus, self.cpus_max) and _within_quota(gpus, self.gpus_max)

    def within_guarantee(self, cpus: float, gpus: float) -> bool:
        """Tell whether the amounts are within the guaranteed quota; a resource without one is ignored."""
        return _within_quota(cpus, self.cpus) and _within_quota(gpus, self.gpus)


def _within_quota(amount: float, quota: float) -> bool:
    return not quota or amount <= quota + RESOURCE_EPSILON
