"""Failure cases of the shard owner: double starts, takeover, late messages, cancellations, gangs."""

from pearstep.domain.job_state import JobState
from pearstep.domain.units import SECOND_US
from pearstep.protocol.controller_messages import OPERATION_TO_WIRE, encode_commands
from pearstep.shard.commands import Command, CommandAction, Heartbeat, ShardActions
from pearstep.shard.freed_attempt import EndEvidence
from pearstep.state.records import DrainRecord, JobRecord, PlacementRecord, RouteRecord
from tests.world import ShardHarness, spec


def test_start_is_sent_only_after_its_placement_is_committed():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec())
    world.run_pass()
    assert world.report("m1") == []  # placed but not committed: no command may be sent
    actions = world.commit()
    assert world.starts(actions) == {("m1", "req-1/0", 1), ("m1", "req-1/1", 2)}
    assert {o[1] for o in world.report("m1") if o[0] == "start"} == {"req-1/0", "req-1/1"}


def test_job_ends_with_its_last_task_and_the_task_is_forgotten_afterwards():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec(tasks=1))
    world.run_and_commit()
    world.report("m1", ("req-1/0", 1, "running"))
    assert world.report("m1", ("req-1/0", 1, "exited", "done")) == []  # not recorded yet: no forget command
    world.run_and_commit()
    assert world.replica.jobs["req-1"].state == "done"
    assert ("forget", "req-1/0", 1, None) in world.report("m1", ("req-1/0", 1, "exited", "done"))


def test_silent_machine_keeps_its_task_until_its_lease_has_certainly_expired():
    world = ShardHarness(machine_silence_us=1000 * SECOND_US)
    world.add_machine("m1")
    world.add_machine("m2")
    world.submit(spec(tasks=1))
    ((machine, _, _),) = world.starts(world.run_and_commit())
    world.report(machine, ("req-1/0", 1, "running"))
    other = "m2" if machine == "m1" else "m1"
    world.advance_clock(15)
    world.report(other)
    assert not world.starts(world.run_and_commit())
    world.advance_clock(3)
    world.report(other)
    assert {m for m, _, _ in world.starts(world.run_and_commit())} == {other}


def test_lease_expiry_does_not_free_tasks_before_the_machine_has_our_token():
    world = ShardHarness(machine_silence_us=1000 * SECOND_US)
    world.add_machine("m1")
    world.submit(spec(tasks=1))
    world.run_and_commit()
    world.take_over()
    world.advance_clock(500)
    world.add_machine("m2")
    assert not world.starts(world.run_and_commit())
    world.report("m1", session=2)  # a new session: the worker has killed all its tasks
    assert {n for _, _, n in world.starts(world.run_and_commit())} == {2}


def test_silent_machine_is_drained_as_lost_then_deleted_then_its_task_is_freed():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec(tasks=1))
    world.run_and_commit()
    world.take_over()
    world.add_machine("m2")
    world.advance_clock(11)
    world.report("m2")
    world.run_and_commit()
    assert world.replica.drains["m1"].reason == "lost"
    assert world.run_pass().machines_to_delete == ["m1"]
    assert not world.starts(world.run_and_commit())
    world.owner.on_machine_deleted("m1", world.now, world.now)
    world.report("m2")
    assert {m for m, _, _ in world.starts(world.run_and_commit())} == {"m2"}
    assert world.report("m1", ("req-1/0", 1, "running")) == []  # a delayed heartbeat


def test_late_heartbeat_changes_nothing():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec(tasks=1))
    world.run_and_commit()
    world.report("m1", ("req-1/0", 1, "running"), sequence=9)
    world.report("m1", ("req-1/0", 1, "exited", "done"), sequence=8)
    world.run_and_commit()
    assert world.replica.jobs["req-1"].state == "queued"


