"""All states of the handoff protocol: one job of two tasks, two clusters, and a channel that loses,
duplicates, delays and reorders messages, with crashes at any point. Each message that was ever sent stays in
the channel, so it may arrive at any time, any number of times, or never. A crash leaves the records, and the
messages that a record permits may be sent again.
"""

import msgspec
import pytest

from pearstep.federation import handoff
from pearstep.federation.handoff import Message, OriginOffload, RemoteOffload


class ModelState(msgspec.Struct, frozen=True):
    origin: OriginOffload
    remote: RemoteOffload = RemoteOffload()
    sent: frozenset = frozenset()
    running_at_origin: int = 0  # mask of the tasks that run there
    running_at_remote: int = 0
    # For work with a term: the number of the last offload that the remote cluster has ended by its own clock.
    ended_number: int = 0
    final_states: tuple = ()
    max_offloads: int = 2  # the number of offloads that may be made


class ProtocolFunctions:
    """The functions of the protocol; a broken variant replaces one of them."""

    receive_at_remote = staticmethod(handoff.receive_at_remote)
    receive_at_origin = staticmethod(handoff.receive_at_origin)
    recall = staticmethod(handoff.recall)
    cancel = staticmethod(handoff.cancel)
    remote_startable = staticmethod(lambda offload: offload.startable)
    take_back_waits_for_remote = True


def next_states(state, functions):
    """Yield all states that may follow."""

    def with_origin(step, **changes):
        offload, messages = step
        final_states = state.final_states + (
            (offload.final_state,) if offload.final_state and not state.origin.final_state else ()
        )
        if state.origin.final_state and offload.final_state != state.origin.final_state:
            final_states += (offload.final_state,)
        return msgspec.structs.replace(
            state, origin=offload, sent=state.sent | set(messages), final_states=final_states, **changes
        )

    def with_remote(step, **changes):
        offload, messages = step
        return msgspec.structs.replace(state, remote=offload, sent=state.sent | set(messages), **changes)

    origin, remote = state.origin, state.remote
    for message in state.sent:
        if message.kind in (handoff.OFFER, handoff.GRANT, handoff.RECALL, handoff.CONFIRM):
            for has_capacity in (True, False) if message.kind == handoff.OFFER else (True,):
                yield with_remote(functions.receive_at_remote(remote, message, has_capacity))
        else:
            yield with_origin(functions.receive_at_origin(origin, message))
    yield msgspec.structs.replace(
        state, sent=state.sent | set(handoff.origin_messages(origin)) | set(handoff.remote_messages(remote))
    )
    if origin.number < state.max_offloads:
        for task_mask in (0b11, 0b10):
            yield with_origin(handoff.offer(origin, origin.number + 1, task_mask, state.running_at_origin))
    yield with_origin(handoff.withdraw(origin))
    yield with_origin(functions.recall(origin))
    if not state.running_at_origin:
        # The origin cluster stops its own running tasks before it cancels a job.
        yield with_origin(functions.cancel(origin))
    for task in (0, 1):
        bit = 1 << task
        if origin.startable & bit and not state.running_at_origin & bit:
            yield msgspec.structs.replace(state, running_at_origin=state.running_at_origin | bit)
        if state.running_at_origin & bit:
            yield with_origin(
                (handoff.task_done_at_origin(origin, task), []),
                running_at_origin=state.running_at_origin & ~bit,
            )
            yield msgspec.structs.replace(state, running_at_origin=state.running_at_origin & ~bit)
        if functions.remote_startable(remote) & bit and not state.running_at_remote & bit:
            yield msgspec.structs.replace(state, running_at_remote=state.running_at_remote | bit)
        if state.running_at_remote & bit:
            yield with_remote(
                handoff.task_done_at_remote(remote, task), running_at_remote=state.running_at_remote & ~bit
            )
            yield msgspec.structs.replace(state, running_at_remote=state.running_at_remote & ~bit)
    yield with_remote((handoff.expire_reservation(remote), []))
    yield with_remote((handoff.begin_return(remote), []))
    if not state.running_at_remote:
        yield with_remote(handoff.all_tasks_stopped(remote))
    if origin.rerunnable:
        # The remote cluster's clock ends the offload and its tasks first (``terms``).
        if remote.state in (handoff.HOLDING, handoff.STOPPING) and remote.number > state.ended_number:
            offload = handoff.begin_return(remote)
            yield msgspec.structs.replace(
                state, remote=offload, running_at_remote=0, ended_number=remote.number
            )
        if not functions.take_back_waits_for_remote or (
            state.ended_number >= origin.number
            or remote.number != origin.number
            or remote.state in (handoff.NO_OFFLOAD, handoff.RETURNED, handoff.FINISHED)
        ):
            yield with_origin(
                handoff.take_back_after_term(origin), ended_number=max(state.ended_number, origin.number)
            )


def violation(state):
    """Return the rule that a state violates, or an empty text."""
    if state.running_at_origin & state.running_at_remote:
        return "a task runs in both clusters"
    if len(state.final_states) > 1:
        return f"two final answers {state.final_states}"
    if state.origin.final_state == "done" and state.origin.done_mask != state.origin.all_tasks:
        return "done before all tasks are"
    if state.origin.final_state == "cancelled" and state.running_at_remote:
        return "cancelled while it runs"
    if state.running_at_origin & state.origin.done_mask and not state.origin.rerunnable:
        return "a task that is done runs again"
    return ""


