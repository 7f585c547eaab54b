"""The protocol that offloads tasks of a job from the origin cluster to a remote one, as two state machines.

In stored values and messages the origin cluster is called ``home``, the remote cluster ``guest``, and an
offload a ``loan``.

Each side keeps one durable record of an offload and decides by that record alone. Every function takes a
record and returns the next one and the messages that it permits, without input or output. The caller commits
the record in a compare-and-swap transaction first and then sends the messages. The messages that a record
permits (``origin_messages``, ``remote_messages``) may be sent again at any time, so a crash between writing
and sending, or a lost message, needs no recovery of its own. ``tests/test_handoff_model.py`` explores all
states of both machines over a channel that loses, duplicates, delays and reorders messages.

    origin: at home -> offered -> granted -> (recalling) -> at home | settled
    remote: none -> reserved -> holding -> (stopping) -> given back | finished -> none

- Nothing starts in the remote cluster before it has received the *grant*. The origin may withdraw the offer
  by itself before it has committed the grant, whatever the remote cluster does. After that, the offload ends
  only through the remote cluster, through an operator, or, for work that may run twice, with its term.
- Offload numbers only grow, and the remote cluster stores the highest number that it has seen of each job. It
  refuses an offer that arrives after its offload has ended, even minutes later, and then a late grant of it.
"""

from __future__ import annotations

import msgspec

from pearstep.domain.state_machine import TransitionTable

AT_ORIGIN = "at home"
OFFERED = "offered"
GRANTED = "granted"
RECALLING = "recalling"
SETTLED = "settled"  # the job has its final answer

ORIGIN_TRANSITIONS = TransitionTable(
    "loan at home",
    {
        AT_ORIGIN: (OFFERED, SETTLED),
        OFFERED: (AT_ORIGIN, GRANTED, SETTLED),
        GRANTED: (AT_ORIGIN, RECALLING, SETTLED),
        RECALLING: (AT_ORIGIN, SETTLED),
        SETTLED: (),
    },
)

NO_OFFLOAD = "none"
RESERVED = "reserved"  # resources are reserved for a bounded time; nothing may start
HOLDING = "holding"  # tasks may run here
STOPPING = "stopping"  # tasks are being stopped; nothing may start
RETURNED = "given back"  # nothing runs; not confirmed by the origin
FINISHED = "finished"  # all tasks are done; not confirmed by the origin

REMOTE_TRANSITIONS = TransitionTable(
    "loan at the guest",
    {
        NO_OFFLOAD: (RESERVED,),
        RESERVED: (NO_OFFLOAD, HOLDING, RESERVED),
        HOLDING: (STOPPING, FINISHED),
        STOPPING: (RETURNED, FINISHED),
        RETURNED: (NO_OFFLOAD, RESERVED),
        FINISHED: (NO_OFFLOAD, RESERVED),
    },
)

OFFER, ACCEPT, REFUSE, GRANT, RECALL, ENDED, RESULT, CONFIRM = (
    "offer",
    "accept",
    "refuse",
    "grant",
    "recall",
    "over",
    "result",
    "confirm",
)
# The remote cluster's request to renew the term of work that may run twice, and the origin's answer.
RENEW, RENEWED = "renew", "renewed"


class Message(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=False,
    rename={"task_mask": "rows", "done_mask": "done", "rerunnable": "repeats"},
):
    """A message about the offload ``number``.

    Later versions may add fields, which older versions ignore.

    Attributes:
        kind: The kind of message, such as ``OFFER``.
        number: The number of the offload.
        task_mask: The mask of the tasks that the message is about.
        done_mask: The mask of those tasks that are done.
        rerunnable: Whether the tasks may run twice.
        version: The version of the message format.
    """

    kind: str
    number: int
    task_mask: int = 0
    done_mask: int = 0
    rerunnable: bool = False
    version: int = 1


class OriginOffload(
    msgspec.Struct,
    frozen=True,
    rename={
        "task_mask": "rows",
        "done_mask": "done",
        "rerunnable": "repeats",
        "cancel_requested": "cancel",
        "final_state": "answer",
    },
):
    """The record of a job's offload in the origin cluster.

    Attributes:
        tasks: The number of tasks of the job.
        state: A state of ``ORIGIN_TRANSITIONS``.
        number: The number of this offload, or of the last one.
        task_mask: The mask of the offloaded tasks.
        done_mask: The mask of tasks that are done in either cluster.
        rerunnable: Whether the tasks may run twice.
        cancel_requested: Whether the user has requested a cancellation; it takes effect once no task can run.
        final_state: The final state of the job, as reported to the user; empty while there is none.
    """

    tasks: int
    state: str = AT_ORIGIN
    number: int = 0
    task_mask: int = 0
    done_mask: int = 0
    rerunnable: bool = False
    cancel_requested: bool = False
    final_state: str = ""

    @property
    def all_tasks(self) -> int:
        """The mask of all tasks."""
        return (1 << self.tasks) - 1

    @property
    def startable(self) -> int:
        """The mask of tasks that may start in the origin cluster now."""
        if self.final_state or self.cancel_requested:
            return 0
        offloaded = 0 if self.state == AT_ORIGIN else self.task_mask
        return self.all_tasks & ~self.done_mask & ~offloaded


