"""The owner's hazards: one place per task, takeover, late messages, cancellations, gangs."""

from pearstep.domain.job_state import JobState
from pearstep.domain.units import SECOND_US
from pearstep.protocol.controller_messages import OPERATION_TO_WIRE, encode_commands
from pearstep.shard.commands import Command, CommandAction, Heartbeat, ShardActions
from pearstep.state.records import DrainRecord, JobRecord, PlacementRecord, RouteRecord
from tests.world import World, spec


def test_commands_follow_their_record():
    w = World()
    w.machine("m1")
    w.submit(spec())
    w.step()
    assert w.report("m1") == []  # decided, not recorded: nothing may be commanded
    actions = w.commit()
    assert w.starts(actions) == {("m1", "req-1/0", 1), ("m1", "req-1/1", 2)}
    assert {o[1] for o in w.report("m1") if o[0] == "start"} == {"req-1/0", "req-1/1"}


def test_job_is_done_in_the_same_transaction_as_its_last_task_and_reaped_afterwards():
    w = World()
    w.machine("m1")
    w.submit(spec(tasks=1))
    w.run()
    w.report("m1", ("req-1/0", 1, "running"))
    assert w.report("m1", ("req-1/0", 1, "exited", "done")) == []  # not recorded yet: no reap
    w.run()
    assert w.view.jobs["req-1"].state == "done"
    assert ("forget", "req-1/0", 1, None) in w.report("m1", ("req-1/0", 1, "exited", "done"))


def test_silence_frees_nothing_before_the_lease_has_certainly_run_out():
    w = World(machine_silence_us=1000 * SECOND_US)
    w.machine("m1")
    w.machine("m2")
    w.submit(spec(tasks=1))
    ((machine, _, _),) = w.starts(w.run())
    w.report(machine, ("req-1/0", 1, "running"))
    other = "m2" if machine == "m1" else "m1"
    w.later(15)
    w.report(other)
    assert not w.starts(w.run())
    w.later(3)
    w.report(other)
    assert {m for m, _, _ in w.starts(w.run())} == {other}


def test_machine_that_has_not_seen_our_token_is_not_freed_by_time():
    w = World(machine_silence_us=1000 * SECOND_US)
    w.machine("m1")
    w.submit(spec(tasks=1))
    w.run()
    w.take_over()
    w.later(500)
    w.machine("m2")
    assert not w.starts(w.run())
    w.report("m1", session=2)  # a later session: the worker has killed everything
    assert {n for _, _, n in w.starts(w.run())} == {2}


def test_unreachable_machine_is_recorded_as_lost_then_deleted_then_freed():
    w = World()
    w.machine("m1")
    w.submit(spec(tasks=1))
    w.run()
    w.take_over()
    w.machine("m2")
    w.later(11)
    w.report("m2")
    w.run()
    assert w.view.drains["m1"].reason == "lost"
    assert w.step().machines_to_delete == ["m1"]
    assert not w.starts(w.run())
    w.owner.on_machine_deleted("m1", w.now, w.now)
    w.report("m2")
    assert {m for m, _, _ in w.starts(w.run())} == {"m2"}
    assert w.report("m1", ("req-1/0", 1, "running")) == []  # a report that was held back


def test_late_report_changes_nothing():
    w = World()
    w.machine("m1")
    w.submit(spec(tasks=1))
    w.run()
    w.report("m1", ("req-1/0", 1, "running"), seq=9)
    w.report("m1", ("req-1/0", 1, "exited", "done"), seq=8)
    w.run()
    assert w.view.jobs["req-1"].state == "queued"


