"""The engine under planner failures, clock steps, failed writes to the store, and lost leases."""

from __future__ import annotations

import json
import sqlite3
from dataclasses import replace

import pytest
import structlog

from damsonpick import interface as api
from damsonpick.controller.engine import Engine
from damsonpick.controller.table_pin import RollbackRequest
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.shared.send_queue import SendQueue
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.protocols.xds.delta_session import DeltaSession
from damsonpick.protocols.xds.resources import Catalogue
from damsonpick.settings import load
from damsonpick.state.endpoint_list.validation import EndpointList
from damsonpick.state.history.database import open_history
from damsonpick.state.history.errors import SoleOwnerRollbackError
from damsonpick.state.history.history import Retention
from damsonpick.state.history.recorder import HistoryRecorder
from damsonpick.state.published_tables import PublishedTables
from damsonpick.state.store.sqlite import Store
from tests.pilots import SETTINGS, Pilot, until
from tests.test_xds_hard_cases import SLICES, drained, served

SECOND = 1_000_000_000
NOW = 100 * SECOND


class FailingPlanner(Planner):
    """Raises in the calls of `handle` whose numbers are in `fail_at`."""

    fail_at: tuple[int, ...] = ()
    calls = 0

    def handle(self, now, events):
        FailingPlanner.calls += 1
        if FailingPlanner.calls in FailingPlanner.fail_at:
            raise ZeroDivisionError("injected failure")
        return super().handle(now, events)


