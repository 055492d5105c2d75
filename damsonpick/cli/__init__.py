"""The command line of damsonpick."""