def test_attempt_with_an_open_direct_start_is_neither_missed_nor_reaped():
    w = World()
    w.machine("m1")
    w.submit(spec(tasks=1))
    w.run()
    m = w.owner.machines["m1"]
    w.owner.on_commands_sent(m, [Command(CommandAction.START, "req-1/0", 1)], w.now)
    w.put("j/req-1", JobRecord(spec(tasks=1), w.now, JobState.CANCELLED, w.now))
    w.step()
    w.report("m1")  # without the task: but the start may still be executed
    assert m.attempts
    w.report("m1", ("req-1/0", 1, "exited", "stopped"))
    w.run()
    assert w.report("m1", ("req-1/0", 1, "exited", "stopped")) == []
    w.owner.on_commands_answered(m, [Command(CommandAction.START, "req-1/0", 1)])
    assert w.report("m1", ("req-1/0", 1, "exited", "stopped")) == [("forget", "req-1/0", 1, None)]


def test_cancelled_task_is_stopped_and_its_machine_deleted_if_it_cannot_confirm():
    w = World(machine_silence_us=1000 * SECOND_US)
    w.machine("m1")
    w.submit(spec(tasks=1))
    w.run()
    w.report("m1", ("req-1/0", 1, "running"))
    w.put("j/req-1", JobRecord(spec(tasks=1), w.now, JobState.CANCELLED, w.now))
    assert ("stop", "req-1/0", 1, 0.0) in w.step().commands["m1"]
    w.later(21)
    w.report("m1", ("req-1/0", 1, "running"))
    w.run()
    assert w.view.drains["m1"].reason == "stuck"
    assert w.step().machines_to_delete == ["m1"]


def test_placement_loses_against_a_cancellation_that_commits_first():
    w = World()
    w.machine("m1")
    w.submit(spec())
    w.step()
    w.ledger.txn({}, {"j/req-1": JobRecord(spec(), w.now, JobState.CANCELLED, w.now)})
    assert not w.starts(w.commit())
    assert not w.owner.machines["m1"].attempts


def test_placement_loses_against_a_drain_and_against_a_moved_route():
    w = World()
    w.machine("m1")
    w.submit(spec())
    w.step()
    w.ledger.txn({}, {"d/m1": DrainRecord("idle", w.now)})
    assert not w.starts(w.commit())
    w = World()
    w.machine("m1")
    w.submit(spec())
    w.step()
    w.ledger.txn({}, {"r/0/req-1": RouteRecord("")})
    assert not w.starts(w.commit())


def test_lost_answer_of_a_commit_is_settled_by_reading():
    w = World()
    w.machine("m1")
    w.submit(spec(tasks=1))
    w.step()
    batch = w.owner.gather_commit(w.now, w.now)
    w.ledger.txn(batch.preconditions, {k: v for k, (v, _) in batch.puts.items()})
    w.catch_up()
    w.owner.on_rejected(batch, w.now, w.now, unchanged=False)
    assert [o[0] for o in w.report("m1")] == ["start"]  # it was applied: the start is owed
    w = World()
    w.machine("m1")
    w.submit(spec(tasks=1))
    w.step()
    late = w.owner.gather_commit(w.now, w.now)
    w.owner.on_rejected(late, w.now, w.now, unchanged=False)
    w.run()  # decided afresh and written
    assert isinstance(w.ledger.txn(late.preconditions, {k: v for k, (v, _) in late.puts.items()}), list)


def test_gang_with_a_hole_is_stopped_whole_and_restarted_with_the_next_attempt():
    w = World(machine_silence_us=1000 * SECOND_US)
    for name in ("m1", "m2"):
        w.machine(name)
    w.submit(spec(kind="gang", cpus=20.0, one_zone=True))
    starts = w.starts(w.run())
    assert {n for _, _, n in starts} == {1} and {m for m, _, _ in starts} == {"m1", "m2"}
    at = {m: name for m, name, _ in starts}
    for m, name in at.items():
        w.report(m, (name, 1, "running"))
    w.report("m1", session=2)
    assert ("stop", at["m2"], 1, 0.0) in w.step().commands["m2"]
    assert not w.starts(w.run())
    w.report("m2", (at["m2"], 1, "exited", "peers"))
    assert {n for _, _, n in w.starts(w.run())} == {2}


