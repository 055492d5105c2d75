"""The endpoint list as the pilot may interpret it: the state of each server, and whether a server is warm."""

from __future__ import annotations

from damsonpick.testing.rules.records import ListedServer, ListSent
from damsonpick.time_units import NS_PER_SECOND

# If a list omits at least VANISH_MIN_SERVERS of the servers in service, and more than the share VANISH_SHARE of them,
# the omitted servers count as gone only once the lists have omitted so many for VANISH_CONFIRMED_NS; see
# docs/design/knowledge.md.
VANISH_SHARE = 0.4
VANISH_MIN_SERVERS = 3
VANISH_CONFIRMED_NS = 30 * NS_PER_SECOND

IN_SERVICE = "in_service"
TERMINATING = "terminating"
TERMINATED = "terminated"


class ListedServers:
    """Tracks the state of the endpoint list.

    Attributes:
        leaving_since: Time in ns at which the pilot learned that a server is draining or gone, by server.
        start_known_since: Time in ns at which a list first showed a server process in service, by server and process
            start.
        has_warm_server: Whether, at the last `update_warmth`, a server in service had finished its warm-up.
    """

    def __init__(self, warm_up_ns: int) -> None:
        """Start with an empty list.

        Args:
            warm_up_ns: Time for which a server is cold after its start.
        """
        self.warm_up_ns = warm_up_ns
        self.servers: dict[str, ListedServer] = {}
        self.leaving_since: dict[str, int] = {}
        self.start_known_since: dict[tuple[str, int], int] = {}
        self.has_warm_server = False
        self._missing_since = 0
        self._next_warm_ns = 0

    def apply(self, record: ListSent) -> list[str]:
        """Apply a list. An empty list indicates a failed list source and changes nothing.

        Returns:
            Servers that this list is the first to show as draining or gone.
        """
        if not record.servers:
            return []
        servers = self._with_unconfirmed_removals(record)
        newly_leaving = []
        for name in {*self.servers, *servers}:
            state = servers[name].state if name in servers else TERMINATED
            if state == IN_SERVICE:
                self.leaving_since.pop(name, None)
                self.start_known_since.setdefault((name, servers[name].started_ns), record.time_ns)
            elif (name in self.servers or state == TERMINATING) and name not in self.leaving_since:
                newly_leaving.append(name)
                self.leaving_since[name] = record.time_ns
        self.servers = dict(servers)
        return newly_leaving

    def _with_unconfirmed_removals(self, record: ListSent) -> dict[str, ListedServer]:
        """Return the listed servers, and the servers that the list omits but that do not count as gone yet."""
        serving = [name for name, server in self.servers.items() if server.state == IN_SERVICE]
        missing = [name for name in serving if name not in record.servers]
        if len(missing) < VANISH_MIN_SERVERS or len(missing) <= VANISH_SHARE * len(serving):
            self._missing_since = 0
            return record.servers
        self._missing_since = self._missing_since or record.time_ns
        if record.time_ns - self._missing_since >= VANISH_CONFIRMED_NS:
            return record.servers
        return record.servers | {name: self.servers[name] for name in missing}

    def warm_server_due(self, now: int) -> bool:
        """Return whether no server was warm at the last `update_warmth` and one has finished its warm-up since."""
        return not self.has_warm_server and bool(self._next_warm_ns) and now >= self._next_warm_ns

    def update_warmth(self, now: int) -> bool:
        """Update `has_warm_server`, and return whether it changed from False to True."""
        warm_times = [self._warm_time(server) for server in self.servers.values() if server.state == IN_SERVICE]
        had_warm_server = self.has_warm_server
        self.has_warm_server = any(at <= now for at in warm_times)
        self._next_warm_ns = min(warm_times, default=0)
        return self.has_warm_server and not had_warm_server

    def _warm_time(self, server: ListedServer) -> int:
        return server.started_ns + self.warm_up_ns if server.started_ns else 0