def test_attempt_with_an_unanswered_direct_start_is_neither_ended_nor_forgotten():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec(tasks=1))
    world.run_and_commit()
    m = world.owner.machines["m1"]
    world.owner.on_commands_sent(m, [Command(CommandAction.START, "req-1/0", 1)], world.now)
    world.put("j/req-1", JobRecord(spec(tasks=1), world.now, JobState.CANCELLED, world.now))
    world.run_pass()
    world.report("m1")  # without the task, but the start may still arrive
    assert m.attempts
    world.report("m1", ("req-1/0", 1, "exited", "stopped"))
    world.run_and_commit()
    assert world.report("m1", ("req-1/0", 1, "exited", "stopped")) == []
    world.owner.on_commands_answered(m, [Command(CommandAction.START, "req-1/0", 1)])
    assert world.report("m1", ("req-1/0", 1, "exited", "stopped")) == [("forget", "req-1/0", 1, None)]


def test_cancelled_task_is_stopped_and_its_machine_deleted_if_it_cannot_confirm():
    world = ShardHarness(machine_silence_us=1000 * SECOND_US)
    world.add_machine("m1")
    world.submit(spec(tasks=1))
    world.run_and_commit()
    world.report("m1", ("req-1/0", 1, "running"))
    world.put("j/req-1", JobRecord(spec(tasks=1), world.now, JobState.CANCELLED, world.now))
    assert ("stop", "req-1/0", 1, 0.0) in world.run_pass().commands["m1"]
    world.advance_clock(21)
    world.report("m1", ("req-1/0", 1, "running"))
    world.run_and_commit()
    assert world.replica.drains["m1"].reason == "stuck"
    assert world.run_pass().machines_to_delete == ["m1"]


def test_placement_fails_if_a_cancellation_commits_first():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec())
    world.run_pass()
    world.ledger.txn({}, {"j/req-1": JobRecord(spec(), world.now, JobState.CANCELLED, world.now)})
    assert not world.starts(world.commit())
    assert not world.owner.machines["m1"].attempts


def test_placement_fails_if_a_drain_or_a_moved_route_commits_first():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec())
    world.run_pass()
    world.ledger.txn({}, {"d/m1": DrainRecord("idle", world.now)})
    assert not world.starts(world.commit())
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec())
    world.run_pass()
    world.ledger.txn({}, {"r/0/req-1": RouteRecord("")})
    assert not world.starts(world.commit())


def test_unknown_outcome_of_a_commit_is_resolved_from_the_records():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec(tasks=1))
    world.run_pass()
    batch = world.owner.gather_commit(world.now, world.now)
    world.ledger.txn(batch.preconditions, {k: v for k, (v, _) in batch.puts.items()})
    world.catch_up()
    world.owner.on_rejected(batch, world.now, world.now, unchanged=False)
    assert [o[0] for o in world.report("m1")] == ["start"]  # the commit was applied, so the task is started
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec(tasks=1))
    world.run_pass()
    late_commit = world.owner.gather_commit(world.now, world.now)
    world.owner.on_rejected(late_commit, world.now, world.now, unchanged=False)
    world.run_and_commit()  # placed again and committed
    assert isinstance(
        world.ledger.txn(late_commit.preconditions, {k: v for k, (v, _) in late_commit.puts.items()}), list
    )


def test_gang_that_loses_a_task_is_stopped_and_restarted_as_the_next_attempt():
    world = ShardHarness(machine_silence_us=1000 * SECOND_US)
    for name in ("m1", "m2"):
        world.add_machine(name)
    world.submit(spec(kind="gang", cpus=20.0, one_zone=True))
    starts = world.starts(world.run_and_commit())
    assert {n for _, _, n in starts} == {1} and {m for m, _, _ in starts} == {"m1", "m2"}
    task_by_machine = {m: name for m, name, _ in starts}
    for m, name in task_by_machine.items():
        world.report(m, (name, 1, "running"))
    world.report("m1", session=2)
    assert ("stop", task_by_machine["m2"], 1, 0.0) in world.run_pass().commands["m2"]
    assert not world.starts(world.run_and_commit())
    world.report("m2", (task_by_machine["m2"], 1, "exited", "peers"))
    assert {n for _, _, n in world.starts(world.run_and_commit())} == {2}


def test_gang_is_done_with_its_first_task_and_others_keep_resources_until_they_exit():
    world = ShardHarness()
    for name in ("m1", "m2"):
        world.add_machine(name)
    world.submit(spec(kind="gang", cpus=20.0))
    task_by_machine = {m: name for m, name, _ in world.starts(world.run_and_commit())}
    world.report("m1", (task_by_machine["m1"], 1, "exited", "done"))
    world.run_and_commit()
    assert world.replica.jobs["req-1"].state == "done"
    assert world.owner.machines["m2"].free_resources(world.replica.machine_reservations).cpus == 12


