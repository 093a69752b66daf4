"""Describes in one line where a request would go."""

from typing import Any


def describe_verdict(answer: dict[str, Any]) -> str:
    """Return the outcome in ``answer``, with the refusal if there is one."""
    request = f"{answer['route']}, priority {answer['priority']}"
    if answer["outcome"] == "sent":
        return f"{request}: would be sent to {answer['target']}"
    refusal = (
        f"{answer['reason']} ({answer['status']}), "
        f"Retry-After {answer['retry_after_seconds']} s"
    )
    if answer["outcome"] == "waits":
        return (
            f"{request}: would wait up to {answer['max_wait_seconds']:.1f} s behind "
            f"{answer['ahead']} requests, then be refused: {refusal}"
        )
    return f"{request}: would be refused: {refusal}"
