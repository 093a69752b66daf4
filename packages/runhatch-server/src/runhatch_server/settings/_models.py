"""Models of the settings file, with durations in seconds and sizes in bytes."""

import os
from enum import Enum
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, Field, SecretStr, model_validator

from runhatch_server.observability import LogLevel
from runhatch_server.validation import StrictModel

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Seconds = Annotated[float, Field(gt=0, le=86_400)]
MIN_HEARTBEATS_PER_SUSPICION = 3
"""Minimum ratio of ``suspect_seconds`` to ``heartbeat_seconds``.

With a lower ratio, a few lost heartbeats would get a live peer suspected.
"""
MIN_REQUEST_MEMORY_BYTES = 50_331_648
"""Three times the largest configuration that operators may send."""
MIN_LARGE_REQUESTS = 3
"""Minimum ratio of ``request_memory_bytes`` to the largest body and the longest answer.

A request is admitted only while as much as it will hold stays free.
"""


def _check_address(value: str) -> str:
    try:
        ip_address(value)
    except ValueError:
        raise ValueError("an IP number such as 127.0.0.1") from None
    return value


Address = Annotated[str, AfterValidator(_check_address)]


class Listener(StrictModel):
    """An address to listen on; port 0 lets the system choose."""

    host: Address
    port: int = Field(ge=0, le=65_535)


class NodeSettings(StrictModel):
    """Name and location of this node."""

    name: Name = Field(description="Unique name of the VM")
    failure_domain: Name = Field(description="Failure domain of the VM")
    region: Name = Field(default="default", description="Region of the failure domain")


class PlatformSettings(StrictModel):
    """Access to the store of the platform."""

    store_url: str = Field(description="Base URL of the store of rows and objects")
    timeout_seconds: Seconds = Field(
        default=1.0, description="Timeout of one call to the store"
    )


class ServingSettings(StrictModel):
    """Limits and timeouts of requests."""

    threads: int = Field(default=160, ge=4, le=2_000, description="Request threads")
    default_deadline_seconds: Seconds = Field(
        default=60.0, description="Deadline of requests without one"
    )
    max_deadline_seconds: Seconds = Field(
        default=900.0, description="Longest deadline a caller may request"
    )
    max_body_bytes: int = Field(
        default=1_048_576, ge=1_024, le=67_108_864, description="Largest request body"
    )
    max_header_bytes: int = Field(
        default=32_768, ge=1_024, le=262_144, description="Largest request header"
    )
    body_timeout_seconds: Seconds = Field(
        default=60.0, description="Time without progress after which a body is given up"
    )
    min_body_progress_bytes: int = Field(
        default=1_024, ge=1, description="Part of a body that counts as progress"
    )
    max_framing_per_byte: int = Field(
        default=8,
        ge=6,
        description="Largest framing of a body in chunks, for a byte of max_body_bytes",
    )
    max_chunk_line_bytes: int = Field(
        default=4_096, ge=64, description="Largest line before a chunk"
    )
    request_memory_bytes: int = Field(
        default=268_435_456,
        ge=MIN_REQUEST_MEMORY_BYTES,
        description="Most memory that open requests hold, on all listeners",
    )
    max_answer_bytes: int = Field(
        default=16_777_216,
        ge=1_024,
        le=67_108_864,
        description="Longest answer of a target",
    )
    max_stream_rate: int = Field(
        default=1_048_576,
        ge=1_024,
        description="Bytes a second of a stream, once it has sent as much in a second",
    )
    max_unsent_bytes: int = Field(
        default=262_144,
        ge=65_536,
        description="Part of a stream that waits for its caller until the target waits",
    )
    queue_limit: int = Field(
        default=64, ge=1, le=2_000, description="Requests that may wait for a slot"
    )
    caller_share: float = Field(
        default=0.5,
        gt=0,
        le=1,
        description="Largest share of the queue that one caller may occupy",
    )
    claim_wait_seconds: Seconds = Field(
        default=2.0,
        description="Wait of a repeated request for the answer of the first",
    )
    answer_retention_seconds: float = Field(
        default=86_400.0,
        gt=0,
        le=2_592_000,
        description="Time a claim and its answer are stored for repeated requests",
    )
    inline_answer_bytes: int = Field(
        default=8_192,
        ge=0,
        le=131_072,
        description="Largest answer stored in the row of its claim",
    )
    stall_seconds: Seconds = Field(
        default=10.0, description="Time without data after which a stream is ended"
    )
    cache_event_targets: int = Field(
        default=4,
        ge=0,
        le=64,
        description="Engines whose cache events are read each second",
    )
    drain_lag_seconds: float = Field(
        default=2.0,
        ge=0,
        le=600,
        description="Time the load balancer needs to react to a failed readiness check",
    )

    @model_validator(mode="after")
    def _check_request_memory(self) -> "ServingSettings":
        largest = max(self.max_body_bytes, self.max_answer_bytes)
        minimum = MIN_LARGE_REQUESTS * largest
        if self.request_memory_bytes < minimum:
            raise ValueError(
                f"request_memory_bytes {self.request_memory_bytes} must be at least "
                f"{MIN_LARGE_REQUESTS} times max_body_bytes and max_answer_bytes, "
                f"{minimum}"
            )
        return self