def test_gang_whose_end_was_not_committed_ends_again():
    # Seen on a day of the grown padron-abierto-mvd: complete -> forming, which is invalid, in every pass.
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec(kind="gang", cpus=10.0))
    world.run_and_commit()
    world.report("m1", ("req-1/0", 1, "running"), ("req-1/1", 1, "running"))
    world.report("m1", ("req-1/0", 1, "exited", "done"), ("req-1/1", 1, "running"))
    world.run_pass()
    batch = world.owner.gather_commit(world.now, world.now)
    world.owner.on_rejected(batch, world.now, world.now, unchanged=False)
    world.run_pass()
    world.report("m1", ("req-1/0", 1, "exited", "done"), ("req-1/1", 1, "exited", "done"))
    world.run_and_commit()
    assert world.replica.jobs["req-1"].state == "done"


def test_spot_notice_saves_the_whole_gang_in_time():
    world = ShardHarness()
    for name in ("m1", "m2"):
        world.add_machine(name)
    world.submit(spec(kind="gang", cpus=20.0))
    task_by_machine = {m: name for m, name, _ in world.starts(world.run_and_commit())}
    for m, name in task_by_machine.items():
        world.report(m, (name, 1, "running"))
    world.report("m1", (task_by_machine["m1"], 1, "running"), notice=20 * SECOND_US)
    world.run_and_commit()
    commands_by_machine = world.run_pass().commands
    assert (
        commands_by_machine["m1"][0][:3] == ("stop", task_by_machine["m1"], 1)
        and commands_by_machine["m1"][0][3] >= 2
    )
    assert (
        commands_by_machine["m2"][0][:3] == ("stop", task_by_machine["m2"], 1)
        and commands_by_machine["m2"][0][3] >= 2
    )


def test_unknown_task_on_a_machine_is_stopped_and_not_started_elsewhere():
    world = ShardHarness()
    world.add_machine("m1")
    world.add_machine("m2")
    commands = world.report("m1", ("req-1/0", 7, "running"))
    assert commands == [("stop", "req-1/0", 7, 0.0)]
    world.submit(spec(tasks=1))
    assert not world.starts(world.run_and_commit())
    world.report("m1")
    assert world.starts(world.run_and_commit())


def test_next_owner_starts_what_the_previous_one_placed():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec())
    world.run_and_commit()
    world.take_over()
    commands = world.report("m1", ("req-1/0", 1, "running"))
    assert commands == [("start", "req-1/1", 2, None)]


def test_next_owner_ends_a_job_that_was_complete_when_its_owners_failed():
    for lowest in (True, False):
        world = ShardHarness()
        world.put("j/req-1", JobRecord(spec(tasks=3), world.now))
        world.put("p/1/req-1/0" if lowest else "p/0/req-1/0", PlacementRecord({}, "4", 1))
        world.put("p/0/req-1/0" if lowest else "p/1/req-1/0", PlacementRecord({}, "3", 2))
        # Both owners fail before either has read the other's last record. The next owner must check.
        world.owner.jobs_to_finish.clear()
        world.take_over()
        world.run_and_commit()
        if not lowest:
            world.advance_clock(2)
            world.run_and_commit()
        assert world.replica.jobs["req-1"].state == JobState.DONE


def test_machines_of_a_zone_that_fall_silent_together_are_not_deleted():
    world = ShardHarness()
    for n in range(4):
        world.add_machine(f"m{n}", zone="b")
    world.add_machine("x", zone="a")
    world.advance_clock(11)
    world.run_and_commit()
    assert set(world.replica.drains) == {"x"}


