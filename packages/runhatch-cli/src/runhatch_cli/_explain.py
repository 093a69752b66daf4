"""Explains from the logs of all nodes why a request ended as it did.

Each line is a JSON object.  The last word of a prefix that a log collector adds is used
as the source of the line.  Incomplete lines are counted and skipped.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from runhatch_cli._errors import CommandError

RELATED_EVENT_WINDOW_SECONDS = 10.0
"""Time before a request's end in which related events are shown."""
MODEL_MESSAGE_TYPES = ("load_planned", "order", "target_settled")
TARGET_MESSAGE_TYPES = (
    "target_learned",
    "target_draining",
    "target_gone",
    "rate_limit_unreadable",
    "work_time_unreadable",
    "permit_unanswered",
)
REQUEST_MESSAGE_TYPES = ("request", "target_ended", "request_held", "request_cleared")
NODE_MESSAGE_TYPES = (
    "lease",
    "configuration",
    "targets_unreachable",
    "targets_reachable",
    "log_lines_dropped",
)
TRAIT_MESSAGE_PREFIXES = ("prompt_trait_", "target_ended")
HIDDEN_FIELDS = ("level", "task_uuid", "task_level", "timestamp", "message_type")
CAUSES_BY_OUTCOME = {
    "answered": "It was answered.",
    "stream_unknown": "It resumed a stream, and the node did not know which software "
    "version began it. A target of another version must not continue it.",
    "no_replica": "No target had its model loaded, and none would have in time.",
    "no_target": "No target of its service accepted requests.",
    "goal_unmeetable": "All targets with its model were too busy to meet its goal.",
    "too_busy": "All targets with its model spent nearly all their time on prompts, "
    "so that answers in progress would not have completed.",
    "targets_busy": "Targets refused it without running it, or could not be reached.",
    "targets_unreachable": "A peer forwarded it here, and this node could not "
    "connect to the targets either.",
    "targets_rest": "All targets with its model had requested a backoff.",
    "targets_limited": "All targets with its model had reported a rate limit, and it "
    "was exhausted.",
    "ends_targets": "Targets ended while running it or a repeat of it, so it was "
    "held back.",
    "prompt_ends_targets": "Targets ended when they began to answer prompts with a "
    "part of this one, so it was not sent.",
    "targets_failed": "The target that may have run it failed, and it must not be sent "
    "again.",
    "deadline_passed": "Its deadline passed before the target answered.",
    "caller_gone": "Its caller disconnected before it was answered.",
    "target_broke_off": "The target aborted its stream.",
    "not_resumed": "The target aborted its stream, and no other target resumed it.",
    "stopping": "The node was shutting down; another node would have accepted it.",
    "not_ready": "The node had no configuration yet.",
}


