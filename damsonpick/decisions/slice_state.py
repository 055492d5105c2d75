"""The state of one slice that this instance owns: assigned endpoints, published entries, demand and warmth."""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_LOAD = 0.01  # requests/s added to the load of each slice, so that a slice without demand has a small load


@dataclass(slots=True, eq=False)
class Handover:
    """The change of a slice's sole owner, until the entry of the new owner is published.

    Attributes:
        former_owner: The owner before; None if the table had no entry.
        ordered_at: Time of the newest order of the handover, ns.
        stop_message: Number of the message that stops the writes; None if none does, or if a proxy has joined since
            that may have read the old entry without the order.
        clear_message: Number of the message that clears the table; None if it is not cleared yet.
        ready_at: Time from which the new owner may have an entry, ns; None while a proxy may send writes to the former
            owner.
    """

    former_owner: str | None
    ordered_at: int
    stop_message: int | None = None
    clear_message: int | None = None
    ready_at: int | None = None

    def first_message(self) -> int | None:
        """Return the number of the message that stops the writes or clears the table, whichever was sent first."""
        return self.clear_message if self.stop_message is None else self.stop_message


@dataclass(slots=True, eq=False)
class SliceState:
    """One owned slice.

    Attributes:
        number: Number of the slice and of its table.
        rates: Averaged demand by request class, requests/s.
        owned_since: Time at which this instance became the owner, ns.
        assigned: Endpoints that should have an entry in the table.
        published: Published entries of the table, weight by endpoint.
        last_reports_at: Time of the newest demand report by request class, ns; 0 if there is none.
        rates_assumed: Whether classes without a report are assumed to have the mean rates of the owned slices.
        warmth: Degree to which each endpoint's cache contains the slice, 0 to 1, by endpoint.
        advised_weights: Entry weights calculated by the solver; an endpoint without one has weight 1.
        externally_assigned: Whether the whole table was calculated by the solver. Balancing rounds do not change it.
        handover: The handover in progress, on sites with a sole owner. It is kept while the slice has no assignment.
        writes_stopped_at: Time of the last order that stopped the writes of the table, ns. It may be one of another
            incarnation or instance until the slice was gained.
        write_level_unknown: Whether a joined proxy may still apply an order that stopped the writes of the table.
        former_owners: Time (ns) at which the table was cleared, by endpoint that was the sole owner until then.
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
    handover: Handover | None = None
    writes_stopped_at: int = field(init=False)
    write_level_unknown: bool = False
    former_owners: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Initialize the report times of all classes to 0 (no report)."""
        self.writes_stopped_at = self.owned_since
        self.last_reports_at = [0] * len(self.rates)

    @property
    def load(self) -> float:
        """Demand over all classes, requests/s; never 0."""
        return sum(self.rates) + MIN_LOAD

    def load_share(self, endpoint: str) -> float:
        """Return the requests/s of this slice that an assigned endpoint receives."""
        if not self.advised_weights:
            return self.load / len(self.assigned)
        return self.load * self.desired_weight(endpoint) / sum(map(self.desired_weight, self.assigned))

    def desired_weight(self, endpoint: str) -> float:
        """Return the weight that an endpoint's entry should have."""
        return self.advised_weights.get(endpoint, 1.0)

    def is_out_of_sync(self) -> bool:
        """Return whether the published entries or the table's levels differ from what they should be."""
        if self.write_level_unknown:
            return True
        if self.published.keys() != dict.fromkeys(self.assigned).keys():
            return True
        return any(self.published.get(name, weight) != weight for name, weight in self.advised_weights.items())