def test_failures_of_several_jobs_drain_a_machine_but_those_of_one_job_do_not():
    world = ShardHarness()
    for n in range(4):
        world.add_machine(f"m{n}")
    for job_id in ("req-1", "req-2"):
        world.submit(spec(job_id, tasks=1, types=("small",)))
    world.run_and_commit()
    for job_id in ("req-1", "req-2"):
        a = next(
            a for m in world.owner.machines.values() for a in m.attempts.values() if a.spec.job_id == job_id
        )
        world.owner.completion.record_end(
            world.owner.machines["m0"], a, EndEvidence.EXITED, world.now, world.now, "error"
        )
    world.run_and_commit()
    assert world.replica.drains["m0"].reason == "sick"
    world = ShardHarness()
    for n in range(5):
        world.add_machine(f"m{n}")
    world.submit(spec(tasks=1))
    for _ in range(6):
        world.advance_clock(40)
        for n in range(5):
            world.report(f"m{n}")
        for m, name, number in world.starts(world.run_and_commit()):
            world.report(m, (name, number, "exited", "error"))
    assert not world.replica.drains and len(world.owner.faults.failed_machines("req-1")) >= 3


def test_new_owner_restores_the_images_of_a_machine():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec(tasks=1))
    world.run_and_commit()
    world.report("m1", ("req-1/0", 1, "fetching"))
    assert not world.owner.machines["m1"].images
    world.report("m1", ("req-1/0", 1, "running"))
    world.commit()
    assert dict(world.take_over().machines["m1"].images) == {"img": 1.0}


def test_urgent_gang_preempts_lower_priority_tasks_which_save_first():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec("req-1", tasks=3))
    running = [(name, number, "running") for _, name, number in world.starts(world.run_and_commit())]
    world.report("m1", *running)
    world.advance_clock(5)  # longer than a save takes, before the next checkpoint
    world.report("m1", *running)
    world.submit(spec("req-2", kind="gang", tasks=1, cpus=20.0, priority=1))
    stops = [o for o in world.run_pass().commands["m1"] if o[0] == "stop"]
    assert len(stops) == 2 and all(grace >= 2 for _, _, _, grace in stops)
    assert not world.run_pass().commands  # no second stop for stopping tasks, and no further stops
    remaining = next(
        (a.name, a.number, "running")
        for a in world.owner.machines["m1"].attempts.values()
        if a.stop_grace_us is None
    )
    world.report("m1", remaining, *[(name, n, "exited", "stopped") for _, name, n, _ in stops])
    assert {name for _, name, _ in world.starts(world.run_and_commit())} == {"req-2/0"}


def test_same_priority_is_not_preempted():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec("req-1", tasks=3))
    world.run_and_commit()
    world.submit(spec("req-2", kind="gang", tasks=1, cpus=20.0))
    assert not world.run_pass().commands


def test_withdrawn_route_stops_the_placed_task():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec("req-1", tasks=2))
    world.report(
        "m1", *[(name, number, "running") for _, name, number in world.starts(world.run_and_commit())]
    )
    world.put("r/0/req-1", RouteRecord("0"))
    commands_by_machine = world.run_pass().commands
    assert [o[:2] for o in commands_by_machine["m1"]] == [("stop", "req-1/1")]


def test_group_commit_keeps_to_the_transaction_limits_when_many_jobs_end_at_once():
    # Seen on a recorded day: a nearly full transaction of records, each of which also ended its job.
    world = ShardHarness(txn_ops=12)
    for n in range(10):
        world.add_machine(f"m{n}")
    for n in range(30):
        world.submit(spec(f"req-{n}", tasks=1))
    sizes = []
    ends_reported = False
    world.run_pass()
    while batch := world.owner.gather_commit(world.now, world.now):
        assert batch.changes <= 12 and len(batch.preconditions) <= 48
        sizes.append(batch.changes)
        revision = world.ledger.txn(
            batch.preconditions, {k: v for k, (v, _) in batch.puts.items()}, batch.deletes
        )
        assert isinstance(revision, int)
        world.owner.on_committed(batch, revision, ShardActions())
        world.catch_up()
        if not ends_reported and not any(r.dirty for r in world.owner.drafts.values()):
            ends_reported = True
            for name, m in world.owner.machines.items():
                world.report(name, *[(a.name, a.number, "exited", "done") for a in m.attempts.values()])
    assert all(job.state == "done" for job in world.replica.jobs.values()) and max(sizes) == 12