def explore(start, functions):
    """Return all reachable states with their predecessors, and the first violation, at which it stops."""
    predecessors = {start: []}
    unvisited = [start]
    while unvisited:
        state = unvisited.pop()
        for following in next_states(state, functions):
            if (
                functions.take_back_waits_for_remote
                and following.origin.rerunnable
                and following.ended_number >= following.remote.number
            ):
                # The remote cluster starts no task of an offload whose term has ended by its own clock.
                if following.running_at_remote & ~state.running_at_remote:
                    continue
            if following == state:
                continue
            if following not in predecessors:
                violation_text = violation(following)
                if violation_text:
                    return predecessors, f"{violation_text}: {following}"
                predecessors[following] = []
                unvisited.append(following)
            predecessors[following].append(state)
    return predecessors, ""


# With a term, two tasks and two offloads there are 811,774 states; they passed in 67 s, outside CI.
@pytest.mark.parametrize("tasks,offloads,rerunnable", [(2, 2, False), (2, 1, True), (1, 2, True)])
def test_no_state_violates_a_rule_and_each_state_can_reach_an_end(tasks, offloads, rerunnable, capsys):
    start = ModelState(OriginOffload(tasks, rerunnable=rerunnable), max_offloads=offloads)
    predecessors, violation_text = explore(start, ProtocolFunctions)
    assert not violation_text
    # An end: the final state is set, the remote cluster has no offload, no task runs.
    final = [
        state
        for state in predecessors
        if state.origin.final_state
        and state.remote.state == handoff.NO_OFFLOAD
        and not (state.running_at_origin | state.running_at_remote)
    ]
    can_end = set(final)
    unvisited = list(final)
    while unvisited:
        for before in predecessors[unvisited.pop()]:
            if before not in can_end:
                can_end.add(before)
                unvisited.append(before)
    stuck = [state for state in predecessors if state not in can_end]
    assert not stuck, stuck[0]
    assert {state.origin.state for state in predecessors} == set(handoff.ORIGIN_TRANSITIONS.transitions) and {
        state.remote.state for state in predecessors
    } == set(handoff.REMOTE_TRANSITIONS.transitions)
    with capsys.disabled():
        print(
            f" [handoff, {tasks} tasks, {offloads} loans, repeats={rerunnable}: {len(predecessors)} states]",
            end="",
        )


class IgnoresHighestNumber(ProtocolFunctions):
    """Offers of earlier offloads are accepted again."""

    @staticmethod
    def receive_at_remote(offload, message, has_capacity):
        return handoff.receive_at_remote(
            msgspec.structs.replace(offload, highest_number=0), message, has_capacity
        )


class StartsOnReservation(ProtocolFunctions):
    remote_startable = staticmethod(
        lambda offload: (
            offload.task_mask & ~offload.done_mask
            if offload.state in (handoff.RESERVED, handoff.HOLDING)
            else 0
        )
    )


class RecallsWithoutAnswer(ProtocolFunctions):
    """A recall takes effect before the remote cluster has answered."""

    @staticmethod
    def recall(offload):
        return handoff.force_end(offload) if offload.state == handoff.GRANTED else handoff.recall(offload)


class CancelsWithoutAnswer(ProtocolFunctions):
    @staticmethod
    def cancel(offload):
        if offload.final_state:
            return offload, []
        return msgspec.structs.replace(
            offload, state=handoff.SETTLED, final_state="cancelled", cancel_requested=True
        ), []


class AcceptsOldResults(ProtocolFunctions):
    """Results of any offload are applied to the current one."""

    @staticmethod
    def receive_at_origin(offload, message):
        if message.kind in (handoff.RESULT, handoff.ENDED):
            message = msgspec.structs.replace(message, number=offload.number)
        return handoff.receive_at_origin(offload, message)


class OverwritesFinalState(ProtocolFunctions):
    """A result overwrites the final state that the job already has."""

    @staticmethod
    def receive_at_origin(offload, message):
        if message.kind == handoff.RESULT and offload.final_state:
            return msgspec.structs.replace(offload, final_state="done"), []
        return handoff.receive_at_origin(offload, message)


class TakesBackBeforeRemoteStops(ProtocolFunctions):
    take_back_waits_for_remote = False


@pytest.mark.parametrize(
    "functions,rerunnable",
    [
        (IgnoresHighestNumber, False),
        (StartsOnReservation, False),
        (RecallsWithoutAnswer, False),
        (CancelsWithoutAnswer, False),
        (AcceptsOldResults, False),
        (OverwritesFinalState, True),
        (TakesBackBeforeRemoteStops, True),
    ],
)
def test_each_broken_variant_is_detected(functions, rerunnable):
    _, violation_text = explore(ModelState(OriginOffload(2, rerunnable=rerunnable)), functions)
    assert violation_text, functions.__name__


def test_older_and_newer_peers_read_each_others_messages():
    class LaterMessage(msgspec.Struct, frozen=True):
        kind: str
        number: int
        rows: int = 0
        done: int = 0
        repeats: bool = False
        version: int = 2
        urgency: str = "high"

    raw = msgspec.msgpack.encode(LaterMessage("offer", 5, 3))
    assert msgspec.msgpack.decode(raw, type=Message) == Message("offer", 5, 3, version=2)
    back = msgspec.msgpack.decode(msgspec.msgpack.encode(Message("grant", 5, 3)), type=LaterMessage)
    assert (back.kind, back.urgency) == ("grant", "high")
