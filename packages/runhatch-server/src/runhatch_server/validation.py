"""Base class of validated input models, and the lines that report their errors."""

from pydantic import BaseModel, ConfigDict, ValidationError


class StrictModel(BaseModel):
    """A frozen model that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def format_validation_errors(
    error: ValidationError, secret_fields: frozenset[str] = frozenset()
) -> tuple[str, ...]:
    """Return one line for each error: field, value found and allowed values.

    Values of fields named in ``secret_fields`` are hidden.
    """
    lines = []
    for fault in error.errors(include_url=False):
        field = ".".join(str(part) for part in fault["loc"]) or "document"
        if fault["type"] == "extra_forbidden":
            lines.append(f"{field}: unknown field")
            continue
        if fault["type"] == "missing":
            lines.append(f"{field}: missing, a value is required")
            continue
        hidden = bool(secret_fields.intersection(str(part) for part in fault["loc"]))
        found = "a hidden value" if hidden else _truncate(repr(fault["input"]))
        allowed = fault["msg"].removeprefix("Value error, ")
        lines.append(f"{field}: found {found}, allowed: {allowed}")
    return tuple(lines)


def _truncate(text: str, limit: int = 60) -> str:
    return text if len(text) <= limit else text[: limit - 3] + "..."
