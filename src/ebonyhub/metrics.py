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
        self.cloud_calls = Counter(
            "ebonyhub_cloud_calls_total",
            "Calls to the cloud and the advisor by operation and result.",
            ["operation", "result"],
            registry=registry,
        )
        self.worker_orders = Counter(
            "ebonyhub_worker_orders_total",
            "Orders sent to workers.",
            ["order"],
            registry=registry,
        )
        self.order_failures = Counter(
            "ebonyhub_order_failures_total",
            "Orders to workers that did not succeed, by reason.",
            ["order", "reason"],
            registry=registry,
        )
        self.commit_seconds = Histogram(
            "ebonyhub_commit_seconds",
            "Time of a commit of progress records.",
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )
        self.start_seconds = Histogram(
            "ebonyhub_start_seconds",
            "Time from the decision to start a task to its worker's answer.",
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )
        self.call_seconds = Histogram(
            "ebonyhub_call_seconds",
            "Time to answer a caller, by HTTP method.",
            ["method"],
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )
