"""Applies a configuration file and waits until it is in force."""

import json
import time
from pathlib import Path
from typing import Any

import json5

from runhatch_cli._client import NodeClient
from runhatch_cli._errors import (
    CommandError,
    LanguageError,
    NotInForceError,
    RefusedError,
)

POLL_INTERVAL_SECONDS = 0.2
Document = dict[str, Any]


def read_document(path: Path) -> Document:
    """Return the configuration read from ``path``, JSON with comments.

    Raises :class:`LanguageError` if it cannot be read or is no JSON object.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise LanguageError(f"{path}: {error.strerror}") from None
    try:
        # The standard parser is much faster, and most files have no comments.
        document = json.loads(text)
    except ValueError:
        try:
            document = json5.loads(text)
        except ValueError as error:
            raise LanguageError(f"{path}: not JSON with comments: {error}") from None
    if not isinstance(document, dict):
        raise LanguageError(f"{path}: found {type(document).__name__}, allowed: object")
    return document


def apply_document(
    node: NodeClient, document: Document, base: int | None, note: str
) -> int:
    """Apply ``document`` based on revision ``base``; return the new revision.

    ``base`` defaults to the revision in force on ``node``.
    """
    if base is None:
        base = current_revision(node)
    change = {"base": base, "document": document, "note": note}
    return int(node.put("/v1/configuration", change)["revision"])


def current_revision(node: NodeClient) -> int:
    """Return the revision in force on ``node``, 0 if there is none."""
    records = node.post("/v1/query", {"noun": "configuration"})["records"]
    return int(records[0]["revision"]) if records else 0


def wait_until_in_force(
    nodes: list[NodeClient], revision: int, timeout_seconds: float
) -> float:
    """Wait until all ``nodes`` have ``revision``; return the seconds it took.

    Raises :class:`NotInForceError`, which names the nodes that do not have it after
    ``timeout_seconds``.
    """
    started = time.monotonic()
    pending = list(nodes)
    while pending:
        pending = [node for node in pending if not _has_revision(node, revision)]
        waited = time.monotonic() - started
        if pending and waited > timeout_seconds:
            names = ", ".join(node.url for node in pending)
            raise NotInForceError(f"revision {revision} is not in force on {names}")
        if pending:
            time.sleep(POLL_INTERVAL_SECONDS)
    return time.monotonic() - started


def _has_revision(node: NodeClient, revision: int) -> bool:
    try:
        return current_revision(node) >= revision
    except RefusedError:
        raise
    except CommandError:
        return False