def test_gang_is_done_when_one_task_is_and_mates_keep_their_place_until_they_exit():
    w = World()
    for name in ("m1", "m2"):
        w.machine(name)
    w.submit(spec(kind="gang", cpus=20.0))
    at = {m: name for m, name, _ in w.starts(w.run())}
    w.report("m1", (at["m1"], 1, "exited", "done"))
    w.run()
    assert w.view.jobs["req-1"].state == "done"
    assert w.owner.machines["m2"].free_resources(w.view.machine_reservations).cpus == 12


def test_gang_whose_end_was_not_written_is_running_again_and_ends_again():
    # Seen on a day of the grown padron-abierto-mvd: complete -> forming, in every step.
    w = World()
    w.machine("m1")
    w.submit(spec(kind="gang", cpus=10.0))
    w.run()
    w.report("m1", ("req-1/0", 1, "running"), ("req-1/1", 1, "running"))
    w.report("m1", ("req-1/0", 1, "exited", "done"), ("req-1/1", 1, "running"))
    w.step()
    batch = w.owner.gather_commit(w.now, w.now)
    w.owner.on_rejected(batch, w.now, w.now, unchanged=False)
    w.step()
    w.report("m1", ("req-1/0", 1, "exited", "done"), ("req-1/1", 1, "exited", "done"))
    w.run()
    assert w.view.jobs["req-1"].state == "done"


def test_spot_notice_saves_the_whole_gang_in_time():
    w = World()
    for name in ("m1", "m2"):
        w.machine(name)
    w.submit(spec(kind="gang", cpus=20.0))
    at = {m: name for m, name, _ in w.starts(w.run())}
    for m, name in at.items():
        w.report(m, (name, 1, "running"))
    w.report("m1", (at["m1"], 1, "running"), notice=20 * SECOND_US)
    w.run()
    sends = w.step().commands
    assert sends["m1"][0][:3] == ("stop", at["m1"], 1) and sends["m1"][0][3] >= 2
    assert sends["m2"][0][:3] == ("stop", at["m2"], 1) and sends["m2"][0][3] >= 2


def test_stranger_on_a_machine_is_stopped_and_not_started_elsewhere():
    w = World()
    w.machine("m1")
    w.machine("m2")
    orders = w.report("m1", ("req-1/0", 7, "running"))
    assert orders == [("stop", "req-1/0", 7, 0.0)]
    w.submit(spec(tasks=1))
    assert not w.starts(w.run())
    w.report("m1")
    assert w.starts(w.run())


def test_second_new_owner_continues_what_the_first_recorded():
    w = World()
    w.machine("m1")
    w.submit(spec())
    w.run()
    w.take_over()
    orders = w.report("m1", ("req-1/0", 1, "running"))
    assert orders == [("start", "req-1/1", 2, None)]


def test_a_job_that_was_complete_when_its_owners_died_is_ended_by_the_next():
    for lowest in (True, False):
        world = World()
        world.put("j/req-1", JobRecord(spec(tasks=3), world.now))
        world.put("p/1/req-1/0" if lowest else "p/0/req-1/0", PlacementRecord({}, "4", 1))
        world.put("p/0/req-1/0" if lowest else "p/1/req-1/0", PlacementRecord({}, "3", 2))
        # Both owners die before either has heard of the other's last record. Whoever takes a part looks.
        world.owner.jobs_to_finish.clear()
        world.take_over()
        world.run()
        if not lowest:
            world.later(2)
            world.run()
        assert world.view.jobs["req-1"].state == JobState.DONE


def test_machines_of_a_zone_that_fall_silent_together_are_not_deleted():
    w = World()
    for n in range(4):
        w.machine(f"m{n}", zone="b")
    w.machine("x", zone="a")
    w.later(11)
    w.run()
    assert set(w.view.drains) == {"x"}