def test_placement_is_checked_against_the_current_records_when_it_is_committed():
    # Seen: a task ran twice, because its route moved between the placement pass and the group commit, and
    # the commit's condition used the new route's version.
    for key, value in (
        ("r/0/req-1", RouteRecord("1")),
        ("j/req-1", JobRecord(spec(tasks=1), 0, JobState.CANCELLED, 1)),
        ("d/m1", DrainRecord("idle", 1)),
    ):
        world = ShardHarness()
        world.add_machine("m1")
        world.submit(spec(tasks=1))
        world.run_pass()
        world.put(key, value)
        assert not world.starts(world.commit())
        assert (
            not world.owner.machines["m1"].attempts
            and world.owner.machines["m1"].free_resources(world.replica.machine_reservations).cpus == 32
        )


def test_owner_reserves_resources_for_a_cross_shard_gang_and_starts_its_share_once():
    world = ShardHarness()
    world.add_machine("m1")
    gang = spec("req-1", kind="gang", tasks=4, cpus=20.0)
    world.submit(gang, RouteRecord("0", None, 3, {0: "m1"}, world.now + 30 * SECOND_US))
    world.submit(spec("req-2", tasks=1, cpus=20.0, estimate_us=60 * SECOND_US))
    assert not world.starts(
        world.run_and_commit()
    )  # the backfilled task would not end before the gang starts
    world.advance_clock(31)
    world.report("m1")
    assert world.starts(world.run_and_commit()) == {("m1", "req-1/0", 3)}
    world.report("m1", ("req-1/0", 3, "exited", "alone"))
    assert "req-1/0" not in {
        name for _, name, _ in world.starts(world.run_and_commit())
    }  # the leader plans the retry


def test_share_of_a_cross_shard_gang_is_placed_on_a_replacement_machine():
    world = ShardHarness(shard_count=2)
    for name in ("m1", "m2"):
        world.add_machine(name)
    world.add_machine("m3", zone="b")
    world.submit(spec("req-8", tasks=1, cpus=30.0))
    occupied = world.starts(world.run_and_commit()).pop()[0]
    route = RouteRecord("0", None, 1, {0: occupied}, world.now)
    world.submit(spec("req-9", kind="gang", tasks=2, cpus=30.0, one_zone=True), route)
    free = {"m1": "m2", "m2": "m1"}[occupied]
    assert world.starts(world.run_and_commit()) == {(free, "req-9/0", 1)}


def test_task_that_has_just_saved_is_preempted_without_grace():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec("req-1", tasks=3))
    running = [(name, number, "running") for _, name, number in world.starts(world.run_and_commit())]
    world.report("m1", *running)
    world.advance_clock(11)  # one second after its checkpoint
    world.report("m1", *running)
    world.submit(spec("req-2", kind="gang", tasks=1, cpus=20.0, priority=1))
    assert [o[3] for o in world.run_pass().commands["m1"] if o[0] == "stop"] == [0.0, 0.0]


def test_new_session_after_an_expired_lease_starts_a_new_lease():
    world = ShardHarness(machine_silence_us=1000 * SECOND_US)
    world.add_machine("m1")
    world.add_machine("m2")
    world.advance_clock(45)
    heartbeat = Heartbeat("m1", "127.0.0.1:1", "small", "a", False, 2, 1, world.owner.fencing_token, None)
    world.owner.on_commands_sent(world.owner.machines["m1"], [], world.now)
    world.owner.on_heartbeat(heartbeat, world.now, world.now, direct=True)  # no answer renews the lease
    world.submit(spec(tasks=1))
    assert {m for m, _, _ in world.starts(world.run_and_commit())} == {"m1"}
    world.advance_clock(1)
    world.report("m2")
    assert not world.starts(world.run_and_commit())


def test_preempted_job_is_not_placed_again_for_a_while():
    world = ShardHarness()
    world.add_machine("m1")
    world.submit(spec("req-1", tasks=1))
    world.report("m1", *[(name, n, "running") for _, name, n in world.starts(world.run_and_commit())])
    world.submit(spec("req-2", kind="gang", tasks=1, cpus=30.0, priority=1))
    (stop,) = world.run_pass().commands["m1"]
    world.put("j/req-2", JobRecord(spec("req-2"), 0, JobState.CANCELLED, 1))
    world.report("m1", (stop[1], stop[2], "exited", "stopped"))
    assert not world.starts(world.run_and_commit())
    world.advance_clock(6)
    world.report("m1")
    assert world.starts(world.run_and_commit())


