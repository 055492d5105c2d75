"""Every decision of placement, admission and flow control. Free of I/O; imports the interface only."""
