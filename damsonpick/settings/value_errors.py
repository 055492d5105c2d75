"""What is wrong with a value of a settings file. Each text continues a sentence that began with section and key."""

from __future__ import annotations

from typing import ClassVar


class InvalidValueError(ValueError):
    """A value cannot be used; the text says why and what to write instead."""

    problem: ClassVar[str] = "is wrong"

    def __init__(self) -> None:
        """The text is the same for every value."""
        super().__init__(self.problem)


class NotADurationError(InvalidValueError):
    """No number with a unit."""

    problem = "is not a duration; write a number and a unit, such as 2.2 s or 250 ms"


class NotAnAddressError(InvalidValueError):
    """No IP address before the port."""

    problem = "is not an address; write IP:PORT, such as 127.0.0.1:18000"


class PortError(InvalidValueError):
    """No port, or one that there is not."""

    problem = "has no port from 0 to 65535; write IP:PORT, such as 127.0.0.1:18000"


class NotLoopbackError(InvalidValueError):
    """An address of another machine."""

    problem = "is not a loopback address; streams are plain text so far, so only loopback is served"


class RepeatedNameError(InvalidValueError):
    """A list with one name twice."""

    problem = "names one thing twice; list each once"


class NoNamesError(InvalidValueError):
    """An empty list of names."""

    problem = "is empty; list at least one name"


class ZonePairCostError(InvalidValueError):
    """No list of costs for pairs of zones."""

    problem = "is no list of pairs; write from>to price, such as north>south 0.05"


class NotACoverageError(InvalidValueError):
    """No description of what a group covers."""

    problem = "is none of: fleet, class NAME, slices 0-9, 12"


class SliceRangeError(ValueError):
    """No slice and no range of slices."""

    def __init__(self, text: str) -> None:
        """Name the part of the list that is wrong."""
        super().__init__(f"names {text!r}; write slices such as 0-9, 12")
        self.text = text
