"""Settings of the program: INI, read and checked whole before anything starts."""

from damsonpick.settings.load import load, read
from damsonpick.settings.model import PilotSettings
from damsonpick.settings.problems import Problem, SettingsError

__all__ = ["PilotSettings", "Problem", "SettingsError", "load", "read"]