class PlacementSettings(StrictModel):
    """Planning intervals, used while this node holds a planning lease."""

    interval_seconds: Seconds = Field(
        default=1.0, description="Interval between two plans"
    )
    lease_seconds: Seconds = Field(default=6.0, description="Time to live of a lease")
    refresh_seconds: Seconds = Field(
        default=10.0,
        description="Interval between two reads of placement and configuration",
    )


class PeerTls(StrictModel):
    """TLS keys of peer links; both sides of a link authenticate."""

    certificate_file: Path
    key_file: Path
    authority_file: Path


class PeerSettings(StrictModel):
    """Links between nodes."""

    heartbeat_seconds: Seconds = Field(
        default=1.0, description="Interval between heartbeats"
    )
    suspect_seconds: Seconds = Field(
        default=3.5,
        description="Time without messages after which a peer is suspected",
    )
    max_message_bytes: int = Field(
        default=4_194_304, ge=65_536, le=67_108_864, description="Largest peer message"
    )
    seeds: tuple[str, ...] = Field(
        default=(),
        description="Addresses of some peers, to start while the store is unavailable",
    )
    tls: PeerTls | None = Field(
        default=None, description="TLS keys; without them links are not encrypted"
    )

    @model_validator(mode="after")
    def _check_suspect_seconds(self) -> "PeerSettings":
        minimum = MIN_HEARTBEATS_PER_SUSPICION * self.heartbeat_seconds
        if self.suspect_seconds < minimum:
            raise ValueError(
                f"suspect_seconds {self.suspect_seconds:g} must be at least "
                f"{MIN_HEARTBEATS_PER_SUSPICION} times heartbeat_seconds, {minimum:g}"
            )
        return self


class OperatorRole(Enum):
    """Permissions of a token; ``change`` includes ``read``."""

    READ = "read"
    CHANGE = "change"


class OperatorToken(StrictModel):
    """Bearer token of an operator: a literal, a file or an environment variable."""

    name: Name
    role: OperatorRole
    token: SecretStr | None = None
    token_file: Path | None = None
    token_env: str | None = None

    @model_validator(mode="after")
    def _check_one_source(self) -> "OperatorToken":
        sources = [self.token, self.token_file, self.token_env]
        if sum(source is not None for source in sources) != 1:
            raise ValueError("exactly one of token, token_file, token_env")
        return self

    def read_secret(self) -> str:
        """Return the token, read from its configured source.

        Raises ``OSError`` if the file cannot be read and ``KeyError`` if the variable
        is not set.
        """
        if self.token is not None:
            return self.token.get_secret_value()
        if self.token_file is not None:
            return self.token_file.read_text().strip()
        return os.environ[str(self.token_env)]


class OperatorSettings(StrictModel):
    """Access of operators; without tokens the listener must be on loopback."""

    tokens: tuple[OperatorToken, ...] = ()


class LogSettings(StrictModel):
    """Structured logs with one JSON object per line."""

    level: LogLevel = Field(default=LogLevel.CHANGE, description="Verbosity of the log")
    destination: str = Field(
        default="stderr", description='"stderr", "stdout" or the path of a file'
    )


class Settings(StrictModel):
    """The settings file of ``runhatchd``."""

    node: NodeSettings
    callers: Listener
    operators: Listener
    peers: Listener
    platform: PlatformSettings
    serving: ServingSettings = ServingSettings()
    placement: PlacementSettings = PlacementSettings()
    peering: PeerSettings = PeerSettings()
    access: OperatorSettings = OperatorSettings()
    logs: LogSettings = LogSettings()

    @model_validator(mode="after")
    def _check_operators_access(self) -> "Settings":
        loopback = ip_address(self.operators.host).is_loopback
        if not loopback and not self.access.tokens:
            raise ValueError(
                "operators.host beyond loopback needs at least one access.tokens entry"
            )
        return self