def test_errors_of_several_jobs_condemn_the_machine_but_a_faulty_job_condemns_none():
    w = World()
    for n in range(4):
        w.machine(f"m{n}")
    for ref in ("req-1", "req-2"):
        w.submit(spec(ref, tasks=1, types=("small",)))
    w.run()
    for ref in ("req-1", "req-2"):
        a = next(a for m in w.owner.machines.values() for a in m.attempts.values() if a.spec.job_id == ref)
        w.owner.completion.record_end(w.owner.machines["m0"], a, "error", w.now, w.now)
    w.run()
    assert w.view.drains["m0"].reason == "sick"
    w = World()
    for n in range(5):
        w.machine(f"m{n}")
    w.submit(spec(tasks=1))
    for _ in range(6):
        w.later(40)
        for n in range(5):
            w.report(f"m{n}")
        for m, name, number in w.starts(w.run()):
            w.report(m, (name, number, "exited", "error"))
    assert not w.view.drains and len(w.owner.faults.failed_machines("req-1")) >= 3


def test_a_new_owner_knows_which_images_a_machine_holds():
    w = World()
    w.machine("m1")
    w.submit(spec(tasks=1))
    w.run()
    w.report("m1", ("req-1/0", 1, "fetching"))
    assert not w.owner.machines["m1"].images
    w.report("m1", ("req-1/0", 1, "running"))
    w.commit()
    assert dict(w.take_over().machines["m1"].images) == {"img": 1.0}


def test_urgent_gang_takes_the_place_of_lower_priority_tasks_that_save_first():
    w = World()
    w.machine("m1")
    w.submit(spec("req-1", tasks=3))
    running = [(name, number, "running") for _, name, number in w.starts(w.run())]
    w.report("m1", *running)
    w.later(5)  # past what saving takes, short of the next checkpoint
    w.report("m1", *running)
    w.submit(spec("req-2", kind="gang", tasks=1, cpus=20.0, priority=1))
    stops = [o for o in w.step().commands["m1"] if o[0] == "stop"]
    assert len(stops) == 2 and all(grace >= 2 for _, _, _, grace in stops)
    assert not w.step().commands  # what is on its way out is not stopped twice, and nothing more is
    stays = next(
        (a.name, a.number, "running")
        for a in w.owner.machines["m1"].attempts.values()
        if a.stop_grace_us is None
    )
    w.report("m1", stays, *[(name, n, "exited", "stopped") for _, name, n, _ in stops])
    assert {name for _, name, _ in w.starts(w.run())} == {"req-2/0"}


def test_same_priority_is_not_preempted():
    w = World()
    w.machine("m1")
    w.submit(spec("req-1", tasks=3))
    w.run()
    w.submit(spec("req-2", kind="gang", tasks=1, cpus=20.0))
    assert not w.step().commands


def test_a_route_taken_back_stops_what_was_placed():
    w = World()
    w.machine("m1")
    w.submit(spec("req-1", tasks=2))
    w.report("m1", *[(name, number, "running") for _, name, number in w.starts(w.run())])
    w.put("r/0/req-1", RouteRecord("0"))
    sends = w.step().commands
    assert [o[:2] for o in sends["m1"]] == [("stop", "req-1/1")]


def test_group_commit_keeps_to_the_transaction_limits_when_many_jobs_end_at_once():
    # Seen on a recorded day: nearly a full transaction of records, each of which ended its job too.
    w = World(txn_ops=12)
    for n in range(10):
        w.machine(f"m{n}")
    for n in range(30):
        w.submit(spec(f"req-{n}", tasks=1))
    sizes = []
    ended = False
    w.step()
    while batch := w.owner.gather_commit(w.now, w.now):
        assert batch.changes <= 12 and len(batch.preconditions) <= 48
        sizes.append(batch.changes)
        revision = w.ledger.txn(
            batch.preconditions, {k: v for k, (v, _) in batch.puts.items()}, batch.deletes
        )
        assert isinstance(revision, int)
        w.owner.on_committed(batch, revision, ShardActions())
        w.catch_up()
        if not ended and not any(r.dirty for r in w.owner.drafts.values()):
            ended = True
            for name, m in w.owner.machines.items():
                w.report(name, *[(a.name, a.number, "exited", "done") for a in m.attempts.values()])
    assert all(job.state == "done" for job in w.view.jobs.values()) and max(sizes) == 12


