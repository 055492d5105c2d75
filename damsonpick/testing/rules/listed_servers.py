"""The endpoint list as the pilot may read it: who serves, who leaves, and whether a warm server is listed."""

from __future__ import annotations

from damsonpick.testing.rules.records import ListedServer, ListSent
from damsonpick.time_units import NS_PER_SECOND

# A large part of the servers that vanishes in one list counts as gone only after the list has said so for a while; see
# docs/design/knowledge.md.
VANISH_SHARE = 0.4
VANISH_MIN_SERVERS = 3
VANISH_CONFIRMED_NS = 30 * NS_PER_SECOND

IN_SERVICE = "in_service"
TERMINATING = "terminating"
TERMINATED = "terminated"


class ListedServers:
    """Follows the endpoint list.

    Attributes:
        leaving_since: server: since when the pilot knows it as draining or gone, ns.
        start_known_since: (server, start of its process): since when the pilot knows of it, ns.
        has_warm_server: whether a server in service is listed that is no longer cold.
    """

    def __init__(self, warm_up_ns: int) -> None:
        """Start with an empty list.

        Args:
            warm_up_ns: how long a started server is cold.
        """
        self.warm_up_ns = warm_up_ns
        self.servers: dict[str, ListedServer] = {}
        self.leaving_since: dict[str, int] = {}
        self.start_known_since: dict[tuple[str, int], int] = {}
        self.has_warm_server = False
        self._missing_since = 0
        self._next_warm_ns = 0

    def apply(self, record: ListSent) -> list[str]:
        """Apply a list; an empty one is a failed source and changes nothing.

        Returns:
            Servers that have just become known as draining or gone.
        """
        if not record.servers:
            return []
        servers = self._confirmed(record)
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

    def _confirmed(self, record: ListSent) -> dict[str, ListedServer]:
        """The list's servers, and those whose absence is not yet believed."""
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
        """Whether a listed server has finished its warm-up since the last look."""
        return not self.has_warm_server and bool(self._next_warm_ns) and now >= self._next_warm_ns

    def update_warmth(self, now: int) -> bool:
        """Look for a warm server in service; returns whether one is there after a time without."""
        warm_at = [self._warm_at(server) for server in self.servers.values() if server.state == IN_SERVICE]
        had_warm_server = self.has_warm_server
        self.has_warm_server = any(at <= now for at in warm_at)
        self._next_warm_ns = min(warm_at, default=0)
        return self.has_warm_server and not had_warm_server

    def _warm_at(self, server: ListedServer) -> int:
        return server.started_ns + self.warm_up_ns if server.started_ns else 0
