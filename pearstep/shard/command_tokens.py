"""The fencing tokens under which a shard's owner sends commands to its machines.

A worker refuses commands under a token that is lower than the highest it has seen. So a token that was raised
ends the right of every command that was sent under a lower one, also of a copy that arrives later.

Source: PROTOCOL, "Tokens", "Delayed messages".
"""

from __future__ import annotations

from collections.abc import Iterable

from pearstep.shard.machine import Machine, TaskKey


class CommandTokens:
    """Chooses the token for each machine of one owner, between its claim and its latest commit.

    Every commit of the owner is conditional on the version that its claim gave to the shard's key. So the
    revision of a commit that was applied is higher than the claim's, and lower than that of any later claim:
    as a token it still comes before every token of a later owner.

    Attributes:
        fencing_token: The version of the shard's key, with which the owner began.
        confirmed_revision: The latest revision at which the shard was certainly still held.
    """

    def __init__(self, fencing_token: int) -> None:
        """Create the tokens of an owner whose claim has this version."""
        self.fencing_token = fencing_token
        self.confirmed_revision = fencing_token

    def confirm(self, revision: int) -> None:
        """Note that a transaction conditional on the claim was applied at a revision."""
        self.confirmed_revision = max(self.confirmed_revision, revision)

    def token_for(self, machine: Machine) -> int:
        """Return the token for the next message to a machine."""
        return max(self.fencing_token, machine.raised_token)

    def is_of_later_owner(self, token: int) -> bool:
        """Tell whether only a later owner can have sent this token."""
        return token > self.confirmed_revision

    def acknowledge(self, machine: Machine, token: int) -> bool:
        """Take in the token that a machine shows; return whether it was sent by this owner."""
        if not self.fencing_token <= token <= self.confirmed_revision:
            return False
        machine.raised_token = max(machine.raised_token, token)
        return True

    def record_starts(self, machine: Machine, starts: Iterable[TaskKey]) -> int:
        """Note which attempts a direct command starts; return the token to send it under."""
        token = self.token_for(machine)
        machine.start_tokens.update(dict.fromkeys(starts, token))
        return token

    def outdate_start(self, machine: Machine, attempt: TaskKey) -> bool:
        """Raise the machine's token above that of an attempt's direct start, if it is not higher yet.

        Returns:
            Whether it is higher now; False until a later transaction of this owner is applied.
        """
        start_token = machine.start_tokens.get(attempt, 0)
        if self.token_for(machine) <= start_token < self.confirmed_revision:
            machine.raised_token = self.confirmed_revision
        return self.token_for(machine) > start_token
