"""What every process stands on: clock, the loop round the planner, backoff, logs, sockets."""
