"""The daemon: the engine round the planner, its tasks, and the control socket."""
