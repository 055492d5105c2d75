"""Checks the five rules of the running program against what passed on the sockets."""

from damsonpick.testing.rules.checker import Checker
from damsonpick.testing.rules.limits import EffectRule, Limits
from damsonpick.testing.rules.result import Breach, RuleResult

__all__ = ["Breach", "Checker", "EffectRule", "Limits", "RuleResult"]
