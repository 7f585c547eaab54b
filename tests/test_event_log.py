"""Lines of a controller's log: an event followed by its fields."""

import logging

import pytest

from pearstep.transport.event_log import EventLogger, render


@pytest.mark.parametrize(
    "fields, line",
    [
        ({}, "shard lease acquired"),
        ({"shard": 1, "fencing_token": 87}, "shard lease acquired shard=1 fencing_token=87"),
        ({"pause_s": 17.60000001}, "shard lease acquired pause_s=17.6"),
        ({"machines": ["i-1", "i-2"]}, "shard lease acquired machines=i-1,i-2"),
        ({"cause": "no answer"}, 'shard lease acquired cause="no answer"'),
        ({"cause": ""}, 'shard lease acquired cause=""'),
        ({"answer": b'{"error":"x"}'}, r'shard lease acquired answer="{\"error\":\"x\"}"'),
        ({"text": "a\nb"}, r'shard lease acquired text="a\nb"'),
    ],
)
def test_a_line_has_the_event_and_its_quoted_fields(fields, line):
    assert render("shard lease acquired", fields) == line


def test_lines_below_the_level_are_not_formatted(caplog):
    class Unprintable:
        def __str__(self):
            raise AssertionError("formatted")

    log = EventLogger("pearstep.test")
    with caplog.at_level(logging.INFO, logger="pearstep.test"):
        log.debug("attempt placed", machine=Unprintable())
        log.info("shard lease lost", shard=0)
        log.error("heartbeat malformed", cause="not JSON")
    assert [(r.levelname, r.getMessage()) for r in caplog.records] == [
        ("INFO", "shard lease lost shard=0"),
        ("ERROR", 'heartbeat malformed cause="not JSON"'),
    ]


def test_a_fault_is_logged_with_its_traceback(caplog):
    log = EventLogger("pearstep.test")
    try:
        raise ValueError("a fault")
    except ValueError:
        log.exception("loop failed", loop="run_pass")
    (record,) = caplog.records
    assert record.getMessage() == "loop failed loop=run_pass"
    assert record.exc_info is not None
