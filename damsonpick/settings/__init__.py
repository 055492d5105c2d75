"""Settings of the program: INI, read and checked whole before anything starts."""

from damsonpick.settings.load import Problem, SettingsError, load, read
from damsonpick.settings.model import PilotSettings

__all__ = ["PilotSettings", "Problem", "SettingsError", "load", "read"]
