"""State machines: a table of allowed transitions and a function that checks and makes them."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from pearstep.domain.errors import DomainError

State = TypeVar("State", bound=str)


class Stateful(Protocol[State]):
    """An object with a state."""

    state: State


class InvalidTransitionError(DomainError):
    """A transition that the table does not allow: a bug in this program, never caused by a peer's message."""


class TransitionTable(Generic[State]):
    """The allowed transitions of one kind of state machine."""

    def __init__(self, name: str, transitions: dict[State, tuple[State, ...]]) -> None:
        """Create a table that lists the states that may follow each state."""
        self.name = name
        self.transitions = transitions

    def transition(self, subject: Stateful[State], target: State) -> None:
        """Change the state of a subject; keeping the current state is always allowed.

        Raises:
            InvalidTransitionError: the table does not allow the transition; the state is unchanged.
        """
        self.check(subject.state, target)
        subject.state = target

    def check(self, state: State, target: State) -> None:
        """Check a transition without making it, for records that are replaced as a whole.

        Raises:
            InvalidTransitionError: the table does not allow the transition.
        """
        if state != target and target not in self.transitions[state]:
            raise InvalidTransitionError(f"{self.name}: {state} -> {target}")