def test_decision_by_older_records_is_checked_again_when_it_is_written():
    # Seen as a task that ran twice: its route moved after the walk and before the group commit, and
    # the commit's condition named the new route's stamp.
    for key, value in (
        ("r/0/req-1", RouteRecord("1")),
        ("j/req-1", JobRecord(spec(tasks=1), 0, JobState.CANCELLED, 1)),
        ("d/m1", DrainRecord("idle", 1)),
    ):
        w = World()
        w.machine("m1")
        w.submit(spec(tasks=1))
        w.step()
        w.put(key, value)
        assert not w.starts(w.commit())
        assert (
            not w.owner.machines["m1"].attempts
            and w.owner.machines["m1"].free_resources(w.view.machine_reservations).cpus == 32
        )


def test_owner_keeps_the_room_of_a_wide_gang_and_starts_its_share_once():
    w = World()
    w.machine("m1")
    gang = spec("req-1", kind="gang", tasks=4, cpus=20.0)
    w.submit(gang, RouteRecord("0", None, 3, {0: "m1"}, w.now + 30 * SECOND_US))
    w.submit(spec("req-2", tasks=1, cpus=20.0, estimate_us=60 * SECOND_US))
    assert not w.starts(w.run())  # the backfilled task would not end in time
    w.later(31)
    w.report("m1")
    assert w.starts(w.run()) == {("m1", "req-1/0", 3)}
    w.report("m1", ("req-1/0", 3, "exited", "alone"))
    assert "req-1/0" not in {name for _, name, _ in w.starts(w.run())}  # the leader plans the next


def test_share_of_a_wide_gang_goes_beside_a_machine_that_was_taken_meanwhile():
    w = World(shard_count=2)
    for name in ("m1", "m2"):
        w.machine(name)
    w.machine("m3", zone="b")
    w.submit(spec("req-8", tasks=1, cpus=30.0))
    taken = w.starts(w.run()).pop()[0]
    route = RouteRecord("0", None, 1, {0: taken}, w.now)
    w.submit(spec("req-9", kind="gang", tasks=2, cpus=30.0, one_zone=True), route)
    free = {"m1": "m2", "m2": "m1"}[taken]
    assert w.starts(w.run()) == {(free, "req-9/0", 1)}


def test_task_that_has_just_saved_gives_way_at_once():
    w = World()
    w.machine("m1")
    w.submit(spec("req-1", tasks=3))
    running = [(name, number, "running") for _, name, number in w.starts(w.run())]
    w.report("m1", *running)
    w.later(11)  # a second after its checkpoint
    w.report("m1", *running)
    w.submit(spec("req-2", kind="gang", tasks=1, cpus=20.0, priority=1))
    assert [o[3] for o in w.step().commands["m1"] if o[0] == "stop"] == [0.0, 0.0]


def test_a_machine_back_after_its_lease_starts_a_lease_of_its_own():
    w = World(machine_silence_us=1000 * SECOND_US)
    w.machine("m1")
    w.machine("m2")
    w.later(45)
    rep = Heartbeat("m1", "127.0.0.1:1", "small", "a", False, 2, 1, w.owner.fencing_token, None)
    w.owner.on_commands_sent(w.owner.machines["m1"], [], w.now)
    w.owner.on_heartbeat(rep, w.now, w.now, direct=True)  # nothing of ours renews the lease
    w.submit(spec(tasks=1))
    assert {m for m, _, _ in w.starts(w.run())} == {"m1"}
    w.later(1)
    w.report("m2")
    assert not w.starts(w.run())


def test_job_whose_task_gave_way_leaves_the_room_alone_for_a_while():
    w = World()
    w.machine("m1")
    w.submit(spec("req-1", tasks=1))
    w.report("m1", *[(name, n, "running") for _, name, n in w.starts(w.run())])
    w.submit(spec("req-2", kind="gang", tasks=1, cpus=30.0, priority=1))
    (stop,) = w.step().commands["m1"]
    w.put("j/req-2", JobRecord(spec("req-2"), 0, JobState.CANCELLED, 1))
    w.report("m1", (stop[1], stop[2], "exited", "stopped"))
    assert not w.starts(w.run())
    w.later(6)
    w.report("m1")
    assert w.starts(w.run())


