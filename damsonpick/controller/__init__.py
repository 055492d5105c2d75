"""The controller daemon: the engine that drives the planner, the background tasks and the control socket."""
