"""Background tasks are kept alive until they end, and their exceptions are logged."""

import asyncio
import gc
import logging

from pearstep.transport.background_tasks import BackgroundTasks
from pearstep.transport.event_log import EventLogger


def test_task_survives_garbage_collection_and_ends():
    async def run():
        tasks, ended = BackgroundTasks(EventLogger("pearstep.test")), asyncio.Event()

        async def work():
            await asyncio.sleep(0.01)
            ended.set()

        tasks.start(work())
        gc.collect()
        await asyncio.wait_for(ended.wait(), 2.0)
        await asyncio.sleep(0)
        assert not tasks._running

    asyncio.run(run())


def test_exception_of_a_task_is_logged_with_its_traceback_and_cancellation_is_not(caplog):
    async def run():
        tasks = BackgroundTasks(EventLogger("pearstep.test"))

        async def fail():
            raise ZeroDivisionError("a fault in the program")

        tasks.start(fail())
        tasks.start(asyncio.sleep(60))
        await asyncio.sleep(0)
        for task in list(tasks._running):
            task.cancel()
        await asyncio.sleep(0.01)
        assert not tasks._running

    with caplog.at_level(logging.DEBUG, logger="pearstep.test"):
        asyncio.run(run())
    (record,) = caplog.records
    assert (record.levelname, record.getMessage()) == ("ERROR", "background task failed")
    assert record.exc_info[0] is ZeroDivisionError
