"""The health of a peer cluster: whether it can be reached, and for how long not; without input or output.

Health decides what is offered, never what is true of an offload: a peer that counts as gone still holds what
it was granted until it says otherwise.
"""

from __future__ import annotations

import msgspec

from pearstep.domain.state_machine import TransitionTable

NEW = "new"  # never heard from
UP = "up"
SUSPECT = "suspect"  # an answer is overdue: nothing new is offered
CUT = "cut"  # silent for longer; offloaded work goes on, terms run
GONE = "gone"  # silent for so long that an operator is asked
BACK = "back"  # heard from again: both sides agree on every offload before it is up
DRAINED = "drained"  # by an operator: nothing is offered or taken

# A link that was up for so many times the longest backoff counts as stable.
STABLE_BACKOFFS = 4

PEER = TransitionTable(
    "peer",
    {
        NEW: (BACK, DRAINED),
        UP: (SUSPECT, DRAINED),
        SUSPECT: (UP, CUT, DRAINED),
        CUT: (BACK, GONE, DRAINED),
        GONE: (BACK, DRAINED),
        BACK: (UP, CUT, DRAINED),
        DRAINED: (BACK,),
    },
)


class Patience(msgspec.Struct, frozen=True):
    """The limits for the health of a peer.

    Attributes:
        suspect_us: The silence after which a peer is suspect.
        cut_us: The silence after which it counts as cut off.
        gone_us: The silence after which it counts as gone.
        answers: How many answers a peer that came back must give before it is up.
        rest_us: The first backoff after a peer was cut off, during which nothing is offered to it.
        longest_rest_us: The longest backoff.
    """

    suspect_us: int = 3_000_000
    cut_us: int = 15_000_000
    gone_us: int = 3_600_000_000
    answers: int = 3
    rest_us: int = 5_000_000
    longest_rest_us: int = 600_000_000


class Peer:
    """The health of one peer.

    Its state changes in ``heard``, ``agree`` and ``tick``, and in an operator's ``drain`` and ``resume``.
    """

    def __init__(self, name: str, patience: Patience, now_us: int) -> None:
        """Begin with a peer that was never heard from."""
        self.name = name
        self.patience = patience
        self.state = NEW
        self.heard_us = now_us
        self.answers = 0
        self.rest_us = patience.rest_us
        self.up_since_us = now_us
        self.not_before_us = 0
        self.agreed = False

    def heard(self, now_us: int) -> None:
        """Take in an answer; a late one counts like any other."""
        self.heard_us = now_us
        if self.state in (NEW, CUT, GONE):
            self.answers, self.agreed = 0, False
            PEER.transition(self, BACK)
        elif self.state == SUSPECT:
            PEER.transition(self, UP)
        self.answers += 1
        self._rise(now_us)

    def agree(self, now_us: int) -> None:
        """Take in that both sides have told each other of every offload since the peer is back."""
        self.agreed = True
        self._rise(now_us)

    def _rise(self, now_us: int) -> None:
        """Count a peer that is back as up once it has answered often enough and both sides agree."""
        if self.state == BACK and self.agreed and self.answers >= self.patience.answers:
            self.up_since_us = now_us
            PEER.transition(self, UP)

    def tick(self, now_us: int) -> None:
        """Change the state by how long the peer has been silent."""
        silent_us = now_us - self.heard_us
        if self.state == UP and silent_us >= self.patience.suspect_us:
            PEER.transition(self, SUSPECT)
        if self.state in (SUSPECT, BACK) and silent_us >= self.patience.cut_us:
            # An unstable link costs each time: the backoff doubles unless the link has been stable.
            was_stable = now_us - self.up_since_us > STABLE_BACKOFFS * self.patience.longest_rest_us
            self.rest_us = (
                self.patience.rest_us if was_stable else min(2 * self.rest_us, self.patience.longest_rest_us)
            )
            self.not_before_us = now_us + self.rest_us
            PEER.transition(self, CUT)
        if self.state == CUT and silent_us >= self.patience.gone_us:
            PEER.transition(self, GONE)

    def drain(self) -> None:
        """Offer and take nothing new from now on."""
        PEER.transition(self, DRAINED)

    def resume(self) -> None:
        """End a drain; both sides must agree again."""
        self.answers, self.agreed = 0, False
        PEER.transition(self, BACK)

    def lends(self, now_us: int) -> bool:
        """Tell whether something new may be offered to the peer."""
        return self.state == UP and now_us >= self.not_before_us
