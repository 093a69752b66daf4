"""Models of the settings file; durations are in seconds, sizes in bytes."""

import os
from enum import Enum
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, Field, SecretStr, model_validator

from runhatch_server.border import StrictModel
from runhatch_server.observability import LogLevel

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Seconds = Annotated[float, Field(gt=0, le=86_400)]
HEARTBEATS_IN_SILENCE = 3
"""Heartbeats that must fit into the silence after which a peer is suspected."""


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
    """Who this node is and where it stands."""

    name: Name = Field(description="Unique name of the VM")
    failure_domain: Name = Field(description="Failure domain the VM stands in")
    region: Name = Field(default="default", description="Region of the domain")


class PlatformSettings(StrictModel):
    """Where the platform's store is."""

    store_url: str = Field(description="Store of rows and objects, base address")
    timeout_seconds: Seconds = Field(
        default=1.0, description="Longest wait for one call to the store"
    )


class ServingSettings(StrictModel):
    """How requests are taken."""

    threads: int = Field(default=160, ge=4, le=2_000, description="Request threads")
    default_deadline_seconds: Seconds = Field(
        default=60.0, description="Deadline of requests that name none"
    )
    max_deadline_seconds: Seconds = Field(
        default=900.0, description="Longest deadline a caller may ask for"
    )
    max_body_bytes: int = Field(
        default=1_048_576, ge=1_024, le=67_108_864, description="Largest request body"
    )
    max_header_bytes: int = Field(
        default=32_768, ge=1_024, le=262_144, description="Largest request header"
    )
    queue_limit: int = Field(
        default=64, ge=1, le=2_000, description="Requests that may wait for a slot"
    )
    caller_share: float = Field(
        default=0.5,
        gt=0,
        le=1,
        description="Largest share of the queue that one caller may hold",
    )
    claim_wait_seconds: Seconds = Field(
        default=2.0, description="Wait of a repeat for the first run's answer"
    )
    answer_retention_seconds: float = Field(
        default=86_400.0,
        gt=0,
        le=2_592_000,
        description="How long a claim and its answer are kept for repeats",
    )
    inline_answer_bytes: int = Field(
        default=8_192,
        ge=0,
        le=131_072,
        description="Largest kept answer that goes into its claim's row",
    )
    stall_seconds: Seconds = Field(
        default=10.0, description="Silence after which a stream is given up"
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
        description="Time the balancer needs to notice a failing readiness",
    )


class PlacementSettings(StrictModel):
    """How this node plans, when it holds a planning lease."""

    interval_seconds: Seconds = Field(default=1.0, description="Between two plans")
    lease_seconds: Seconds = Field(default=6.0, description="Lease time to live")
    refresh_seconds: Seconds = Field(
        default=10.0, description="Between two reads of placement and configuration"
    )


class PeerTls(StrictModel):
    """Keys for peer links; both sides of a link are checked."""

    certificate_file: Path
    key_file: Path
    authority_file: Path


class PeerSettings(StrictModel):
    """Links between nodes."""

    heartbeat_seconds: Seconds = Field(default=1.0, description="Between heartbeats")
    suspect_seconds: Seconds = Field(
        default=3.5, description="Silence after which a peer is suspected"
    )
    max_message_bytes: int = Field(
        default=4_194_304, ge=65_536, le=67_108_864, description="Largest message"
    )
    seeds: tuple[str, ...] = Field(
        default=(),
        description="Addresses of some peers, for a start while the store is away",
    )
    tls: PeerTls | None = Field(default=None, description="Keys; none means plain")

    @model_validator(mode="after")
    def _some_heartbeats_may_be_lost(self) -> "PeerSettings":
        least = HEARTBEATS_IN_SILENCE * self.heartbeat_seconds
        if self.suspect_seconds < least:
            raise ValueError(
                f"suspect_seconds {self.suspect_seconds:g} must be at least "
                f"{HEARTBEATS_IN_SILENCE} times heartbeat_seconds, {least:g}"
            )
        return self


class OperatorRole(Enum):
    """What a token allows; ``change`` includes ``read``."""

    READ = "read"
    CHANGE = "change"


class OperatorToken(StrictModel):
    """One operator's bearer token, given directly, in a file or the environment."""

    name: Name
    role: OperatorRole
    token: SecretStr | None = None
    token_file: Path | None = None
    token_env: str | None = None

    @model_validator(mode="after")
    def _one_source(self) -> "OperatorToken":
        given = [self.token, self.token_file, self.token_env]
        if sum(source is not None for source in given) != 1:
            raise ValueError("exactly one of token, token_file, token_env")
        return self

    def secret(self) -> str:
        """Return the token from whichever source was given.

        Raises ``OSError`` or ``KeyError`` if that source does not exist.
        """
        if self.token is not None:
            return self.token.get_secret_value()
        if self.token_file is not None:
            return self.token_file.read_text().strip()
        return os.environ[str(self.token_env)]


class OperatorSettings(StrictModel):
    """Who may ask and change; without tokens only loopback is let in."""

    tokens: tuple[OperatorToken, ...] = ()


class LogSettings(StrictModel):
    """Structured logs, one JSON object a line."""

    level: LogLevel = Field(default=LogLevel.CHANGE, description="What is logged")
    destination: str = Field(
        default="stderr", description='"stderr", "stdout" or the path of a file'
    )


class Settings(StrictModel):
    """The whole settings file of ``runhatchd``."""

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
    def _open_only_with_tokens(self) -> "Settings":
        loopback = ip_address(self.operators.host).is_loopback
        if not loopback and not self.access.tokens:
            raise ValueError(
                "operators.host beyond loopback needs at least one access.tokens entry"
            )
        return self
