"""Answers the requests that the command line sends to a running pilot over the control socket."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from damsonpick.controller.control_requests import (
    ControlRequest,
    InvalidRequestError,
    JsonObject,
    Query,
    TablesRequest,
    decode_request,
)
from damsonpick.controller.control_socket import Reply
from damsonpick.controller.engine import Engine
from damsonpick.controller.list_watch import ListWatch
from damsonpick.controller.snapshot_task import SnapshotTask
from damsonpick.protocols.shared.send_queue import SendQueue
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.protocols.xds.names import EDS
from damsonpick.protocols.xds.resources import Catalogue
from damsonpick.runtime.clock import Clock
from damsonpick.solver.advice import Advisor
from damsonpick.state.published_tables import PublishedTables

QueryHandler = Callable[[ControlRequest], Reply]
MAX_SHOWN_KIND = 60  # characters of an unknown query that the error reply shows


class UnknownSliceError(InvalidRequestError):
    """A request names a slice that does not exist."""

    def __init__(self, number: int, slice_count: int) -> None:
        """Build the message from the slice number and the number of slices."""
        super().__init__(f"slice {number}", f"does not exist; there are {slice_count} slices, numbered from 0")
        self.number = number
        self.slice_count = slice_count


@dataclass(slots=True, eq=False)
class QueryRouter:
    """Decodes each request and dispatches it to the handler of its query.

    Args:
        handlers: Handler of each query that this pilot supports.
    """

    handlers: dict[Query, QueryHandler]

    def answer(self, request: JsonObject) -> Reply:
        """Return the reply to one request. The reply to an unknown query has the single key `error`.

        Raises:
            InvalidRequestError: A field of the request is invalid. The message names the field.
            ValueError, KeyError: The request cannot be executed. The message gives the reason.
        """
        kind = request.get("ask")
        if not isinstance(kind, str) or kind not in self.handlers:
            shown = repr(kind)[:MAX_SHOWN_KIND]
            return {"error": f"unknown question {shown}; ask status, tables, weights, versions, list, sasp or forget"}
        query = Query(kind)
        return self.handlers[query](decode_request(query, request))


@dataclass(slots=True)
class Ports:
    """Ports on which the pilot listens. A port is 0 while it is not open."""

    xds: int = 0
    sasp: int = 0


@dataclass(slots=True, eq=False)
class StatusQuery:
    """Answers `status` requests with the state of the pilot, its sessions and its endpoints.

    Args:
        name: Name of the pilot.
        epoch: Number of this start of the pilot.
        ports: Open ports. Read for each request, because they are known only once the servers listen.
        clock: Clock of the pilot.
        engine, published, session_manager, send_queue, list_watch, snapshot_task: Components whose state is shown.
    """

    name: str
    epoch: int
    ports: Ports
    clock: Clock
    engine: Engine
    published: PublishedTables
    session_manager: SessionManager
    send_queue: SendQueue
    list_watch: ListWatch
    snapshot_task: SnapshotTask

    def answer(self, request: ControlRequest) -> Reply:
        """Return the complete status."""
        del request  # the request has no parameters
        classes = self.published.classes
        return {
            "pilot": self.name,
            "epoch": self.epoch,
            "port": self.ports.xds,
            "sasp_port": self.ports.sasp,
            "published": self.published.seq,
            "module": "running" if self.engine.planner else "being started over",
            "list": self.list_watch.summary,
            "failures": self.engine.failures,
            "slices": len(self.engine.owned),
            "unsaved": len(self.engine.unsaved),
            "levels": {name: self.published.level(None, index) for index, name in enumerate(classes)},
            "knowledge": self.snapshot_task.last_write._asdict(),
            "channel": {
                "waiting": self.send_queue.waiting(),
                "most": self.send_queue.most_waiting,
                "limit": self.send_queue.limit,
            },
            "gateways": list(self.session_manager.view(self.clock.now())),
            "endpoints": self.engine.view(),
        }


@dataclass(slots=True, eq=False)
class TablesQuery:
    """Answers `tables` requests with the published tables of all slices or of the requested slices."""

    published: PublishedTables
    catalogue: Catalogue

    def answer(self, request: TablesRequest) -> Reply:
        """Return the requested tables and the withdrawn endpoints.

        Raises:
            UnknownSliceError: A requested slice does not exist.
        """
        slices = range(self.published.slices) if request.slices is None else request.slices
        rows = [self._row(number) for number in slices]
        return {"tables": rows, "withdrawn": sorted(self.published.withdrawn)}

    def _row(self, number: int) -> dict[str, Any]:
        if number not in self.published.tables:
            raise UnknownSliceError(number, self.published.slices)
        name = f"slice/{number}"
        return {
            "slice": number,
            "version": self.catalogue.get(EDS, name).version,
            "changed": self.published.changed[name],
            "lines": self.published.tables[number],
            "open": self.published.routable_endpoints(number),
        }


def weights_query(advisor: Advisor, solver_enabled: bool) -> QueryHandler:
    """Return the handler of `weights` requests, which explains the solver's last plan."""

    def answer(request: ControlRequest) -> Reply:
        del request  # the request has no parameters
        if not solver_enabled:
            return {
                "error": "the solver has nothing to do with these settings; see [solver] in docs/operators/weights.md"
            }
        return advisor.explain()

    return answer


class BalancerView(Protocol):
    """Operator view of the SASP server."""

    def view(self) -> Reply:
        """Return the registered balancers, their groups and members."""


def sasp_query(server: BalancerView | None) -> QueryHandler:
    """Return the handler of `sasp` requests. `server` is None if this pilot does not serve SASP."""

    def answer(request: ControlRequest) -> Reply:
        del request  # the request has no parameters
        if server is None:
            return {"error": "this pilot does not serve SASP; set an address in [sasp] listen"}
        return server.view()

    return answer
