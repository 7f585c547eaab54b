"""The health of a peer cluster, by the time since its last answer; without input or output.

Health decides only whether offers are made, never the state of an offload: a peer that counts as gone still
holds what it was granted until it reports otherwise.
"""

from __future__ import annotations

import msgspec

from pearstep.domain.state_machine import TransitionTable

NEW = "new"  # no answer was received yet
UP = "up"
SUSPECT = "suspect"  # an answer is overdue: nothing new is offered
UNREACHABLE = "cut"  # silent for longer; offloaded work continues and its terms run
GONE = "gone"  # silent for so long that an operator has to decide
RECONCILING = "back"  # answers again; both sides exchange the state of every offload before it is up
DRAINED = "drained"  # drained by an operator: no offer is made or accepted

# A link counts as stable once it was up for longer than so many times the longest backoff.
STABLE_LINK_BACKOFFS = 4

PEER_TRANSITIONS = TransitionTable(
    "peer",
    {
        NEW: (RECONCILING, DRAINED),
        UP: (SUSPECT, DRAINED),
        SUSPECT: (UP, UNREACHABLE, DRAINED),
        UNREACHABLE: (RECONCILING, GONE, DRAINED),
        GONE: (RECONCILING, DRAINED),
        RECONCILING: (UP, UNREACHABLE, DRAINED),
        DRAINED: (RECONCILING,),
    },
)


class HealthTimeouts(
    msgspec.Struct,
    frozen=True,
    rename={
        "unreachable_us": "cut_us",
        "required_answers": "answers",
        "backoff_us": "rest_us",
        "max_backoff_us": "longest_rest_us",
    },
):
    """The limits that decide the state of a peer.

    Attributes:
        suspect_us: The silence after which a peer is suspect.
        unreachable_us: The silence after which it is unreachable.
        gone_us: The silence after which it is gone.
        required_answers: The number of answers that a peer must give again before it is up.
        backoff_us: The first backoff after a peer became unreachable, during which it receives no offers.
        max_backoff_us: The longest backoff.
    """

    suspect_us: int = 3_000_000
    unreachable_us: int = 15_000_000
    gone_us: int = 3_600_000_000
    required_answers: int = 3
    backoff_us: int = 5_000_000
    max_backoff_us: int = 600_000_000


class PeerHealth:
    """The health of one peer.

    Its state changes in ``answer_received``, ``records_agreed`` and ``check_silence``, and in an operator's
    ``drain`` and ``resume``.
    """

    def __init__(self, name: str, timeouts: HealthTimeouts, now_us: int) -> None:
        """Begin with a peer that has not answered yet."""
        self.name = name
        self.timeouts = timeouts
        self.state = NEW
        self.last_answer_us = now_us
        self.answers = 0
        self.backoff_us = timeouts.backoff_us
        self.up_since_us = now_us
        self.no_offers_before_us = 0
        self.have_records_agreed = False

    def answer_received(self, now_us: int) -> None:
        """Record an answer, also one that arrives late."""
        self.last_answer_us = now_us
        if self.state in (NEW, UNREACHABLE, GONE):
            self.answers, self.have_records_agreed = 0, False
            PEER_TRANSITIONS.transition(self, RECONCILING)
        elif self.state == SUSPECT:
            PEER_TRANSITIONS.transition(self, UP)
        self.answers += 1
        self._mark_up_if_ready(now_us)

    def records_agreed(self, now_us: int) -> None:
        """Record that both sides have exchanged the state of every offload since the peer answers again."""
        self.have_records_agreed = True
        self._mark_up_if_ready(now_us)

    def _mark_up_if_ready(self, now_us: int) -> None:
        """Set a reconciling peer to up once it has answered often enough and the records agree."""
        if (
            self.state == RECONCILING
            and self.have_records_agreed
            and self.answers >= self.timeouts.required_answers
        ):
            self.up_since_us = now_us
            PEER_TRANSITIONS.transition(self, UP)

    def check_silence(self, now_us: int) -> None:
        """Change the state by the time since the last answer."""
        silent_us = now_us - self.last_answer_us
        if self.state == UP and silent_us >= self.timeouts.suspect_us:
            PEER_TRANSITIONS.transition(self, SUSPECT)
        if self.state in (SUSPECT, RECONCILING) and silent_us >= self.timeouts.unreachable_us:
            # The backoff doubles each time, unless the link was stable before.
            was_stable = now_us - self.up_since_us > STABLE_LINK_BACKOFFS * self.timeouts.max_backoff_us
            self.backoff_us = (
                self.timeouts.backoff_us
                if was_stable
                else min(2 * self.backoff_us, self.timeouts.max_backoff_us)
            )
            self.no_offers_before_us = now_us + self.backoff_us
            PEER_TRANSITIONS.transition(self, UNREACHABLE)
        if self.state == UNREACHABLE and silent_us >= self.timeouts.gone_us:
            PEER_TRANSITIONS.transition(self, GONE)

    def drain(self) -> None:
        """Stop making and accepting offers."""
        PEER_TRANSITIONS.transition(self, DRAINED)

    def resume(self) -> None:
        """End a drain; the records of both sides must agree again first."""
        self.answers, self.have_records_agreed = 0, False
        PEER_TRANSITIONS.transition(self, RECONCILING)

    def accepts_offers(self, now_us: int) -> bool:
        """Tell whether offers may be made to the peer now."""
        return self.state == UP and now_us >= self.no_offers_before_us
