"""Answers what the command line asks a running pilot over the control socket."""

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

QueryAnswerer = Callable[[ControlRequest], Reply]
MAX_SHOWN_KIND = 60  # characters


class UnknownSliceError(InvalidRequestError):
    """A slice that there is not."""

    def __init__(self, number: int, slice_count: int) -> None:
        """Name the slice and how many there are."""
        super().__init__(f"slice {number}", f"there are {slice_count}, from 0")
        self.number = number
        self.slice_count = slice_count


@dataclass(slots=True, eq=False)
class QueryRouter:
    """Decodes each request and hands it to what answers its kind.

    Args:
        answerers: one for each query that this pilot supports.
    """

    answerers: dict[Query, QueryAnswerer]

    def answer(self, request: JsonObject) -> Reply:
        """The reply to one request; a request that is not understood is answered with `error`.

        Raises:
            InvalidRequestError: a field of the request is wrong; the text names it.
            ValueError, KeyError: the request cannot be carried out; the text says why.
        """
        kind = request.get("ask")
        if not isinstance(kind, str) or kind not in self.answerers:
            shown = repr(kind)[:MAX_SHOWN_KIND]
            return {"error": f"unknown question {shown}; ask status, tables, weights, versions, list, sasp or forget"}
        query = Query(kind)
        return self.answerers[query](decode_request(query, request))


@dataclass(slots=True)
class Ports:
    """The ports that are open; 0: not open."""

    xds: int = 0
    sasp: int = 0


@dataclass(slots=True, eq=False)
class StatusQuery:
    """Answers `status`: the pilot, its sessions and its endpoints.

    Args:
        name: the pilot's name.
        epoch: number of this start.
        ports: read when asked: they are known once the servers listen.
        clock: the pilot's clock.
        engine, published, session_manager, send_queue, list_watch, snapshot_task: what is shown.
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
        """The whole status."""
        del request  # it has no parameters
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
    """Answers `tables`: the published tables, all or those of the `slices` asked for."""

    published: PublishedTables
    catalogue: Catalogue

    def answer(self, request: TablesRequest) -> Reply:
        """The tables.

        Raises:
            UnknownSliceError: a slice is asked for that there is not.
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


def weights_query(advisor: Advisor, solver_enabled: bool) -> QueryAnswerer:
    """Answers `weights`: the solver's last plan."""

    def answer(request: ControlRequest) -> Reply:
        del request  # it has no parameters
        if not solver_enabled:
            return {"error": "the solver has nothing to do here; see [solver] in docs/operators/weights.md"}
        return advisor.explain()

    return answer


class BalancerView(Protocol):
    """The SASP server, as an operator sees it."""

    def view(self) -> Reply:
        """Registered balancers, their groups and members."""


def sasp_query(server: BalancerView | None) -> QueryAnswerer:
    """Answers `sasp`: who is registered; `server` None: this pilot does not speak SASP."""

    def answer(request: ControlRequest) -> Reply:
        del request  # it has no parameters
        if server is None:
            return {"error": "there is no SASP front; give [sasp] listen an address"}
        return server.view()

    return answer
