"""An open-loop load tool: arrivals keep their own time, so a stall of the target counts."""
