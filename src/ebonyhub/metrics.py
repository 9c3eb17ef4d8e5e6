"""Prometheus metrics of an entry process."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

# Seconds. The lower end resolves the overhead of the entry itself.
LATENCY_BUCKETS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)


class Metrics:
    """All metrics of one process, bound to one registry."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.requests = Counter(
            "ebonyhub_requests_total",
            "Requests by service and result.",
            ["service", "result"],
            registry=registry,
        )
        self.refusals = Counter(
            "ebonyhub_refusals_total",
            "Answers not from a backend server, by error kind and outcome.",
            ["kind", "outcome"],
            registry=registry,
        )
        self.retries = Counter(
            "ebonyhub_retries_total",
            "Attempts repeated on another instance, by reason.",
            ["reason"],
            registry=registry,
        )
        self.retries_denied = Counter(
            "ebonyhub_retries_denied_total",
            "Retries that the policy or the budget did not allow, by reason.",
            ["reason"],
            registry=registry,
        )
        self.latency = Histogram(
            "ebonyhub_request_seconds",
            "Time from the request head to the head of the answer.",
            ["service"],
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )
        self.queue_length = Gauge(
            "ebonyhub_queue_length",
            "Requests waiting for a slot.",
            ["service"],
            registry=registry,
        )
        self.generation = Gauge(
            "ebonyhub_document_generation",
            "Generation in effect on this entry.",
            ["document"],
            registry=registry,
        )
        self.store_calls = Counter(
            "ebonyhub_store_calls_total",
            "Calls to the store by operation and result.",
            ["operation", "result"],
            registry=registry,
        )