class EngineHarness:
    """An engine whose connected sessions receive and acknowledge every response."""

    def __init__(self, folder, make_planner=Planner):
        (folder / "pilot.ini").write_text(SETTINGS.format(slices=6, rate=0))
        self.settings = load(folder / "pilot.ini")
        self.store = Store(folder / "t.db", 6)
        self.published = PublishedTables(("page", "tally"), 6)
        self.catalogue = Catalogue(self.published, self.settings, lambda n: "a")
        self.session_manager = SessionManager(
            self.published, self.catalogue, SendQueue(0, 8, 1e9), self.store.gateway_number
        )
        self.endpoint_list = EndpointList(("a", "b"))
        self.log = structlog.testing.LogCapture()
        log = structlog.wrap_logger(None, processors=[self.log])
        history = open_history(folder / "versions.db")
        recorder = HistoryRecorder(self.published, self.catalogue.versions, history, Retention(100, 3600 * SECOND), log)
        self.engine = Engine(
            self.settings,
            self.store,
            self.published,
            self.session_manager,
            self.endpoint_list,
            log,
            make_planner,
            recorder,
        )
        self.now = NOW
        self.engine.start(NOW)
        self.list("in_service", "in_service", "in_service")

    def list(self, *states):
        entries = [api.EndpointEntry(f"127.0.0.1:{9001 + k}", "a", s, 1.0, 0) for k, s in enumerate(states)]
        validation = self.endpoint_list.apply(self.now, entries)
        if validation.event:
            self.engine.enqueue(validation.event)

    def join(self, node="gw"):
        from envoy.service.discovery.v3 import discovery_pb2

        session = DeltaSession(self.catalogue, 1)
        request = discovery_pb2.DeltaDiscoveryRequest(
            type_url="type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
        )
        request.node.id = node
        session.receive(self.now, request)
        self.session_manager.join(self.now, session)
        return session

    def run(self, seconds, step=SECOND // 10):
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.engine.step(self.now)
            self.session_manager.dispatch(self.now)
            for session in list(self.session_manager.by_session):
                while (response := session.compose(self.now)) is not None:
                    self.acknowledge(session, response)
                self.session_manager.update_ready(session)
                self.session_manager.acknowledge(self.now, session)
            self.now += step

    def acknowledge(self, session, response):
        from envoy.service.discovery.v3 import discovery_pb2

        got = discovery_pb2.DeltaDiscoveryResponse.FromString(response)
        session.receive(self.now, discovery_pb2.DeltaDiscoveryRequest(type_url=got.type_url, response_nonce=got.nonce))

    def events(self, name):
        return [e for e in self.log.entries if e["event"] == name]

    def all_slices_routable(self):
        return all(self.published.routable_endpoints(n) for n in range(6))


def test_tables_are_stored_before_they_are_sent_and_sync_tokens_come_back(tmp_path):
    harness = EngineHarness(tmp_path)
    session = harness.join()
    harness.run(1)
    assert harness.all_slices_routable() and harness.store.load_tables() == harness.published.tables
    assert (
        harness.session_manager.by_session[session].session is session
        and harness.engine.planner.flow_control.last_token
    )
    assert not harness.engine.planner.flow_control.in_flight, "every sync token was acknowledged"


def test_a_failing_planner_keeps_the_tables_and_starts_over_from_the_store(tmp_path):
    FailingPlanner.fail_at, FailingPlanner.calls = (6,), 0
    harness = EngineHarness(tmp_path, FailingPlanner)
    harness.join()
    harness.run(0.3)
    before = {n: dict(t) for n, t in harness.published.tables.items()}
    harness.run(2)
    (failed,) = harness.events("planner_failed")
    assert "ZeroDivisionError" in failed["error"] and failed["events"] and failed["restart_in_ms"] == 0
    assert harness.engine.planner is not None and harness.published.tables == before
    harness.list("terminating", "in_service", "in_service")
    harness.run(1)
    assert (
        all("127.0.0.1:9001" not in harness.published.routable_endpoints(n) for n in range(6))
        and harness.all_slices_routable()
    )


def test_acknowledgements_of_a_failed_planner_do_not_count_for_the_next_one(tmp_path):
    """Regression (review, case 3, restarts): a new planner took them for its own, and gave a slice away too early."""
    harness = EngineHarness(tmp_path)
    session = harness.join()
    harness.engine.step(harness.now)
    assert harness.session_manager.by_session[session].pending_tokens
    harness.engine._planner_failed(harness.now, [], ValueError("injected failure"))
    harness.engine._start_planner()
    assert not harness.session_manager.by_session[session].pending_tokens


def test_a_rollback_that_changes_sole_owners_is_rejected(tmp_path):
    """Regression (review, case 3, daemon): a rollback gave slices to other owners while the present ones had writes."""
    harness = EngineHarness(tmp_path)
    harness.join()
    harness.run(1)
    first = harness.engine.recorder.history.newest().number
    harness.list("terminating", "in_service", "in_service")
    harness.run(1)
    harness.list("in_service", "in_service", "in_service")
    harness.run(1)
    settings = harness.engine.settings
    classes = {name: spec.model_copy(update={"writes": True}) for name, spec in settings.classes.items()}
    tables = settings.tables.model_copy(update={"sole_owner": True})
    harness.engine.settings = settings.model_copy(update={"classes": classes, "tables": tables})
    request = RollbackRequest(str(first), harness.now + SECOND)
    assert not harness.engine.roll_back(harness.now, replace(request, dry_run=True))["done"]
    before = {number: dict(table) for number, table in harness.published.tables.items()}
    with pytest.raises(SoleOwnerRollbackError, match="sole_owner"):
        harness.engine.roll_back(harness.now, request)
    assert harness.published.tables == before and not harness.engine.pin.holds(harness.now)


def test_what_a_failed_planner_had_learned_is_handed_on_once_and_not_after_a_second_failure(tmp_path):
    harness = EngineHarness(tmp_path)
    harness.run(1)
    harness.engine.planner.endpoints["127.0.0.1:9001"].capacity_factor = 0.25
    harness.engine.planner.endpoints["127.0.0.1:9001"].last_report_at = 1
    kept = harness.engine.learned_state()
    assert [s.capacity_factor for s in kept.endpoints] == [0.25]
    harness.engine._planner_failed(harness.now, [], ValueError("first"))
    harness.engine._start_planner(harness.engine.captured_state)
    assert harness.engine.captured_state is not None
    harness.engine._planner_failed(harness.now + 1, [], ValueError("second"))
    assert harness.engine.captured_state is None


def test_a_planner_that_fails_again_and_again_is_tried_within_a_second_each_time(tmp_path):
    FailingPlanner.fail_at, FailingPlanner.calls = tuple(range(3, 60)), 0
    harness = EngineHarness(tmp_path, FailingPlanner)
    harness.join()
    harness.run(30)
    waits = [e["restart_in_ms"] for e in harness.events("planner_failed")]
    assert waits[0] == 0 and max(waits) <= 1000 and len(waits) >= 20


def test_a_clock_that_jumps_back_stands_still_and_forward_does_no_harm(tmp_path):
    harness = EngineHarness(tmp_path)
    harness.join()
    harness.run(2)
    seen = harness.engine.planner.now
    harness.now -= 3600 * SECOND
    harness.run(1)
    assert harness.engine.planner.now >= seen and harness.engine.clock.steps_back > 0
    harness.now = seen + 7200 * SECOND
    harness.list("terminating", "in_service", "in_service")
    harness.run(1)
    assert (
        all("127.0.0.1:9001" not in harness.published.routable_endpoints(n) for n in range(6))
        and harness.all_slices_routable()
    )


def test_a_store_that_cannot_be_written_is_logged_and_orders_go_on(tmp_path, monkeypatch):
    harness = EngineHarness(tmp_path)
    harness.join()

    def full(tables):
        raise sqlite3.OperationalError("database or disk is full")

    monkeypatch.setattr(harness.store, "save_tables", full)
    harness.run(1)
    assert (
        harness.all_slices_routable()
        and harness.events("store_write_failed")
        and not any(harness.store.load_tables().values())
    )
    monkeypatch.undo()
    harness.run(2)
    assert harness.store.load_tables() == harness.published.tables and harness.events("store_write_recovered")


def test_a_lost_slice_is_given_up_and_orders_for_it_are_dropped(tmp_path):
    harness = EngineHarness(tmp_path)
    harness.join()
    harness.run(1)
    harness.store.db.execute("UPDATE slices SET owner = 'other', until = ? WHERE slice < 3", (harness.now * 2,))
    harness.engine.renew(harness.now)
    harness.run(1)
    assert harness.engine.owned == {3, 4, 5} and set(harness.engine.planner.slices) == {3, 4, 5}
    kept = {n: dict(harness.published.tables[n]) for n in range(3)}
    harness.list("terminating", "in_service", "in_service")
    harness.run(1)
    assert {n: harness.published.tables[n] for n in range(3)} == kept
    harness.store.release("other")
    harness.engine.renew(harness.now)
    harness.run(1)
    assert set(harness.engine.planner.slices) == set(range(6))


FAULTY = "tests.faulty_pilot"


@pytest.mark.parametrize("delta", [True, False])
def test_a_failing_planner_through_real_sockets(tmp_path, clients, delta):
    pilot = Pilot(tmp_path, module=FAULTY)
    pilot.list(s1="in_service", s2="in_service", s3="in_service")
    pilot.start()
    try:
        client = clients(pilot, delta=delta)
        client.until(served(client))
        until(lambda: pilot.log("planner_failed"))
        before = dict(client.tables)
        client.acknowledge_until_quiet()
        assert all(client.tables[s] for s in SLICES) and before
        pilot.list(s1="terminating", s2="in_service", s3="in_service")
        client.until(lambda: drained(pilot, client, 1))
        assert all(e["restart_in_ms"] <= 1000 for e in pilot.log("planner_failed"))
        assert json.dumps(pilot.log("planner_failed")[0]["events"])
    finally:
        pilot.stop()


def test_a_withdrawal_from_before_a_restart_is_shown_and_its_readmission_logged(tmp_path):
    """Regression: a restarted engine showed an endpoint as in full service that was withdrawn before the restart.

    It did not log the readmission of this endpoint either.
    """
    harness = EngineHarness(tmp_path)
    harness.published.apply([api.SetWithdrawn("127.0.0.1:9002", True)])
    harness.engine.persistence.save(harness.now)
    restarted = EngineHarness(tmp_path)
    assert "127.0.0.1:9002" in restarted.published.withdrawn
    restarted.engine.step(restarted.now)
    rows = {row["endpoint"]: row["why"] for row in restarted.engine.view()}
    assert rows["127.0.0.1:9002"].startswith("withdrawn")
    restarted.engine.decision_log.write(restarted.engine.planner, [api.SetWithdrawn("127.0.0.1:9002", False)], 1)
    assert [entry["endpoint"] for entry in restarted.events("endpoint_readmitted")] == ["127.0.0.1:9002"]