class RemoteOffload(
    msgspec.Struct,
    frozen=True,
    rename={
        "task_mask": "rows",
        "done_mask": "done",
        "rerunnable": "repeats",
        "highest_number": "high",
    },
):
    """The record of an offload in the remote cluster.

    ``highest_number`` is the highest offload number that was ever received for this job of the origin; it is
    kept after the offload has ended.
    """

    state: str = NO_OFFLOAD
    number: int = 0
    task_mask: int = 0
    done_mask: int = 0
    rerunnable: bool = False
    highest_number: int = 0

    @property
    def startable(self) -> int:
        """The mask of tasks that may start here now."""
        return self.task_mask & ~self.done_mask if self.state == HOLDING else 0


OriginStep = tuple[OriginOffload, list[Message]]
RemoteStep = tuple[RemoteOffload, list[Message]]


def _with_origin_state(offload: OriginOffload, to: str, **fields: object) -> OriginOffload:
    """Return an origin record in another state; every change of its state but the final one is made here."""
    ORIGIN_TRANSITIONS.check(offload.state, to)
    return _settle(msgspec.structs.replace(offload, state=to, **fields))


def _settle(offload: OriginOffload) -> OriginOffload:
    """Set the final state of the job as soon as it is certain; it never changes afterwards."""
    if offload.final_state:
        return offload
    if offload.done_mask == offload.all_tasks:
        return msgspec.structs.replace(offload, state=SETTLED, final_state="done")
    if offload.cancel_requested and offload.state == AT_ORIGIN:
        return msgspec.structs.replace(offload, state=SETTLED, final_state="cancelled")
    return offload


def _with_remote_state(offload: RemoteOffload, to: str, **fields: object) -> RemoteOffload:
    """Return a remote record in another state; every change of its state is made here."""
    REMOTE_TRANSITIONS.check(offload.state, to)
    return msgspec.structs.replace(offload, state=to, **fields)


# -- the origin cluster --------------------------------------------------------------------------


def offer(offload: OriginOffload, number: int, task_mask: int, running: int) -> OriginStep:
    """Offer tasks that neither run nor are done, under a number that was never used.

    The caller offers all tasks of a gang or none.
    """
    if (
        offload.state != AT_ORIGIN
        or offload.final_state
        or offload.cancel_requested
        or number <= offload.number
    ):
        return offload, []
    task_mask &= offload.all_tasks & ~offload.done_mask & ~running
    if not task_mask:
        return offload, []
    changed = _with_origin_state(offload, OFFERED, number=number, task_mask=task_mask)
    return changed, origin_messages(changed)


def withdraw(offload: OriginOffload) -> OriginStep:
    """Withdraw an offer that was not granted, so that no task of it can have started or can start later."""
    return (
        (_with_origin_state(offload, AT_ORIGIN, task_mask=0), [])
        if offload.state == OFFERED
        else (offload, [])
    )


def recall(offload: OriginOffload) -> OriginStep:
    """Ask for the tasks back; they are returned once the remote cluster reports that none of them runs."""
    if offload.state != GRANTED:
        return withdraw(offload)
    changed = _with_origin_state(offload, RECALLING)
    return changed, origin_messages(changed)


def cancel(offload: OriginOffload) -> OriginStep:
    """Cancel the job for its user.

    The job is cancelled at once if nothing is offloaded, and otherwise once the remote cluster has reported
    that nothing runs. Before that the user is told to ask again, never that the job is cancelled.
    """
    if offload.final_state:
        return offload, []
    changed = msgspec.structs.replace(offload, cancel_requested=True)
    if changed.state == AT_ORIGIN:
        return _settle(changed), []
    return recall(changed)


def take_back_after_term(offload: OriginOffload) -> OriginStep:
    """Take back work that may run twice, after the end of its term.

    The time that the remote cluster may need to stop has passed as well (see ``terms``). Other work has no
    term.
    """
    if offload.rerunnable and offload.state in (GRANTED, RECALLING):
        return _with_origin_state(offload, AT_ORIGIN, task_mask=0), []
    return offload, []


def force_end(offload: OriginOffload) -> OriginStep:
    """Take back work because an operator states that the remote cluster will never run or report it.

    The caller records the operator and the reason. If the operator is wrong, tasks may run twice.
    """
    if offload.state in (GRANTED, RECALLING):
        return _with_origin_state(offload, AT_ORIGIN, task_mask=0), []
    return withdraw(offload)


def task_done_at_origin(offload: OriginOffload, task: int) -> OriginOffload:
    """Record that a task that ran in the origin cluster is done."""
    return _with_origin_state(offload, offload.state, done_mask=offload.done_mask | 1 << task)


