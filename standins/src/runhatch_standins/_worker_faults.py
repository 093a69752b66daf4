"""Faults of a stand-in for a target, and how runs end that it broke off."""

from typing import Any

NO_FAULTS: dict[str, Any] = {
    "status": 0,
    "hang_seconds": 0.0,
    "lose_orders": False,
    # Refuse requests with this value in ``Retry-After``.
    "rest_seconds": 0.0,
    # Announce draining in responses, but not yet in the entry.
    "leaving": False,
    # Text in a path that makes the process exit, as if the request crashed it.
    "ends_on": "",
    # Part of a prompt at whose first event the process exits.
    "ends_on_part": "",
    # Answer with neither a length nor chunks.
    "unframed": False,
    # Break off streams after this many bytes, by a reset or a normal close; none if
    # negative.
    "break_at": -1,
    "break_by_reset": False,
    # Break off only the first stream of an attempt, at whichever of the targets with
    # this folder it runs first.
    "break_once_in": "",
    # Announce this number in responses; fall if more requests find no room in a second.
    "brittle": 0,
    # Time in seconds until a target that fell is back.
    "down_seconds": 3.0,
    # Violations, to test that the checkers detect them.
    "run_twice": False,
    "wrong_body": False,
    "skip_event": False,
    "short_stream": False,
    "untrue_refusal": False,
    "lower_fence": False,
    "shared_fence": False,
    "two_holders": False,
}
CLOSED_EARLY, RESET = "closed early", "reset"
"""Ends of runs whose stream the target broke off."""
SKIPPED_EVENT = 2
PLANTED_ORDERS: dict[str, tuple[int, str]] = {
    "lower_fence": (-1, ""),
    "shared_fence": (0, "-other"),
    "two_holders": (1, "-other"),
}
"""By fault, the fence increment and holder suffix of a forged second order."""
