"""Processor time, memory and slopes."""

import os
import time
from dataclasses import dataclass
from pathlib import Path

import numpy as np

TICKS = os.sysconf("SC_CLK_TCK")
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
MEGABYTE = 1_048_576


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_SIZE / MEGABYTE


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measured points, and how far they lie off it."""

    intercept: float
    slope: float
    error: float

    def at(self, x: float) -> float:
        """Return what the line says at ``x``."""
        return self.intercept + self.slope * x


def fit(xs: list[float], ys: list[float]) -> Slope:
    """Return the line of least squares; the error is the root mean square."""
    slope, intercept = np.polyfit(xs, ys, 1)
    off = np.array(ys) - (intercept + slope * np.array(xs))
    return Slope(float(intercept), float(slope), float(np.sqrt(np.mean(off**2))))


def time_call(work: object, least: float = 0.3) -> float:
    """Return the processor seconds of one call of ``work``."""
    assert callable(work)
    work()
    calls, started = 0, time.process_time()
    while time.process_time() - started < least:
        work()
        calls += 1
    return (time.process_time() - started) / calls
