"""Parses callers' headers: identity, priority, deadline and idempotency key."""

import hashlib
import re
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from runhatch_server.refusals import Executed, Reason, Refusal

CALLER_VARIABLE = "HTTP_X_CALLER_ID"
AUTHORIZATION_VARIABLE = "HTTP_AUTHORIZATION"
PRIORITY_VARIABLE = "HTTP_PRIORITY"
DEADLINE_VARIABLE = "HTTP_REQUEST_DEADLINE"
KEY_VARIABLE = "HTTP_IDEMPOTENCY_KEY"
DEFAULT_CALLER = "anonymous"
DEFAULT_PRIORITY = 3
PRIORITIES = range(8)
"""Urgencies of RFC 9218."""
MAX_CALLER_LENGTH = 64
MAX_KEY_LENGTH = 255

_URGENCY = re.compile(r"(?:^|,)\s*u=([0-7])\s*(?:$|[,;])")
_ANY_URGENCY = re.compile(r"(?:^|,)\s*u=")
_KEY = re.compile(r'"?([\x21\x23-\x7e][\x20\x21\x23-\x7e]*)"?')
_SECONDS = re.compile(r"\d{1,6}(?:\.\d{1,3})?")


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Validated values of a caller's headers."""

    caller: str
    priority: int | None
    deadline: timedelta | None
    key: str | None


def read_headers(
    environ: Mapping[str, object], max_deadline: timedelta
) -> CallerHeaders | Refusal:
    """Return the validated headers of ``environ``, or refuse the first bad one."""
    caller = _parse_caller(environ)
    if len(caller) > MAX_CALLER_LENGTH:
        return _refuse_header(
            Reason.BAD_HEADER, "X-Caller-Id", caller, f"up to {MAX_CALLER_LENGTH}"
        )
    priority = _parse_priority(str(environ.get(PRIORITY_VARIABLE, "")))
    if isinstance(priority, Refusal):
        return priority
    deadline = _parse_deadline(environ.get(DEADLINE_VARIABLE), max_deadline)
    if isinstance(deadline, Refusal):
        return deadline
    key = _parse_key(environ.get(KEY_VARIABLE))
    if isinstance(key, Refusal):
        return key
    return CallerHeaders(caller, priority, deadline, key)


def _parse_caller(environ: Mapping[str, object]) -> str:
    named = environ.get(CALLER_VARIABLE)
    if named:
        return str(named)
    token = environ.get(AUTHORIZATION_VARIABLE)
    if token:
        return hashlib.blake2b(str(token).encode(), digest_size=8).hexdigest()
    return DEFAULT_CALLER


def _parse_priority(value: str) -> int | Refusal | None:
    """Return the urgency of RFC 9218; other members are ignored as it requires."""
    if not _ANY_URGENCY.search(value):
        return None
    found = _URGENCY.search(value)
    if found is None:
        return _refuse_header(Reason.BAD_HEADER, "Priority", value, "u=0 to u=7")
    return int(found.group(1))


def _parse_deadline(value: object, max_value: timedelta) -> timedelta | Refusal | None:
    if value is None:
        return None
    allowed = f"seconds above 0, up to {max_value.total_seconds():g}"
    if not _SECONDS.fullmatch(str(value)):
        return _refuse_header(Reason.BAD_DEADLINE, "Request-Deadline", value, allowed)
    deadline = timedelta(seconds=float(str(value)))
    if not timedelta() < deadline <= max_value:
        return _refuse_header(Reason.BAD_DEADLINE, "Request-Deadline", value, allowed)
    return deadline


def _parse_key(value: object) -> str | Refusal | None:
    if value is None:
        return None
    found = _KEY.fullmatch(str(value))
    if found is None or len(str(value)) > MAX_KEY_LENGTH:
        allowed = f"1 to {MAX_KEY_LENGTH} printable ASCII characters"
        return _refuse_header(Reason.BAD_HEADER, "Idempotency-Key", value, allowed)
    return found.group(1)


def _refuse_header(reason: Reason, header: str, found: object, allowed: str) -> Refusal:
    excerpt = str(found)[:40]
    detail = f"{header}: found {excerpt!r}, allowed: {allowed}"
    return Refusal(reason, Executed.NO, detail)
