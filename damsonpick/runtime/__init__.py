"""Services that every process uses: clock, planner loop, backoff, logs, sockets, supervision and timeouts."""
