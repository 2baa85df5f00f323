"""Faults that experiments inject into stand-in upstreams."""

from dataclasses import dataclass

__all__ = ["Fault"]


@dataclass(slots=True)
class Fault:
    """Faults that an experiment can inject at run time.

    The attributes are the JSON keys of a request to `/standin/fault`.

    Attributes:
        fail_share: Share of parts that fail with status 500.
        slow_factor: Factor by which the service time is multiplied.
        thin_share: Share of answers that lack their last row.
        is_silent: Whether requests are read and never answered.
        is_draining: Whether new parts are refused.
        lies: Whether health and load falsely report a serving, idle
            upstream.
        is_leaving: Whether all answers of this instance say that it leaves.
        pause_until: Time until which parts are refused with the pause that is
            left, monotonic seconds.
        only_route_mark: Text that a request body must contain for the faults
            to apply.
    """

    fail_share: float = 0.0
    slow_factor: float = 1.0
    thin_share: float = 0.0
    is_silent: bool = False
    is_draining: bool = False
    lies: bool = False
    is_leaving: bool = False
    pause_until: float = float("-inf")
    only_route_mark: str = ""
