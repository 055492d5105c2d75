"""Settings of the program, read from an INI file and checked completely before any service starts."""

from damsonpick.settings.load import load, read
from damsonpick.settings.model import PilotSettings
from damsonpick.settings.problems import Problem, SettingsError

__all__ = ["PilotSettings", "Problem", "SettingsError", "load", "read"]
