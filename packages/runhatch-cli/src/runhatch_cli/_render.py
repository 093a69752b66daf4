"""Prints responses as tables or JSON."""

import json
from enum import Enum
from typing import Any

from rich.console import Console
from rich.table import Table

Record = dict[str, Any]


class OutputFormat(Enum):
    """Output format of responses."""

    TABLE = "table"
    JSON = "json"


def show_records(records: list[Record], output: OutputFormat) -> None:
    """Print ``records``, one per row."""
    if output is OutputFormat.JSON:
        print(json.dumps(records, indent=2))
        return
    if not records:
        print("(none)")
        return
    table = Table(box=None, pad_edge=False, header_style="bold")
    for name in records[0]:
        table.add_column(name, overflow="fold")
    for record in records:
        table.add_row(*(_format_cell(value) for value in record.values()))
    Console(soft_wrap=False).print(table)


def show_document(document: Record, output: OutputFormat) -> None:
    """Print ``document`` as JSON, or only its lines if it has any."""
    if output is OutputFormat.JSON:
        print(json.dumps(document, indent=2))
        return
    lines = document.get("lines")
    if lines is None:
        print(json.dumps(document, indent=2))
        return
    for line in lines:
        print(line)


def _format_cell(value: object) -> str:
    if isinstance(value, list):
        return " ".join(str(part) for part in value) or "-"
    return str(value)
