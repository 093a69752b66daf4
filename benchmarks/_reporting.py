"""Writes figures as JSON lines and as the tables of docs/measurements.md."""

import json
import platform
import re
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path

PAGE = Path(__file__).parent.parent / "docs" / "measurements.md"
HEAD = """# Measurements

Each table is written by the run that it names, on one machine, and is to be
read as a ratio or a slope within that run.
"""


@dataclass(slots=True)
class Report:
    """The figures of one benchmark, one row per case."""

    name: str
    title: str
    command: str
    rows: list[dict[str, object]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def add(self, **figures: object) -> None:
        """Add a row of figures and print it as a JSON line."""
        self.rows.append(figures)
        print(json.dumps({"benchmark": self.name, **figures}), flush=True)

    def add_note(self, text: str) -> None:
        """Add a paragraph below the table."""
        self.notes.append(text)
        print(json.dumps({"benchmark": self.name, "note": text}), flush=True)

    def write(self) -> None:
        """Write the table to the page, replacing its previous version."""
        page = PAGE.read_text() if PAGE.exists() else HEAD
        begin, end = f"<!-- {self.name} -->", f"<!-- end {self.name} -->"
        section = "\n".join([begin, self._render_section(), end])
        pattern = re.compile(f"{re.escape(begin)}.*?{re.escape(end)}", re.DOTALL)
        if pattern.search(page):
            page = pattern.sub(lambda match: section, page)
        else:
            page = f"{page.rstrip()}\n\n{section}\n"
        PAGE.write_text(page)

    def _render_section(self) -> str:
        names = list(dict.fromkeys(name for row in self.rows for name in row))
        date = datetime.now(UTC).strftime("%Y-%m-%d")
        lines = [f"## {self.title}", ""]
        lines += [f"`{self.command}`, {date}, Python {platform.python_version()}", ""]
        lines.append("| " + " | ".join(name.replace("_", " ") for name in names) + " |")
        lines.append("|" + " --- |" * len(names))
        for row in self.rows:
            cells = [_format_cell(row.get(name, "")) for name in names]
            lines.append("| " + " | ".join(cells) + " |")
        for text in self.notes:
            lines += ["", text]
        return "\n".join(lines)


def _format_cell(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)