class UnknownRequestError(CommandError):
    """The logs contain no line of the request."""

    exit_code = 3


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line with its source and its fields."""

    source: str
    fields: dict[str, Any]

    @property
    def message_type(self) -> str:
        """Message type of the line."""
        return str(self.fields.get("message_type", ""))

    @property
    def timestamp(self) -> float:
        """Time of the line, in seconds since the epoch."""
        return float(self.fields.get("timestamp", 0.0))

    def format(self, relative_to: float) -> str:
        """Return the line as text, its time in seconds since ``relative_to``."""
        parts = [
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in HIDDEN_FIELDS and value not in (None, "", [])
        ]
        return (
            f"{self.timestamp - relative_to:+9.3f} s  {self.source}  "
            f"{self.message_type}  {' '.join(parts)}"
        )


@dataclass(frozen=True, slots=True)
class Explanation:
    """The related log lines by time, the cause and the count of skipped lines."""

    lines: tuple[str, ...]
    cause: str
    incomplete_lines: int


def explain_request(request_id: str, paths: Iterable[Path]) -> Explanation:
    """Return the explanation of why ``request_id`` ended as it did.

    Raises :class:`UnknownRequestError` if no line has its id.
    """
    lines, torn = _read_logs(paths)
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    if not own:
        searched = f"{len(lines)} lines searched, {torn} incomplete"
        raise UnknownRequestError(f"no line of request {request_id} ({searched})")
    end = max(line.timestamp for line in own)
    related = [line for line in lines if _is_related(line, own, end)]
    related.sort(key=lambda line: line.timestamp)
    cause = _cause(own[-1], related)
    return Explanation(tuple(line.format(end) for line in related), cause, torn)


def _read_logs(paths: Iterable[Path]) -> tuple[list[LogLine], int]:
    lines = []
    torn = 0
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as error:
            raise CommandError(f"{path}: {error.strerror}") from None
        for raw in text.splitlines():
            prefix, brace, rest = raw.partition("{")
            if not brace:
                continue
            try:
                fields = json.loads(brace + rest)
            except ValueError:
                torn += 1
                continue
            words = prefix.split()
            lines.append(LogLine(words[-1] if words else path.name, fields))
    return lines, torn


def _is_related(line: LogLine, own: list[LogLine], end: float) -> bool:
    """Return whether ``line`` is of the request or helps to explain its outcome."""
    if line in own or _is_of_repeat(line, own) or _is_of_held_trait(line, own):
        return True
    if line.message_type == "rate_limit" and line.timestamp <= end + 1:
        # Logged only when a limit changes, so an old line may still be in force.
        return line.fields.get("target") in _request_targets(own)
    if not end - RELATED_EVENT_WINDOW_SECONDS <= line.timestamp <= end + 1:
        return False
    if line.message_type in NODE_MESSAGE_TYPES:
        return True
    model = own[-1].fields.get("model")
    if line.message_type in MODEL_MESSAGE_TYPES and model:
        return model in _line_models(line)
    return line.message_type in TARGET_MESSAGE_TYPES and line.fields.get(
        "target"
    ) in _request_targets(own)


def _is_of_repeat(line: LogLine, own: list[LogLine]) -> bool:
    """Return whether ``line`` concerns a repeat of the same request."""
    fingerprint = own[-1].fields.get("fingerprint")
    if not fingerprint or line.message_type not in REQUEST_MESSAGE_TYPES:
        return False
    fingerprints = line.fields.get("requests", [line.fields.get("fingerprint")])
    return fingerprint in fingerprints


def _is_of_held_trait(line: LogLine, own: list[LogLine]) -> bool:
    """Return whether ``line`` concerns the trait because of which it was not sent."""
    trait = own[-1].fields.get("held_trait")
    if not trait or not line.message_type.startswith(TRAIT_MESSAGE_PREFIXES):
        return False
    return trait in line.fields.get("traits", [line.fields.get("trait")])


def _line_models(line: LogLine) -> Iterator[Any]:
    yield line.fields.get("model")
    yield from line.fields.get("evict", ())
    yield from line.fields.get("models", ())


def _request_targets(own: list[LogLine]) -> set[str]:
    attempts = [a for line in own for a in line.fields.get("attempts", ())]
    refusing = {str(line.fields.get("refused_by", "")) for line in own} - {""}
    return refusing | {str(attempt).partition(":")[0] for attempt in attempts}


def _cause(last: LogLine, related: list[LogLine]) -> str:
    outcome = str(last.fields.get("outcome", ""))
    cause = CAUSES_BY_OUTCOME.get(outcome, f"It ended as {outcome or 'unknown'}.")
    if outcome == "targets_limited":
        limits = [line for line in related if line.message_type == "rate_limit"]
        rates = {line.fields["target"]: line.fields.get("rate") for line in limits}
        limits_text = ", ".join(
            f"{name} {rate} a second" for name, rate in rates.items()
        )
        return f"{cause} Limits: {limits_text or 'not in these logs'}."
    if outcome in ("ends_targets", "prompt_ends_targets"):
        ended = {t for line in related for t in line.fields.get("targets", ())}
        return f"{cause} Ended: {', '.join(sorted(ended)) or 'not in these logs'}."
    if outcome != "no_replica":
        return cause
    model = last.fields.get("model")
    evicted = [line for line in related if model in line.fields.get("evict", ())]
    planned = [
        line
        for line in related
        if line.message_type == "load_planned" and line.fields.get("model") == model
    ]
    if planned:
        return f"{cause} A load of it was planned but did not complete in time."
    if evicted:
        return f"{cause} It had been evicted for {evicted[-1].fields['model']}."
    return (
        f"{cause} No load of it was planned in the "
        f"{RELATED_EVENT_WINDOW_SECONDS:.0f} s before."
    )
