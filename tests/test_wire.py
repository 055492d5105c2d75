"""Tests of the simulator codec in both directions and of the host, with batches written by hand."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from damsonpick import interface as api
from damsonpick.protocols.simulator import codec

ROOT = Path(__file__).resolve().parent.parent
PAIRS = [
    "me=0",
    "peersTotal=2",
    "zone=a",
    "grades.count=1",
    "grades.0.name=page",
    "grades.0.aimNs=1000000000",
    "grades.0.deadlineNs=3000000000",
    "grades.0.effect=read_like",
    "grades.0.worth=2.0",
    "domain.shards=3",
    "domain.agents=2",
    "domain.egressPerS=4000.0",
    "domain.mostWaiting=6000.0",
    "domain.overhead=8.0",
    "domain.reportEveryNs=1000000000",
    "rules.stopSendingWithinNs=2000000000",
    "rules.coldShare=0.2",
    "rules.coldNs=15000000000",
    "discovery=subscribe",
    "rules.askEveryNs=10000000000",
    "domain.admission=ratio",
    "brand.new=7",
    "report.fields=pending,svc_ms",
]
UP = "\t".join(["UP", "pilot/3", "11", *PAIRS])


def read(*rows: str) -> list[codec.Batch]:
    return list(codec.Reader(row + "\n" for row in rows).batches())


def read_event(row: str) -> api.Event:
    (batch,) = read("TICK\t5", row, "OVER_TO_YOU")
    (item,) = batch.items
    assert isinstance(item, codec.InstanceEvent) and item.instance == "pilot/3"
    return item.event


def test_start_reads_known_settings_and_ignores_others():
    (batch,) = read("TICK\t5", UP, "OVER_TO_YOU")
    (start,) = batch.items
    assert batch.now == 5 and start.seed == 11 and start.instance == "pilot/3"
    assert start.settings.slices == 3 and start.settings.list_on_request
    assert start.settings.classes == (api.RequestClass("page", 10**9, 3 * 10**9, "read_like", "all", 0, 2.0),)
    assert start.settings.load_fields == ("pending", "svc_ms")


@pytest.mark.parametrize(
    ("row", "event"),
    [
        ("ENROLLED\tpilot/3\t1\ta\t6.5\t41", api.ProxyJoined(41, "a", 6.5, True)),
        ("LOST_STREAM\tpilot/3\t41", api.ProxyLeft(41)),
        (
            "ROUNDUP\tpilot/3\ta\t1.2.3.4:5\t14\t1\t48250000\t1000000000\t3,14.5",
            api.EndpointReport("a", "1.2.3.4:5", 14, 1, 48250000, 10**9, (3.0, 14.5)),
        ),
        (
            "ROUNDUP\tpilot/3\ta\t1.2.3.4:5\t14\t14\t-\t1000000000\t-",
            api.EndpointReport("a", "1.2.3.4:5", 14, 14, 0, 10**9, ()),
        ),
        ("OFFERED_LOAD\tpilot/3\t41\tpage\t9\t0\t2000000000", api.ProxyDemand(41, "page", 9, 0, 2 * 10**9)),
        ("ACTIVITY\tpilot/3\t1000000000\t2\t23\tpage\t117", api.SliceDemand(117, "page", 23, 2, 10**9)),
        ("CUSTODY\tpilot/3\t117\t1", api.SliceOwnershipChanged(117, True)),
        ("RECORDED\tpilot/3\t117\t1.2.3.4:5\t0.5", api.StoredEntry(117, "1.2.3.4:5", 0.5)),
        ("CAUGHT_UP\tpilot/3\t12\t41\t412500000", api.SyncAcknowledged(12, 41, 412500000)),
        ("FIRED\tpilot/3\t77", api.TimerFired(77)),
        ("PONG\tpilot/3\t1.2.3.4:5\tOk\t1400000\t3", api.ProbeResult("1.2.3.4:5", "Ok", 1400000, (3.0,))),
        ("FROM_PEER\tpilot/3\t2\t68692037", api.PeerMessage(2, b"hi 7")),
    ],
)
def test_events(row, event):
    assert read_event(row) == event


def test_lists_read_their_items():
    (batch,) = read(
        "TICK\t5",
        "TOPOLOGY\tpilot/3\trestored\t41\t2",
        "ITEM\tx:1\ta\tbig\t0\tin_service\t1\t-",
        "ITEM\ty:1\tb\tbig\t0\tterminating\t1.5\t61",
        "TOPOLOGY\tpilot/3\tunavailable\t41\t0",
        "OVER_TO_YOU",
    )
    first, second = batch.items
    assert first.event.entries == (
        api.EndpointEntry("x:1", "a", "in_service", 1.0, 0),
        api.EndpointEntry("y:1", "b", "terminating", 1.5, 61),
    )
    assert second.event == api.EndpointListChanged("unavailable", ())


@pytest.mark.parametrize(
    ("action", "row"),
    [
        (api.SetEntry(117, "x:1", 0.75), "WEIGH\tpilot/3\tx:1\t117\t0.75"),
        (api.SetEntry(117, "x:1", 0.0), "WEIGH\tpilot/3\tx:1\t117\t0"),
        (api.ClearTable(117), "EMPTY\tpilot/3\t117"),
        (api.BindTable(41, 117, (0, 2)), "USE_TABLE\tpilot/3\t5\t41\t117"),
        (api.SetWithdrawn("x:1", True), "BENCH\tpilot/3\tx:1\t1"),
        (api.SetAdmission(None, (1,), 0.75, 1), "THROTTLE\tpilot/3\t65535\t2\t0.75\t1"),
        (api.SetAdmission(4, (), 1.0, 0), "THROTTLE\tpilot/3\t4\t0\t1\t0"),
        (api.RequestSync(12, False), "SEAL\tpilot/3\t12\t0"),
        (api.SubscribeEndpointList(True), "LISTEN\tpilot/3\t1"),
        (api.FetchEndpointList(), "GET_LIST\tpilot/3"),
        (api.SetTimer(500, 77), "WAKE_ME\tpilot/3\t500\t77"),
        (api.Probe("x:1"), "SOUND_OUT\tpilot/3\tx:1"),
        (api.SendToPeer(None, b"hi 7"), "TELL\tpilot/3\tall\t68692037"),
        (api.Log("two\nservers\tknown"), "RECORD\tpilot/3\ttwo servers known"),
    ],
)
def test_actions(action, row):
    assert codec.write_action("pilot/3", action) == row


@pytest.mark.parametrize(
    ("rows", "reason"),
    [
        (["HELLO\tpilot/3"], "TICK"),
        (["TICK\tsoon"], "TICK"),
        (["TICK\t5", "WHATEVER\tpilot/3\t1", "OVER_TO_YOU"], "line 2: WHATEVER: unknown message"),
        (["TICK\t5", "CUSTODY\tpilot/3\t117", "OVER_TO_YOU"], "wants 3 values"),
        (["TICK\t5", "CUSTODY\tpilot/3\t117\tyes", "OVER_TO_YOU"], "not a bool"),
        (["TICK\t5", "RECORDED\tpilot/3\t117\tx:1\tnan", "OVER_TO_YOU"], "not a finite number"),
        (["TICK\t5", "TOPOLOGY\tpilot/3\tsideways\t1\t0", "OVER_TO_YOU"], "sideways"),
        (
            ["TICK\t5", "TOPOLOGY\tpilot/3\tupdate\t1\t2", "ITEM\tx:1\ta\tbig\t0\tin_service\t1\t-", "OVER_TO_YOU"],
            "expected ITEM",
        ),
        (["TICK\t5", "FIRED\tpilot/3\t7"], "ended inside a batch"),
        (["TICK\t5", UP.replace("domain.shards=3\t", ""), "OVER_TO_YOU"], "missing setting 'domain.shards'"),
    ],
)
def test_bad_input_names_line_and_reason(rows, reason):
    with pytest.raises(codec.WireError, match=reason):
        read(*rows)


def host(*rows: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "damsonpick.simhost"],
        cwd=ROOT,
        text=True,
        input="".join(row + "\n" for row in rows),
        capture_output=True,
        timeout=30,
    )


def test_host_answers_and_ends_cleanly():
    done = host(
        "TICK\t5",
        "OVER_TO_YOU",
        "TICK\t6",
        UP,
        "TOPOLOGY\tpilot/3\trestored\t1\t0",
        "OVER_TO_YOU",
        "TICK\t7",
        "EXIT\tpilot/3",
        "OVER_TO_YOU",
    )
    assert done.returncode == 0 and done.stdout.count("YIELD") == 3
    assert done.stdout.startswith("YIELD\n") and "LISTEN\tpilot/3\t1" in done.stdout


@pytest.mark.parametrize(
    "rows",
    [
        ["TICK\t5", "FIRED\tpilot/9\t7", "OVER_TO_YOU"],
        ["TICK\t5", "EXIT\tpilot/9", "OVER_TO_YOU"],
        ["TICK\t5", UP],
        ["nonsense"],
    ],
)
def test_host_ends_with_a_message_on_bad_input(rows):
    done = host(*rows)
    assert done.returncode != 0 and len(done.stderr.strip().splitlines()) == 1
    assert "Traceback" not in done.stderr


def test_planner_exceptions_become_a_fault_line(monkeypatch, capsys):
    from damsonpick.protocols.simulator.host import Host

    target = Host()
    target.reply(read("TICK\t5", UP, "OVER_TO_YOU")[0])
    monkeypatch.setattr("damsonpick.decisions.planner.Planner.handle", lambda *_: 1 / 0)
    lines = target.reply(read("TICK\t5", "FIRED\tpilot/3\t7", "OVER_TO_YOU")[0])
    assert lines == ["GIVE_IN\tpilot/3\tZeroDivisionError: division by zero"]
    assert "Traceback" in capsys.readouterr().err
