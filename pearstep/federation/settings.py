"""The operator's settings for offloading between clusters: a YAML file that is checked at start.

The peers themselves are kept in the state service (`pearstep peers`), so that they change while controllers
run.
"""

from __future__ import annotations

import msgspec

from pearstep.federation.offload_selection import Policy
from pearstep.transport.settings_file import Address, NotNegative, Positive, PositiveInt, read_settings


class FederationError(Exception):
    """A setting is missing or wrong; the text is one line for the operator."""


class PeerHealthSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Silence after which a peer is suspect, unreachable and gone, and the first backoff once it answers."""

    suspect_s: Positive = 3.0
    cut_s: Positive = 15.0
    gone_s: Positive = 3600.0
    rest_s: NotNegative = 5.0


class OffloadSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Which jobs may be offloaded.

    A job may be if it has waited ``wait_s`` and would start here later than its service-level objective, or
    later than ``aim_s`` if its class has none. ``classes`` may be offloaded (if none is named: all but
    ``keep_classes``), ``keep_teams`` may not.
    """

    classes: list[str] = []
    keep_classes: list[str] = []
    keep_teams: list[str] = []
    wait_s: NotNegative = 10.0
    aim_s: NotNegative = 30.0
    gain: NotNegative = 0.25
    least_gain_s: NotNegative = 5.0
    most_price: Positive = 2.0
    # Classes whose tasks may run twice, with the silence after which they are taken back.
    terms_s: dict[str, Positive] = {}
    most_under_way: PositiveInt = 32
    most_returns: PositiveInt = 3

    def policy(self) -> Policy:
        """Return the policy for the selection of offloads."""
        return Policy(
            frozenset(self.classes),
            frozenset(self.keep_classes),
            frozenset(self.keep_teams),
            self.gain,
            int(self.least_gain_s * 1e6),
            self.most_price,
            max_open_offers=self.most_under_way,
            max_returns=self.most_returns,
        )


class FederationSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The settings of the federation file; times are in seconds.

    Attributes:
        keys: The site's folder of keys.
        binds: The address at which each controller accepts links, by name of the controller.
        archives: The site's archive nodes; without any, descriptions, logs and files are not transferred.
        patience: The limits for the health of peers.
        leaving: Which jobs may be offloaded.
        reserve_s: How long resources are reserved for an offer.
        offer_s: After how long an offer without an answer is withdrawn.
        yield_s: How long own work may wait before work of peers is preempted.
        idle_s: How long work of a peer may find no free resources before it is returned.
        margin_s: How long controllers may take to notice the end of a term, with the error of their clocks.
        step_s: The interval between steps of the link.
        lend_s: The interval between decisions on what to offload.
    """

    keys: str
    binds: dict[str, Address]
    archives: list[Address] = []
    patience: PeerHealthSettings = msgspec.field(default_factory=PeerHealthSettings)
    leaving: OffloadSettings = msgspec.field(default_factory=OffloadSettings)
    reserve_s: Positive = 30.0
    offer_s: Positive = 10.0
    yield_s: Positive = 2.0
    idle_s: Positive = 20.0
    margin_s: Positive = 5.0
    step_s: Positive = 0.25
    lend_s: Positive = 1.0


def load(file: str) -> FederationSettings:
    """Read and check a file.

    Raises:
        FederationError: The file can't be read or a setting is wrong; the text is one line.
    """
    settings = read_settings(file, FederationSettings, FederationError)
    if not settings.binds:
        raise FederationError(f"{file}: `binds` names no controller")
    if settings.offer_s >= settings.reserve_s:
        raise FederationError(f"{file}: offer_s must be less than reserve_s, for which its room is kept")
    return settings
