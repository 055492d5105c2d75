"""What is known of one slice that this instance owns: assigned endpoints, published entries, demand, warmth."""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_LOAD = 0.01  # requests/s; a slice without demand still counts a little


@dataclass(slots=True, eq=False)
class SliceState:
    """One owned slice.

    Attributes:
        number: number of the slice and of its table.
        rates: demand by request class, requests/s, averaged.
        owned_since: time at which this instance became the owner, ns.
        assigned: endpoints that should have an entry in the table.
        published: entries of the table as published, weight by endpoint.
        last_reports_at: time of the newest demand report by request class, ns; 0: none.
        rates_assumed: rates of classes without a report are set to the usual ones.
        warmth: how far each endpoint's cache holds the slice, 0 to 1.
        advised_weights: entry weights that were calculated outside; an endpoint without one weighs 1.
        externally_assigned: the whole table was calculated outside, so that rounds leave it alone.
    """

    number: int
    rates: list[float]
    owned_since: int
    assigned: list[str] = field(default_factory=list)
    published: dict[str, float] = field(default_factory=dict)
    last_reports_at: list[int] = field(init=False)
    rates_assumed: bool = True
    warmth: dict[str, float] = field(default_factory=dict)
    advised_weights: dict[str, float] = field(default_factory=dict)
    externally_assigned: bool = False

    def __post_init__(self) -> None:
        """Start without any report."""
        self.last_reports_at = [0] * len(self.rates)

    @property
    def load(self) -> float:
        """Demand over all classes, requests/s; never 0."""
        return sum(self.rates) + MIN_LOAD

    def load_share(self, endpoint: str) -> float:
        """Requests/s that an assigned endpoint gets of this slice."""
        if not self.advised_weights:
            return self.load / len(self.assigned)
        return self.load * self.desired_weight(endpoint) / sum(map(self.desired_weight, self.assigned))

    def desired_weight(self, endpoint: str) -> float:
        """Weight that an endpoint's entry should have."""
        return self.advised_weights.get(endpoint, 1.0)

    def is_out_of_sync(self) -> bool:
        """Whether the published entries differ from the assigned endpoints or from an advised weight."""
        if self.published.keys() != dict.fromkeys(self.assigned).keys():
            return True
        return any(self.published.get(name, weight) != weight for name, weight in self.advised_weights.items())
