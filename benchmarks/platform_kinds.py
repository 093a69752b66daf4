"""Writes benchmark days that each have one kind of trouble, twice.

``python benchmarks/platform_kinds.py SITE FOLDER`` writes one day per kind to FOLDER,
with the traffic of the site's first day and the trouble early and late in it, and
days with pairs of kinds that aggravate each other.  The days are run with the users'
benchmark program like those of the site.
"""

import sys
import tomllib
from pathlib import Path
from typing import Any

EARLY, LATE = 4.0, 17.0
"""Seconds from the start of traffic; a day lasts about 34 seconds."""
FAULTS: tuple[dict[str, Any], ...] = (
    {"kind": "burst", "x": 2.0, "for_s": 4.0},
    {"kind": "retry_abuse", "share": 0.3, "x": 3.0, "for_s": 5.0},
    {"kind": "give_up", "share": 0.3, "for_s": 5.0},
    {"kind": "srv_crash", "share": 0.2, "for_s": 4.0, "how": "dark"},
    {"kind": "srv_crash", "share": 0.2, "for_s": 4.0, "how": "gone"},
    {"kind": "srv_grey", "share": 0.3, "x": 0.5, "for_s": 5.0, "how": "hang"},
    {"kind": "srv_grey", "share": 0.3, "x": 0.5, "for_s": 5.0, "how": "mute"},
    {"kind": "srv_slow", "share": 0.3, "x": 5.0, "for_s": 5.0},
    {"kind": "srv_cut", "share": 0.3, "for_s": 5.0},
    {"kind": "replace_with_reuse", "share": 0.2, "how": "dark"},
    {"kind": "reset_conns", "share": 0.5, "x": 0.7},
    {"kind": "applied_late", "x": 0.5, "for_s": 6.0, "how": "orders"},
    {"kind": "answer_lost", "share": 0.6, "x": 0.3, "for_s": 5.0},
    {"kind": "garble", "share": 0.6, "x": 0.1, "for_s": 5.0, "how": "extra"},
    {"kind": "garble", "share": 0.6, "x": 0.1, "for_s": 5.0, "how": "unframed"},
    {"kind": "node_kill", "on": "core", "count": 1, "how": "leader", "for_s": 3.0},
    {"kind": "node_freeze", "count": 1, "how": "giver", "for_s": 5.0},
    {"kind": "node_slow", "share": 0.4, "x": 5.0, "for_s": 5.0},
    {"kind": "herd_kill", "share": 0.6, "for_s": 2.0},
    {"kind": "clock_step", "share": 0.5, "x": 5000.0, "for_s": 4.0, "how": "ahead"},
    {"kind": "core_cut", "count": 1, "for_s": 6.0, "how": "leader"},
    {"kind": "node_cut", "share": 0.3, "for_s": 6.0, "how": "meet"},
    {"kind": "lossy", "x": 0.05, "for_s": 6.0},
    {"kind": "platform_down", "for_s": 5.0, "how": "silent"},
    {"kind": "platform_down", "for_s": 5.0, "how": "nodes leader many", "count": 1},
    {"kind": "platform_slow", "x": 80.0, "for_s": 5.0},
    {"kind": "platform_lost", "x": 0.4, "for_s": 5.0, "how": "late"},
    {"kind": "platform_compact", "x": 6.0, "for_s": 8.0, "how": "drain"},
    {"kind": "after_ack_kill", "for_s": 3.0},
)
PLAN: tuple[dict[str, Any], ...] = (
    {"kind": "release", "share": 0.4, "x": 1.0, "gap_s": 1.0},
    {"kind": "scale_out", "share": 0.3, "gap_s": 1.0},
    {"kind": "scale_in", "share": 0.2, "how": "spot", "x": 2.0},
    {"kind": "roll_term", "share": 0.5, "x": 1.0, "gap_s": 1.0, "how": "busy"},
    {"kind": "add_nodes", "share": 1.0},
    {"kind": "replace_core", "x": 1.0, "how": "planned"},
    {"kind": "hup", "share": 1.0, "gap_s": 0.5},
    {"kind": "config_change", "how": "route"},
    {"kind": "config_storm", "for_s": 4.0, "gap_s": 0.3},
    {"kind": "big_config", "count": 300},
    {"kind": "model_shift", "count": 4, "for_s": 4.0},
)
PAIRS = (
    ("node_freeze", "core_cut"),
    ("platform_down", "herd_kill"),
    ("applied_late", "node_kill"),
    ("srv_crash", "platform_compact"),
    ("answer_lost", "give_up"),
    ("clock_step", "node_freeze"),
)


def format_toml(value: object) -> str:
    """Return ``value`` formatted as TOML."""
    if isinstance(value, dict):
        return (
            "{ " + ", ".join(f"{k} = {format_toml(v)}" for k, v in value.items()) + " }"
        )
    if isinstance(value, list):
        return "[" + ", ".join(format_toml(item) for item in value) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)


def write_day(
    folder: Path,
    name: str,
    base: dict[str, Any],
    plan: list[dict[str, Any]],
    faults: list[dict[str, Any]],
) -> None:
    """Write a day like ``base`` with another name and other troubles."""
    day = {**base, "name": name, "plan": plan, "faults": faults}
    for mark in ("one", "zero", "goal", "floor_classes", "floor_zones", "closing"):
        day.pop(mark, None)
    lines = [f"{key} = {format_toml(value)}" for key, value in day.items()]
    (folder / f"{name}.toml").write_text("\n".join(lines) + "\n")


def schedule_twice(trouble: dict[str, Any]) -> list[dict[str, Any]]:
    """Return ``trouble`` scheduled early and late in the day."""
    return [{"at": at, **trouble} for at in (EARLY, LATE)]


def main() -> None:
    """Write the days to the folder given in the arguments."""
    site, target = Path(sys.argv[1]), Path(sys.argv[2])
    target.mkdir(parents=True, exist_ok=True)
    base = tomllib.loads(site.read_text())["day"][0]
    for i, trouble in enumerate(PLAN):
        write_day(
            target, f"plan{i}-{trouble['kind']}", base, schedule_twice(trouble), []
        )
    for i, trouble in enumerate(FAULTS):
        write_day(
            target, f"fault{i}-{trouble['kind']}", base, [], schedule_twice(trouble)
        )
    by_kind = {trouble["kind"]: trouble for trouble in FAULTS}
    for first, second in PAIRS:
        both = [*schedule_twice(by_kind[first]), *schedule_twice(by_kind[second])]
        write_day(target, f"pair-{first}-{second}", base, [], both)


if __name__ == "__main__":
    main()
