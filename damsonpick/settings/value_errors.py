"""Errors of values in a settings file. Each message continues a sentence that starts with the section and the key."""

from __future__ import annotations

from typing import ClassVar


class InvalidValueError(ValueError):
    """Base of errors for an invalid value. The message states the problem and the correct form."""

    problem: ClassVar[str] = "is invalid"

    def __init__(self) -> None:
        """Initialize the error with the message of its class, which does not depend on the value."""
        super().__init__(self.problem)


class NotADurationError(InvalidValueError):
    """Raised when a duration is not a number with a unit."""

    problem = "is not a duration; write a number and a unit, such as 2.2 s or 250 ms"


class NotAnAddressError(InvalidValueError):
    """Raised when the part of an address before the port is not an IP address."""

    problem = "is not an address; write IP:PORT, such as 127.0.0.1:18000"


class PortError(InvalidValueError):
    """Raised when the port of an address is missing or not a number from 0 to 65535."""

    problem = "has no port from 0 to 65535; write IP:PORT, such as 127.0.0.1:18000"


class NotLoopbackError(InvalidValueError):
    """Raised when an address is not a loopback address."""

    problem = "is not a loopback address; streams are not encrypted, so use an address such as 127.0.0.1:18000"


class RepeatedNameError(InvalidValueError):
    """Raised when a list contains a name twice."""

    problem = "names an item twice; list each item once"


class NoNamesError(InvalidValueError):
    """Raised when a list of names is empty."""

    problem = "is empty; list at least one name"


class ZonePairCostError(InvalidValueError):
    """Raised when a value is not a list of costs for pairs of zones."""

    problem = "is not a list of zone pairs with their costs; write from>to cost, such as north>south 0.05"


class NotACoverageError(InvalidValueError):
    """Raised when a value is not a coverage of a group."""

    problem = "is none of the forms fleet, class NAME and slices 0-9, 12; write one of them"


class SliceRangeError(ValueError):
    """Raised when a part of a list of slices is neither a slice nor an ascending range."""

    def __init__(self, text: str) -> None:
        """Build the message from the invalid part of the list."""
        super().__init__(f"names {text!r}, which is not a slice or an ascending range; write slices such as 0-9, 12")
        self.text = text
