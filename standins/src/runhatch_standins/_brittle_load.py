"""A service of brittle targets, which gets more load than it has room for."""

from runhatch_standins._brittle_checks import (
    BRITTLE_FAULTS,
    LOAD_FACTOR,
    PlainCallers,
    check_falls,
)
from runhatch_standins._cluster import call
from runhatch_standins._gateways import GatewaySystem, route

SERVICE = "brittle"
TARGETS = 4
SLOTS = 4


class BrittleLoad:
    """Brittle targets, and callers that may send beyond their room."""

    def __init__(self, system: GatewaySystem) -> None:
        self._targets = [
            system.start_worker(SERVICE, slots=SLOTS) for _ in range(TARGETS)
        ]
        for target in self._targets:
            call(target.url, "POST", "/faults", BRITTLE_FAULTS)
        system.add_service(SERVICE, [route(f"/{SERVICE}/", "idempotent", SERVICE)])
        self._callers = PlainCallers(system.gateways, f"/{SERVICE}/")

    def run(self, seconds: float) -> None:
        """Send ``LOAD_FACTOR`` requests at once for each place of the targets."""
        self._callers.run(TARGETS * SLOTS * LOAD_FACTOR, seconds)

    def check(self) -> list[str]:
        """Return a violation if too many targets fell."""
        return check_falls(self._targets)