def test_gang_with_a_long_start_objective_avoids_accelerators_despite_their_image():
    def chosen(objective_s):
        world = ShardHarness(
            urgent_classes=frozenset(["c"]), start_objectives={"c": (objective_s * SECOND_US,)}
        )
        world.add_machine("gpu", machine_type="big")
        world.submit(spec("req-8", tasks=1, cpus=96.0))
        world.run_and_commit()
        world.report("gpu", ("req-8/0", 1, "running"))
        world.report("gpu", ("req-8/0", 1, "exited", "done"))
        world.run_and_commit()
        world.add_machine("plain")
        world.submit(spec("req-9", kind="gang", tasks=1, image_gb=8.0))
        return world.starts(world.run_and_commit())

    assert chosen(10) == {("gpu", "req-9/0", 1)}  # 16 s of image fetch outweigh keeping accelerators free
    assert chosen(80) == {("plain", "req-9/0", 1)}


def test_overdue_array_starts_one_task_before_later_jobs():
    world = ShardHarness(first_start_within_us=240 * SECOND_US)
    world.add_machine("m0")
    world.submit(spec("req-1", tasks=9, priority=3))
    world.advance_clock(130)
    world.add_machine("m0")
    world.submit(spec("req-2", tasks=9, priority=2))
    started = {name for _, name, _ in world.starts(world.run_and_commit())}
    assert started == {"req-1/0", "req-2/0", "req-2/1"}


def test_stopped_attempt_whose_direct_start_was_lost_is_freed():
    # Seen (rig, seed 1185): a stop was requested before the direct start was confirmed. The start was never
    # answered, and the task's resources stayed allocated as long as the machine existed.
    world = ShardHarness()
    machine, task, number = world.place_one()
    m = world.owner.machines[machine]
    world.owner.on_commands_sent(m, [Command(CommandAction.START, task, number)], world.now)
    (attempt,) = m.attempts.values()
    world.owner.stop(attempt, 0, world.now, ShardActions())
    commands = world.report(machine)
    assert commands == [("start", task, number, None), ("stop", task, number, 0.0)] and m.attempts
    world.report(machine, (task, number, "exited", "stopped"))
    world.run_and_commit()
    # The task is freed and placed again. The worker must not forget the old attempt: a late start
    # would run it.
    assert number not in {n for _, n in m.attempts}
    assert ("forget", task, number, None) not in world.report(machine, (task, number, "exited", "stopped"))


def test_lost_direct_start_of_a_cancelled_job_is_not_sent_again():
    world = ShardHarness()
    machine, task, number = world.place_one()
    world.owner.on_commands_sent(
        world.owner.machines[machine], [Command(CommandAction.START, task, number)], world.now
    )
    world.put("j/req-1", JobRecord(spec(tasks=1), world.now, JobState.CANCELLED, world.now))
    world.run_and_commit()
    assert world.report(machine) == [("stop", task, number, 0.0)]


def test_owner_drops_a_job_whose_record_was_removed():
    world = ShardHarness()
    world.add_machine("m0")
    world.add_machine("m1")
    world.submit(spec("req-1", tasks=2))
    world.submit(spec("req-2", kind="gang", tasks=2))
    world.run_and_commit()
    assert {job_id for job_id, _ in world.owner.drafts} == {"req-1", "req-2"}
    for job_id in ("req-1", "req-2"):
        world.ledger.txn({}, {}, [f"j/{job_id}"])
    world.ledger.update_replica(world.replica, world.now)
    world.run_pass()
    assert not world.owner.drafts and not world.owner.gangs
    assert not any(m.attempts for m in world.owner.machines.values())


def test_typed_command_goes_out_as_the_tuple_of_its_fields():
    assert {action.value for action in CommandAction} == OPERATION_TO_WIRE.keys()
    commands = [Command(CommandAction.STOP, "req-1/0", 2, 1.5), Command(CommandAction.START, "req-1/1", 1)]
    assert commands == [("stop", "req-1/0", 2, 1.5), ("start", "req-1/1", 1, None)]
    assert encode_commands(7, commands) == encode_commands(7, [tuple(command) for command in commands])