def receive_at_origin(offload: OriginOffload, message: Message) -> OriginStep:
    """Apply a message of the remote cluster.

    The end of an earlier offload is confirmed, so that the remote cluster can drop its record, but its result
    is ignored. Other messages about earlier offloads change nothing.
    """
    is_current = message.number == offload.number and offload.state in (OFFERED, GRANTED, RECALLING)
    if message.kind == ACCEPT:
        if is_current and offload.state == OFFERED:
            offload = _with_origin_state(offload, GRANTED)
        return offload, origin_messages(offload) if is_current else [Message(RECALL, message.number)]
    if message.kind == REFUSE:
        if is_current and offload.state == OFFERED:
            offload = _with_origin_state(offload, AT_ORIGIN, task_mask=0)
        return offload, []
    if message.kind in (RESULT, ENDED):
        if is_current and offload.state != OFFERED:
            offload = _with_origin_state(
                offload,
                AT_ORIGIN,
                done_mask=offload.done_mask | (message.done_mask & offload.task_mask),
                task_mask=0,
            )
        return offload, [Message(CONFIRM, message.number)]
    return offload, []


def origin_messages(offload: OriginOffload) -> list[Message]:
    """Return the messages that the record permits, which may be sent again at any time."""
    if offload.state == OFFERED:
        return [Message(OFFER, offload.number, offload.task_mask, rerunnable=offload.rerunnable)]
    if offload.state == GRANTED:
        return [Message(GRANT, offload.number, offload.task_mask, rerunnable=offload.rerunnable)]
    if offload.state == RECALLING:
        return [Message(RECALL, offload.number)]
    return []


# -- the remote cluster --------------------------------------------------------------------------


def receive_at_remote(offload: RemoteOffload, message: Message, has_capacity: bool) -> RemoteStep:
    """Apply a message of the origin cluster; an offer is accepted only if ``has_capacity`` is set."""
    number = message.number
    is_current = number == offload.number and offload.state != NO_OFFLOAD
    if message.kind == OFFER:
        return (
            (offload, remote_messages(offload))
            if is_current
            else _receive_new_offer(offload, message, has_capacity)
        )
    if message.kind == GRANT:
        if is_current and offload.state == RESERVED:
            offload = _with_remote_state(offload, HOLDING)
        # A grant without a reservation is refused: its offer can no longer be accepted.
        return offload, remote_messages(offload) if is_current else [Message(ENDED, number)]
    if message.kind == RECALL:
        if is_current and offload.state == RESERVED:
            return _with_remote_state(offload, NO_OFFLOAD), [Message(ENDED, number)]
        if is_current and offload.state == HOLDING:
            offload = _with_remote_state(offload, STOPPING)
        return offload, remote_messages(offload) if is_current else [Message(ENDED, number)]
    if message.kind == CONFIRM:
        if is_current and offload.state in (RETURNED, FINISHED):
            return _with_remote_state(offload, NO_OFFLOAD), []
        return offload, []
    return offload, []


def _receive_new_offer(offload: RemoteOffload, message: Message, has_capacity: bool) -> RemoteStep:
    """Accept or refuse an offer with a number other than that of the current offload."""
    number = message.number
    if number <= offload.highest_number or offload.state not in (NO_OFFLOAD, RESERVED) or not has_capacity:
        # Seen in the model: an offer was repeated after its offload had ended, and the old grant followed it.
        return offload, [Message(REFUSE, number)]
    changed = _with_remote_state(
        offload,
        RESERVED,
        number=number,
        task_mask=message.task_mask,
        done_mask=0,
        highest_number=number,
        rerunnable=message.rerunnable,
    )
    return changed, remote_messages(changed)


def expire_reservation(offload: RemoteOffload) -> RemoteOffload:
    """End a reservation whose time has passed."""
    return _with_remote_state(offload, NO_OFFLOAD) if offload.state == RESERVED else offload


def begin_return(offload: RemoteOffload) -> RemoteOffload:
    """Begin to stop the tasks, because own jobs need the resources or the term is near its end."""
    return _with_remote_state(offload, STOPPING) if offload.state == HOLDING else offload


def task_done_at_remote(offload: RemoteOffload, task: int) -> RemoteStep:
    """Record that an offloaded task is done, also if it ended while it was being stopped."""
    if offload.state not in (HOLDING, STOPPING):
        return offload, []
    done_mask = offload.done_mask | (1 << task & offload.task_mask)
    changed = _with_remote_state(
        offload, FINISHED if done_mask == offload.task_mask else offload.state, done_mask=done_mask
    )
    return changed, remote_messages(changed)


def all_tasks_stopped(offload: RemoteOffload) -> RemoteStep:
    """Record that no task of the offload runs here any more and that its checkpoints are saved."""
    if offload.state != STOPPING:
        return offload, []
    changed = _with_remote_state(offload, RETURNED)
    return changed, remote_messages(changed)


def remote_messages(offload: RemoteOffload) -> list[Message]:
    """Return the messages that the record permits, which may be sent again at any time."""
    if offload.state == RESERVED:
        return [Message(ACCEPT, offload.number, offload.task_mask)]
    if offload.state == RETURNED:
        return [Message(ENDED, offload.number, offload.task_mask, offload.done_mask)]
    if offload.state == FINISHED:
        return [Message(RESULT, offload.number, offload.task_mask, offload.done_mask)]
    return []
