"""The platform's protocol: a pilot that watches discovery and the registry, and sends the planner's orders."""
