"""Checks the five rules for a pilot. The input is the traffic that gateways, servers and the list server recorded."""

from damsonpick.testing.rules.checker import Checker
from damsonpick.testing.rules.limits import EffectRule, Limits
from damsonpick.testing.rules.result import Breach, RuleResult

__all__ = ["Breach", "Checker", "EffectRule", "Limits", "RuleResult"]
