"""Applies configuration documents and reads their revisions."""

import threading
from dataclasses import dataclass

from runhatch_coordination import (
    ORIGIN,
    Clock,
    Missing,
    Revision,
    RevisionEntry,
    RevisionFeed,
    RevisionLog,
    StaleBaseRevision,
    StoreVersion,
    Unavailable,
    Unknown,
)
from runhatch_server._errors import DeploymentError
from runhatch_server.configuration._deployment import Deployment
from runhatch_server.configuration._difference import format_difference
from runhatch_server.configuration._parse import parse_deployment


@dataclass(frozen=True, slots=True)
class Applied:
    """The document is in force on this node as revision ``number``."""

    number: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """The document is invalid; nothing was changed."""

    faults: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Overruled:
    """Another revision was published since the base; nothing was changed."""

    head: int
    difference: str


ApplyOutcome = Applied | Invalid | Overruled | Unavailable | Unknown


class ConfigurationService:
    """The configuration of a node: the log in the store and the local feed."""

    def __init__(self, log: RevisionLog, feed: RevisionFeed, clock: Clock) -> None:
        self._log = log
        self._feed = feed
        self._clock = clock
        self._lock = threading.Lock()
        self._parsed: tuple[StoreVersion, Deployment] = (ORIGIN, Deployment())

    @property
    def feed(self) -> RevisionFeed:
        """The feed with the revision in force on this node."""
        return self._feed

    @property
    def log(self) -> RevisionLog:
        """The log of all revisions in the store."""
        return self._log

    def deployment(self) -> Deployment:
        """Return the deployment in force, an empty one before the first revision."""
        current = self._feed.current
        if current is None:
            return Deployment()
        with self._lock:
            if self._parsed[0] != current.entry.position:
                parsed = parse_deployment(current.body)
                self._parsed = (current.entry.position, parsed)
            return self._parsed[1]

    def publish_document(
        self, body: bytes, base_number: int, author: str, note: str
    ) -> ApplyOutcome:
        """Publish ``body`` as the revision after ``base_number`` if it is valid."""
        try:
            parse_deployment(body)
        except DeploymentError as error:
            return Invalid(error.faults)
        at = self._clock.now().isoformat(timespec="seconds")
        outcome = self._log.publish(base_number, body, author, at, note)
        if isinstance(outcome, Revision):
            self._feed.offer(outcome)
            return Applied(outcome.entry.number)
        if isinstance(outcome, StaleBaseRevision):
            return self._build_overruled(outcome.head, body)
        return outcome

    def read_newest(self) -> bool:
        """Apply the newest revision of the store; return whether it was newer."""
        newest = self._log.read_newest_entry()
        if not isinstance(newest, RevisionEntry):
            return False
        if newest.position <= self._feed.position:
            return False
        revision = self._log.read_body(newest)
        return isinstance(revision, Revision) and self._feed.offer(revision)

    def read_revision(self, number: int) -> Revision | Missing | Unavailable:
        """Return revision ``number``, without a read of the store if it is current.

        The number 0 means the current revision.
        """
        current = self._feed.current
        if current is not None and number in (0, current.entry.number):
            return current
        return self._log.read_revision(number)

    def _build_overruled(self, head: int, body: bytes) -> Overruled:
        revision = self._log.read_revision(head)
        if not isinstance(revision, Revision):
            return Overruled(head, "(the store did not return the newer revision)")
        self._feed.offer(revision)
        difference_text = format_difference(
            revision.body, body, (f"revision {head}", "yours")
        )
        return Overruled(head, difference_text)
