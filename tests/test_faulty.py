"""Jobs that were submitted with a mistake, many small tasks, and what their records weigh."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from pearstep.domain.units import SECOND_US
from pearstep.scheduling.fault_attribution import MAX_BACKOFF_S, FaultAttribution
from pearstep.shard.commands import ShardActions
from pearstep.state.records import TASKS_PER_RECORD
from tests.test_leader import LeaderHarness
from tests.world import World, spec


def fail_all(w):
    """Whatever starts fails; how many tasks that were, by job."""
    failed = {}
    for m, name, number in sorted(w.starts(w.run())):
        w.report(m, (name, number, "exited", "error"))
        failed[name.split("/")[0]] = failed.get(name.split("/")[0], 0) + 1
    w.commit()
    return failed


def test_faulty_array_is_tried_again_with_one_task_and_a_new_owner_knows_it():
    w = World()
    for n in range(4):
        w.machine(f"m{n}")
    w.submit(spec(tasks=12))
    assert fail_all(w)["req-1"] == 12
    tries = []
    for _ in range(30):
        w.later(5)
        for n in range(4):
            w.report(f"m{n}")
        tries.append(fail_all(w).get("req-1", 0))
    assert max(tries) == 1 and 2 <= sum(tries) <= 8
    w.take_over()
    for n in range(4):
        w.report(f"m{n}")
    assert sum(len(m.attempts) for m in w.owner.machines.values()) == 0
    assert fail_all(w).get("req-1", 0) <= 1
    assert not w.view.drains


def test_two_faulty_jobs_that_meet_on_a_good_machine_do_not_condemn_it():
    t = FaultAttribution(3, 2)
    assert not t.record_failure("m0", "a", 0)
    assert not t.record_failure("m1", "a", 0)
    assert not t.record_failure("m0", "b", 0)
    assert t.record_failure("m0", "c", 0)  # two that failed nowhere else


@given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from(["m0", "m1", "m2", "m3"]), st.booleans())))
def test_a_job_that_completes_is_never_suspect_and_rests_are_bounded(events):
    t, good, now = FaultAttribution(3, 2), set(), 0
    for ref, machine, ok in events:
        now += SECOND_US
        if ok:
            t.record_success(machine, ref)
            good.add(ref)
        else:
            t.record_failure(machine, ref, now)
        assert t.retry_at_us(ref) <= now + MAX_BACKOFF_S * SECOND_US
        assert not any(t.is_suspect(r) for r in good)
        for r in "abc":
            assert not t.is_suspect(r) or len(t.failed_machines(r)) >= 3
    for r in "abc":
        t.forget_job(r)
    assert not (t._jobs or t._avoid_until_us or any(m.errors_by_job for m in t._machines.values()))


def test_nothing_is_rented_and_no_gang_gathered_at_once_for_a_job_that_only_failed():
    o = LeaderHarness()
    job = spec(tasks=4, kind="gang")
    o.submit(job)
    o.plan_routes()
    assert o.autoscaler.plan_scale_out(o.planner.unplaced + o.planner.unroutable, o.now, o.now)
    o.record_placements(0, "req-1", [])
    placed = o.replica.jobs["req-1"].placements[0, 0]
    o.put("p/0/req-1/0", msgspec.structs.replace(placed.record, consecutive_failures=4))
    for _ in range(3):
        o.plan_routes()
        assert not o.planner.unplaced + o.planner.unroutable
    o.now += MAX_BACKOFF_S * SECOND_US
    assert [j.spec.job_id for j in o.planner.ordered_jobs(o.now, o.now)] == ["req-1"]
    o.put("p/0/req-1/0", msgspec.structs.replace(placed.record, consecutive_failures=0, done="1"))
    assert not o.planner._is_backing_off(o.replica.jobs["req-1"], o.now)


def test_routes_of_a_vast_array_stay_short_while_its_tasks_end_in_any_order():
    o = LeaderHarness(shard_count=3)
    for n in range(30):
        o.add_machine(f"m{n}", n % 3)
    o.submit(spec(tasks=25_000, cpus=0.25, memory_gb=0.9))
    done = 0
    for turn in range(12):
        o.plan_routes()
        for part, route in o.replica.jobs["req-1"].routes.items():
            assert len(msgspec.json.encode(route.record)) < 4096
            done = route.tasks & int("5" * 6250 if turn % 2 else "3" * 6250, 16)
            o.record_placements(part, "req-1", [], done=done & ((1 << TASKS_PER_RECORD) - 1))
    assert o.replica.jobs["req-1"].done_tasks.bit_count() > 1000


def test_on_an_idle_fleet_only_so_many_tasks_of_a_job_wait_in_a_part():
    o = LeaderHarness(shard_count=3)
    for n in range(30):
        o.add_machine(f"m{n}", n % 3, mtype="big")
    o.submit(spec(tasks=25_000, cpus=0.25, memory_gb=0.9))
    for _ in range(3):
        o.now += 10 * SECOND_US
        o.plan_routes()
    routes = o.replica.jobs["req-1"].routes.values()
    assert sum(r.tasks.bit_count() for r in routes) > 512 and max(r.tasks.bit_count() for r in routes) <= 512
    assert not o.planner.unroutable  # nothing is rented for what waits its turn


def test_record_of_many_running_tasks_stays_within_a_value():
    w = World()
    for n in range(8):
        w.machine(f"i-00000{n}", mtype="big")
    w.submit(spec(tasks=5_000, cpus=0.25, memory_gb=0.5))
    for _ in range(5):
        w.run()
        w.later(1)
        for name, m in w.owner.machines.items():
            w.report(name, *[(a.name, a.number, "running") for a in m.attempts.values()], mtype="big")
    rec = w.owner.drafts["req-1", 0]
    rec.done_tasks |= sum(1 << t for t in range(0, TASKS_PER_RECORD, 2))
    assert len(rec.attempts) > 100 and len(msgspec.json.encode(rec.to_record())) < 16_384


def test_end_of_an_array_takes_the_place_of_its_last_record():
    w = World()
    m, name, number = w.place_one()
    w.report(m, (name, number, "running"))
    w.report(m, (name, number, "exited", "done"))
    batch = w.owner.gather_commit(w.now, w.now)
    assert "j/req-1" in batch.puts and not any(key.startswith("p/") for key in batch.puts)
    revision = w.ledger.txn(batch.preconditions, {k: v for k, (v, _) in batch.puts.items()})
    w.owner.on_committed(batch, revision, ShardActions())
    w.catch_up()
    job = w.view.jobs["req-1"]
    assert (
        job.state == "done"
        and not job.placed_tasks
        and "req-1" not in w.view.open_jobs
        and "m0" not in w.view.placements_by_machine
    )
    assert ("forget", name, number, None) in w.report(m, (name, number, "exited", "done"))
    assert not w.take_over().drafts.get(("req-1", 0)).attempts


def test_small_jobs_come_to_their_turn_beside_a_record_that_always_has_something_new():
    w = World(txn_ops=2)
    w.machine("m0", mtype="big")
    w.submit(spec("req-0", tasks=500, cpus=0.1, memory_gb=0.1))
    for n in range(1, 6):
        w.submit(spec(f"req-{n}", tasks=1, cpus=0.1, memory_gb=0.1))
    w.step()
    turns = set()
    for _ in range(8):
        w.later(1)
        batch = w.owner.gather_commit(w.now, w.now)
        turns.update(rec.spec.job_id for rec in batch.drafts)
        revision = w.ledger.txn(batch.preconditions, {k: v for k, (v, _) in batch.puts.items()})
        w.owner.on_committed(batch, revision, ShardActions())
        w.owner.drafts["req-0", 0].dirty = True
    assert turns == {f"req-{n}" for n in range(6)}


def test_job_goes_back_to_the_only_machine_that_it_failed_on_after_a_while():
    # Seen (rig, seed 1184): its machine was sick for a while and the only one of the part; nothing else was
    # rented, for there was room, and the job was never tried again.
    w = World()
    w.machine("m0")
    w.submit(spec(tasks=1))
    assert fail_all(w) == {"req-1": 1}
    for _ in range(MAX_BACKOFF_S // 5 - 1):
        w.later(5)
        w.report("m0")
        assert not w.starts(w.run())
    for _ in range(3):
        w.later(5)
        w.report("m0")
        if w.starts(w.run()):
            return
    raise AssertionError("never tried again")
