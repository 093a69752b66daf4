"""Starts processes for tests and demos, and signals them by process id."""

import os
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

START_SECONDS = 20.0


@dataclass(slots=True)
class Launched:
    """A child process and the lines it printed."""

    name: str
    process: subprocess.Popen[str]
    lines: list[str] = field(default_factory=list)

    @property
    def port(self) -> int:
        """The first port in the first line."""
        return self.ports[0]

    @property
    def ports(self) -> list[int]:
        """All ports in the first line."""
        words = self.lines[0].replace(",", " ").split()
        return [int(word) for word in words if word.isdecimal()]

    @property
    def url(self) -> str:
        """The base URL of the process."""
        return f"http://127.0.0.1:{self.port}"

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has exited."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()

    def terminate(self, seconds: float) -> int:
        """Terminate the process, kill it after ``seconds``; return its exit status."""
        self.signal(signal.SIGTERM)
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.process.returncode


def launch(
    name: str,
    module: str,
    *arguments: str,
    errors: Path | None = None,
    variables: Mapping[str, str] | None = None,
) -> Launched:
    """Start ``python -m module`` and wait for its first line, which has its port.

    Raises ``RuntimeError`` with its error output if it exits or prints no line
    within ``START_SECONDS``.
    """
    with tempfile.TemporaryFile("w+") if errors is None else errors.open("w+") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
            env={**os.environ, **(variables or {})},
        )
        return _await_start(name, process, log)


def _await_start(name: str, process: "subprocess.Popen[str]", log: IO[str]) -> Launched:
    launched = Launched(name, process)
    first_line = threading.Event()
    reader = threading.Thread(
        target=_read_lines, args=(launched, first_line), daemon=True
    )
    reader.start()
    if not first_line.wait(START_SECONDS) or not launched.lines:
        # The end of its output means that the process exits.
        problem = (
            f"ended with {process.wait()}" if first_line.is_set() else "printed nothing"
        )
        launched.kill()
        log.seek(0)
        raise RuntimeError(f"{name} did not start, {problem}: {log.read()}")
    return launched


def _read_lines(launched: Launched, first_line: threading.Event) -> None:
    stdout = launched.process.stdout
    assert stdout is not None
    for line in stdout:
        launched.lines.append(line.rstrip())
        first_line.set()
    first_line.set()
