"""Prometheus metrics of an entry process."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

# Upper bounds in seconds; the lowest resolve the overhead of the entry process itself.
LATENCY_BUCKETS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0)


class Metrics:
    """All metrics of one process, in one registry."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.requests = self._counter(
            "ebonyhub_requests_total",
            "Requests by service and result.",
            "service",
            "result",
        )
        self.refusals = self._counter(
            "ebonyhub_refusals_total",
            "Answers not from a backend server, by error kind and outcome.",
            "kind",
            "outcome",
        )
        self.retries = self._counter(
            "ebonyhub_retries_total",
            "Attempts repeated on another instance, by reason.",
            "reason",
        )
        self.retries_denied = self._counter(
            "ebonyhub_retries_denied_total",
            "Retries that the policy or the budget did not allow, by reason.",
            "reason",
        )
        self.latency = self._histogram(
            "ebonyhub_request_seconds",
            "Time from the request head to the head of the answer.",
            "service",
        )
        self.queue_length = self._gauge(
            "ebonyhub_queue_length", "Requests waiting for a slot.", "service"
        )
        self.generation = self._gauge(
            "ebonyhub_document_generation",
            "Generation in effect on this entry.",
            "document",
        )
        self.store_calls = self._counter(
            "ebonyhub_store_calls_total",
            "Calls to the store by operation and result.",
            "operation",
            "result",
        )
        self.cloud_calls = self._counter(
            "ebonyhub_cloud_calls_total",
            "Calls to the cloud and the advisor by operation and result.",
            "operation",
            "result",
        )
        self.worker_orders = self._counter(
            "ebonyhub_worker_orders_total", "Orders sent to workers.", "order"
        )
        self.order_failures = self._counter(
            "ebonyhub_order_failures_total",
            "Orders to workers that did not succeed, by reason.",
            "order",
            "reason",
        )
        self.workers_lost = self._counter(
            "ebonyhub_workers_lost_total",
            "Workers lost or restarted with runs on them, by cause.",
            "cause",
        )
        self.runs_lost = self._counter(
            "ebonyhub_runs_lost_total",
            "Runs lost with their worker, by cause.",
            "cause",
        )
        self.jobs_given_up = self._counter(
            "ebonyhub_jobs_given_up_total",
            "Jobs failed since a task of theirs crashes its workers, by queue.",
            "queue",
        )
        self.tasks_delayed = self._counter(
            "ebonyhub_tasks_delayed_total",
            "Starts of long-running tasks put off since they crash workers, by queue.",
            "queue",
        )
        self.ends_held = self._counter(
            "ebonyhub_ends_held_total",
            "Run ends that waited over 2 s for late starts, or no longer, by result.",
            "result",
        )
        self.inputs_rejected = self._counter(
            "ebonyhub_inputs_rejected_total",
            "Inputs from other programs that could not be used, by source.",
            "source",
        )
        self.commit_seconds = self._histogram(
            "ebonyhub_commit_seconds", "Time of a commit of progress records."
        )
        self.start_seconds = self._histogram(
            "ebonyhub_start_seconds",
            "Time from the decision to start a task to its worker's answer.",
        )
        self.call_seconds = self._histogram(
            "ebonyhub_call_seconds",
            "Time to answer a caller, by HTTP method.",
            "method",
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(name, text, labels, registry=self.registry)

    def _histogram(self, name: str, text: str, *labels: str) -> Histogram:
        return Histogram(
            name, text, labels, buckets=LATENCY_BUCKETS, registry=self.registry
        )
