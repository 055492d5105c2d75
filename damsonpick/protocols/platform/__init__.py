"""The platform's protocol: a pilot watches discovery and the registry, and sends the planner's orders."""
