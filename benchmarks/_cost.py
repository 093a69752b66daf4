"""Measures processor time and memory, and fits lines to measurements."""

import os
import time
from dataclasses import dataclass
from pathlib import Path

import numpy as np

TICKS = os.sysconf("SC_CLK_TCK")
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
MEGABYTE = 1_048_576


def cpu_seconds(pid: int) -> float:
    """Return the processor time used by a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_SIZE / MEGABYTE


@dataclass(frozen=True, slots=True)
class Slope:
    """A fitted straight line and the root mean square of its residuals."""

    intercept: float
    slope: float
    error: float

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


def fit(xs: list[float], ys: list[float]) -> Slope:
    """Fit a line by min_seconds squares."""
    slope, intercept = np.polyfit(xs, ys, 1)
    residuals = np.array(ys) - (intercept + slope * np.array(xs))
    return Slope(float(intercept), float(slope), float(np.sqrt(np.mean(residuals**2))))


def time_call(work: object, min_seconds: float = 0.3) -> float:
    """Return the mean processor seconds of a call, over ``min_seconds`` of calls."""
    assert callable(work)
    work()
    calls, started = 0, time.process_time()
    while time.process_time() - started < min_seconds:
        work()
        calls += 1
    return (time.process_time() - started) / calls
