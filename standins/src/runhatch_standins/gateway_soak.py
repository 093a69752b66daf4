"""Run gateway processes under random faults and check their guarantees.

The seed fixes the schedule of faults and requests, but not how the operating system
schedules processes: a violation may need several runs of a seed to recur.
"""

import argparse
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path

from runhatch_standins._brittle_load import BrittleLoad
from runhatch_standins._gateway_checks import (
    check_cut_streams,
    check_limits,
    check_memory,
    check_recovery,
)
from runhatch_standins._gateway_faults import (
    ALL_KINDS,
    BRITTLE_KINDS,
    FIRST_KINDS,
    HOLDER_KINDS,
    KINDS,
    PARTITION_KINDS,
    PROMPT_KINDS,
    RELEASE_KINDS,
    STREAM_KINDS,
    GatewayFault,
    plan_faults,
)
from runhatch_standins._gateway_soak_run import GatewaySoak
from runhatch_standins._gateways import GatewaySystem
from runhatch_standins._history import check_history
from runhatch_standins._order_checks import check_orders
from runhatch_standins._partitions import check_partitions
from runhatch_standins._prompt_load import PromptLoad
from runhatch_standins._releases import Releases
from runhatch_standins._software_versions import describe_streams
from runhatch_standins.demo import say

__all__ = [
    "ALL_KINDS",
    "BRITTLE_KINDS",
    "FIRST_KINDS",
    "HOLDER_KINDS",
    "PARTITION_KINDS",
    "PROMPT_KINDS",
    "RELEASE_KINDS",
    "STREAM_KINDS",
    "GatewayFault",
    "GatewaySoak",
    "plan_faults",
    "soak_gateways",
]

HANDOVER_SECONDS = 3.0
"""Minimum time between the orders of two holders: the platform's ``lease_ms``."""


def check(soak: GatewaySoak) -> list[str]:
    """Return all violations; called after all faults are cleared."""
    system = soak.system
    violations = [*soak.violations, *check_recovery(system, soak.versions)]
    runs = system.runs([*system.engines, *system.plain])
    violations += check_history(soak.events, Counter(str(run[0]) for run in runs))
    violations += check_cut_streams(soak.events, runs)
    violations += check_partitions(soak.tries, soak.partitions)
    violations += check_limits(soak.limited)
    violations += check_orders(soak.orders(), soak.resumed, HANDOVER_SECONDS)
    for part in (soak.releases, soak.brittle, soak.prompts):
        violations += part.check() if part is not None else []
    return violations + check_memory(system.gateways)


def soak_gateways(
    seed: int,
    seconds: float,
    gateways: int,
    planted: str = "",
    kinds: Sequence[GatewayFault] = ALL_KINDS,
    logs: Path | None = None,
) -> GatewaySoak:
    """Run a soak and return it with all violations in ``violations``.

    ``planted`` lists faults of the targets, separated by spaces, that the checks
    must detect; ``logs`` is a folder for the logs of the gateways.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        has_paths = GatewayFault.PARTITION in kinds
        system = GatewaySystem(stack, folder, has_paths)
        for number in range(len(system.gateways), gateways):
            system.start_gateway(f"n{number + 1}")
        soak = GatewaySoak(system, seed, seconds, kinds=kinds)
        if GatewayFault.RELEASE in kinds:
            soak.releases = Releases(system)
        if GatewayFault.BRITTLE_LOAD in kinds:
            soak.brittle = BrittleLoad(system)
        if GatewayFault.CRASHING_PROMPTS in kinds:
            soak.prompts = PromptLoad(system)
        for target in (*system.engines, *system.plain):
            faults = dict.fromkeys(planted.split(), True)
            stack.enter_context(soak.target_faults.hold(target.url, **faults))
        soak.run()
        soak.violations = check(soak)
        if logs is not None:
            system.write_logs(logs)
        return soak


def main() -> int:
    """Run a soak and return the exit status, 1 if there is a violation."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--kinds", choices=KINDS, default="all")
    parser.add_argument("--logs", type=Path, help="folder for the gateways' logs")
    arguments = parser.parse_args()
    soak = soak_gateways(
        arguments.seed,
        arguments.seconds,
        arguments.gateways,
        kinds=KINDS[arguments.kinds],
        logs=arguments.logs,
    )
    for fault, count in sorted(soak.counts.items(), key=lambda pair: pair[0].value):
        say(f"  {fault.value:<40}{count:>5}")
    kinds = Counter(event.kind.value for event in soak.events)
    if soak.releases is not None:
        say(f"  {describe_streams(soak.releases.streams)}")
    say(f"seed {arguments.seed}: {dict(kinds)}, {len(soak.violations)} violations")
    for violation in soak.violations[:30]:
        say(f"VIOLATION {violation}")
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