def test_gang_with_time_leaves_accelerators_alone_although_the_image_is_there():
    def chosen(aim_s):
        w = World(urgent_classes=frozenset(["c"]), start_objectives={"c": (aim_s * SECOND_US,)})
        w.machine("gpu", mtype="big")
        w.submit(spec("req-8", tasks=1, cpus=96.0))
        w.run()
        w.report("gpu", ("req-8/0", 1, "running"))
        w.report("gpu", ("req-8/0", 1, "exited", "done"))
        w.run()
        w.machine("plain")
        w.submit(spec("req-9", kind="gang", tasks=1, image_gb=8.0))
        return w.starts(w.run())

    assert chosen(10) == {("gpu", "req-9/0", 1)}  # 16 s of fetch against accelerators spared
    assert chosen(80) == {("plain", "req-9/0", 1)}


def test_overdue_array_starts_one_task_before_what_came_later():
    w = World(first_start_within_us=240 * SECOND_US)
    w.machine("m0")
    w.submit(spec("req-1", tasks=9, priority=3))
    w.later(130)
    w.machine("m0")
    w.submit(spec("req-2", tasks=9, priority=2))
    started = {name for _, name, _ in w.starts(w.run())}
    assert started == {"req-1/0", "req-2/0", "req-2/1"}


def test_place_whose_direct_start_was_lost_is_freed_although_it_is_to_stop():
    # Seen (rig, seed 1185): the order to stop came before anything was heard of the start; the direct command
    # had no answer any more, and the place stayed taken for as long as the machine lived.
    w = World()
    machine, task, number = w.place_one()
    m = w.owner.machines[machine]
    w.owner.on_commands_sent(m, [Command(CommandAction.START, task, number)], w.now)
    (attempt,) = m.attempts.values()
    w.owner.stop(attempt, 0, w.now, ShardActions())
    orders = w.report(machine)
    assert orders == [("start", task, number, None), ("stop", task, number, 0.0)] and m.attempts
    w.report(machine, (task, number, "exited", "stopped"))
    w.run()
    # Free, and placed anew; the worker is not told to forget what a late start would begin again.
    assert number not in {n for _, n in m.attempts}
    assert ("forget", task, number, None) not in w.report(machine, (task, number, "exited", "stopped"))


def test_lost_direct_start_of_a_cancelled_job_is_not_sent_again():
    w = World()
    machine, task, number = w.place_one()
    w.owner.on_commands_sent(w.owner.machines[machine], [Command(CommandAction.START, task, number)], w.now)
    w.put("j/req-1", JobRecord(spec(tasks=1), w.now, JobState.CANCELLED, w.now))
    w.run()
    assert w.report(machine) == [("stop", task, number, 0.0)]


def test_owner_drops_a_job_that_has_left_its_records_without_being_told():
    w = World()
    w.machine("m0")
    w.machine("m1")
    w.submit(spec("req-1", tasks=2))
    w.submit(spec("req-2", kind="gang", tasks=2))
    w.run()
    assert {ref for ref, _ in w.owner.drafts} == {"req-1", "req-2"}
    for ref in ("req-1", "req-2"):
        w.ledger.txn({}, {}, [f"j/{ref}"])
    w.ledger.feed(w.view, w.now)
    w.step()
    assert not w.owner.drafts and not w.owner.gangs
    assert not any(m.attempts for m in w.owner.machines.values())


def test_typed_command_goes_out_as_the_tuple_of_its_fields():
    assert {action.value for action in CommandAction} == OPERATION_TO_WIRE.keys()
    commands = [Command(CommandAction.STOP, "req-1/0", 2, 1.5), Command(CommandAction.START, "req-1/1", 1)]
    assert commands == [("stop", "req-1/0", 2, 1.5), ("start", "req-1/1", 1, None)]
    assert encode_commands(7, commands) == encode_commands(7, [tuple(command) for command in commands])
