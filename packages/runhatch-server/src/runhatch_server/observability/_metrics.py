"""Prometheus metrics of the daemon, in a separate registry."""

from dataclasses import dataclass

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.55, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)


@dataclass(frozen=True, slots=True, order=True)
class MetricFamily:
    """Name, type, labels and help text of a metric as it is exposed."""

    name: str
    kind: str
    labels: tuple[str, ...]
    help_text: str


class Metrics:
    """All counters, gauges and histograms of the daemon."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._families: list[MetricFamily] = []
        self.requests = self._counter("requests", "Requests received", "kind")
        self.answers = self._counter("answers", "Requests answered in full", "kind")
        self.late_answers = self._counter(
            "late_answers",
            "Requests answered in full, but past the latency goal or pause limit",
            "kind",
        )
        self.slowed_streams = self._counter(
            "slowed_streams",
            "Streams of targets that were read no faster than allowed",
            "kind",
        )
        self.refusals = self._counter("refusals", "Requests refused", "reason")
        self.closed_connections = self._counter(
            "closed_connections",
            "Connections of callers closed because a head did not arrive, an answer "
            "was not read, or to accept another one",
            "reason",
        )
        self.request_memory = self._gauge(
            "request_memory_bytes",
            "Memory that open requests and unread answers hold",
        )
        self.request_memory_limit = self._gauge(
            "request_memory_limit_bytes",
            "Most memory that open requests may hold",
        )
        self.prompt_permits = self._counter(
            "prompt_permits",
            "Permits to send a prompt to a target, by state",
            "state",
        )
        self.retries = self._counter("retries", "Attempts that were retried", "reason")
        self.attempts = self._counter("attempts", "Attempts sent to targets", "outcome")
        self.forwarded_requests = self._counter(
            "forwarded_requests",
            "Attempts to have a request served by a peer",
            "outcome",
        )
        self.forwarded_bytes = self._counter(
            "forwarded_bytes",
            "Bytes of the bodies of requests forwarded to and received from peers",
            "direction",
        )
        self.streams = self._counter("streams", "Streams by how they ended", "end")
        self.unkept_streams = self._counter(
            "unkept_streams",
            "Streams that can't be continued elsewhere, as their events found no room",
        )
        self.claims = self._counter("claims", "Claims by outcome", "outcome")
        self.orders = self._counter(
            "orders", "Orders sent to engines", "kind", "outcome"
        )
        self.cache_events = self._counter(
            "cache_events", "Cache events read from engines", "outcome"
        )
        self.leases = self._counter("leases", "Lease changes", "change")
        self.stale_order_updates = self._counter(
            "orderers_behind",
            "Order updates received with a lower fence than one already known",
        )
        self.peer_messages = self._counter(
            "peer_messages", "Peer messages", "direction"
        )
        self.peer_links = self._counter("peer_links", "Links opened to peers", "kind")
        self.peer_bytes = self._counter(
            "peer_bytes", "Bytes of peer messages", "direction"
        )
        self.peer_facts = self._counter(
            "peer_facts", "Parts of peer messages", "kind", "direction"
        )
        self.peer_fact_bytes = self._counter(
            "peer_fact_bytes", "Bytes of parts of peer messages", "kind", "direction"
        )
        self.workspace_requests = self._counter(
            "workspace_requests",
            "Requests of workspaces with a usage cap",
            "workspace",
            "outcome",
        )
        self.workspace_usage = self._counter(
            "workspace_usage",
            "Usage granted to workspaces and returned, in the unit of their cap",
            "workspace",
            "change",
        )
        self.table_sources = self._counter(
            "table_sources",
            "Times a watched table switched to another source",
            "table",
            "source",
        )
        self.table_age = self._gauge(
            "table_age_seconds",
            "Time since a watched table was read or received from its reader",
            "table",
        )
        self.store_answer_age = self._gauge(
            "store_answer_age_seconds",
            "Time since the store last answered a call of this node for a table",
            "table",
        )
        self.store_reads = self._counter(
            "store_reads", "Reads of a watched table by outcome", "table", "outcome"
        )
        self.store_read_bytes = self._counter(
            "store_read_bytes", "Bytes of the rows read of a watched table", "table"
        )
        self.key_reloads = self._counter(
            "key_reloads", "Reloads of changed key files of peer links", "outcome"
        )
        self.ended_targets = self._counter(
            "ended_targets", "Targets that ended with requests in progress"
        )
        self.permit_requests = self._counter(
            "permits", "Permits requested for targets with a rate limit", "outcome"
        )
        self.limited_targets = self._gauge(
            "limited_targets", "Targets that have reported a rate limit"
        )
        self.traits_held = self._gauge(
            "prompt_traits_held",
            "Traits of prompts not sent because targets ended when answers began",
        )
        self.trait_trials = self._counter(
            "prompt_trait_trials", "Requests sent to try a held trait of prompts"
        )
        self.requests_held_back = self._gauge(
            "requests_held_back",
            "Requests not sent because targets ended while running them",
        )
        self.suspicions = self._counter(
            "suspicions", "Suspicions that a peer has failed"
        )
        self.requests_in_progress = self._gauge(
            "requests_in_progress", "Requests in progress"
        )
        self.requests_queued = self._gauge(
            "requests_queued", "Requests waiting for a slot"
        )
        self.revision = self._gauge(
            "configuration_revision", "Configuration revision in force"
        )
        self.planning_leases = self._gauge("planning_leases", "Planning leases held")
        self.targets = self._gauge("targets", "Targets that accept new requests")
        self.target_work_time = self._gauge(
            "target_work_time_factor",
            "How long work lastingly takes at a target that states it, 1 as usual",
            "target",
        )
        self.target_prompt_bound = self._gauge(
            "target_prompt_bound",
            "Most prompts that this node permits at a time at a target that started or "
            "recovered a short time ago",
            "target",
        )
        self.requests_held = self._gauge(
            "requests_held", "Requests waiting for a model"
        )
        self.replicas = self._gauge("replicas", "Model replicas, over all targets")
        self.longest_miss_seconds = self._gauge(
            "longest_miss_seconds",
            "Longest time for which requests have missed a model for which no load was "
            "started, on the node that orders",
            "service",
        )
        self.orders_lease_held = self._gauge(
            "orders_lease_held",
            "1 if this node holds the lease for orders to targets, else 0",
        )
        self.target_first_byte_seconds = self._histogram(
            "target_first_byte_seconds",
            "Time from sending a request to the first byte from its target",
            "kind",
        )
        self.first_byte_seconds = self._histogram(
            "first_byte_seconds",
            "Time from receipt to the first byte of the answer",
            "kind",
        )
        self.longest_pause_seconds = self._histogram(
            "longest_pause_seconds",
            "Longest time between two events of a stream",
            "kind",
        )
        self.wait_seconds = self._histogram(
            "wait_seconds",
            "Time a request waited on its node for a target",
            "kind",
        )
        self.order_seconds = self._histogram(
            "order_seconds", "Time for a target to answer an order", "kind"
        )
        self.order_round_seconds = self._histogram(
            "order_round_seconds", "Duration of one round of orders to targets"
        )

    @property
    def families(self) -> tuple[MetricFamily, ...]:
        """All metrics, sorted by name."""
        return tuple(sorted(self._families))

    def render_exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def counter_value(self, counter: Counter, *labels: str) -> float:
        """Return the current value of ``counter`` for ``labels``."""
        for metric in counter.labels(*labels).collect():
            for sample in metric.samples:
                if sample.name.endswith("_total"):
                    return float(sample.value)
        return 0.0

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        family = MetricFamily(f"runhatch_{name}_total", "counter", labels, text)
        self._families.append(family)
        return Counter(f"runhatch_{name}", text, labels, registry=self._registry)

    def _histogram(self, name: str, text: str, *labels: str) -> Histogram:
        family = MetricFamily(f"runhatch_{name}", "histogram", labels, text)
        self._families.append(family)
        return Histogram(
            f"runhatch_{name}",
            text,
            labels,
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        self._families.append(MetricFamily(f"runhatch_{name}", "gauge", labels, text))
        return Gauge(f"runhatch_{name}", text, labels, registry=self._registry)
