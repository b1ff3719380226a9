"""The daemon's metrics for Prometheus."""

import prometheus_client

# Counters by name: help text and label names. The core counts by name, too.
COUNTERS: dict[str, tuple[str, tuple[str, ...]]] = {
    "grants": ("Places granted by this daemon as owner.", ()),
    "denials": ("Asks denied by this daemon as owner.", ("reason",)),
    "lapsed_grants": ("Grants taken back as their lease lapsed.", ()),
    "revoked_grants": ("Own grants that an owner took back.", ()),
    "lost_replica_cancels": ("Cancels given up, replica not listed.", ()),
    "orphans": ("Requests found at engines that no grant covers.", ()),
    "adopted_grants": ("Grants taken over from another owner.", ()),
    "moved_grants": ("Grants that another owner took over.", ()),
    "store_news_missed": ("Changes from a host that had read more.", ()),
    "store_news_outdated": ("Reads from before a restore of the store.", ()),
    "store_restores": ("Restores of the store from an older copy.", ()),
    "paths": ("Connections through another host.", ("result",)),
    "carried_paths": ("Paths for another host.", ("result",)),
    "cut_offs": ("Times this host reached no replica of a service.", ()),
    "leaving_replicas": ("Replicas that told this host that they leave.", ()),
    "replica_pauses": ("Pauses that replicas asked of this host.", ()),
    "replica_limits": ("News of limits that replicas name.", ()),
    "organisation_news": ("Newer organisations taken from a peer.", ()),
    "refused_by_cap": ("Requests above a cap.", ("organisation",)),
    "silent_lenders": ("Lenders of caps that were silent.", ()),
    "caps_without_lender": ("Requests whose cap no host lent.", ()),
    "replica_paces": ("Changes of pace found by this host.", ()),
    "places_given": ("Places given by this host for all hosts.", ()),
    "places_queued": ("Requests queued here for a place.", ()),
    "places_refused": ("Requests without a place in time.", ()),
    "placement_fallbacks": ("Requests placed by the own view only.", ()),
    "blocked_parts": ("Parts of prompts taken for crashing.", ()),
    "unknown_streams": ("Streams that could not be resumed.", ()),
    "late_moves": ("News of moves that a later one had undone.", ()),
    "orders": ("Orders sent to engines.", ("order",)),
    "order_failures": ("Orders without success.", ("reason",)),
    "member_changes": ("Changes in the member table.", ("state",)),
    "suspicions": ("Members this daemon was first to suspect.", ()),
    "refutations": ("Rumours of the own end contradicted.", ()),
    "isolations": ("Times most of the region was silent.", ()),
    "epoch_conflicts": ("Messages about a later run of this host.", ()),
    "foreign_member_updates": ("Updates about another region.", ()),
    "host_list_failures": ("Failed reads of the host list.", ()),
    "configuration_read_failures": ("Failed reads of the store.", ()),
    "configuration_watch_failures": ("Watches without an answer.", ()),
    "configuration_write_failures": ("Accepted, but not written yet.", ()),
    "feed_updates": ("Newer versions of feeds from peers.", ()),
    "configuration_changes": ("Configurations taken into force.", ()),
    "requests": ("Callers' requests by outcome.", ("kind", "outcome")),
    "resumed_streams": ("Decode streams resumed after a cut.", ()),
    "wrong_answers": ("Backend answers with another request's id.", ()),
    "lost_messages": ("Messages to peers that could not be sent.", ()),
    "broken_messages": ("Messages from peers that were none.", ()),
    "stopped": ("Requests given up before their answer.", ("reason",)),
    "caller_limits": ("Callers that met a limit of this host.", ("limit",)),
    "claims": ("Claims of idempotency keys by result.", ("result",)),
    "repeats_refused": ("Repeats that the budget did not allow.", ()),
    "lost_claim_records": ("Outcomes of claims that were given up.", ()),
}


class Metrics:
    """The metrics registry of one daemon."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._counters: dict[str, prometheus_client.Counter] = {}
        for name, (text, labels) in COUNTERS.items():
            self._counters[name] = prometheus_client.Counter(
                f"hemlockreel_{name}", text, labels, registry=self.registry
            )
        self.in_flight = prometheus_client.Gauge(
            "hemlockreel_in_flight",
            "Callers' requests carried now.",
            registry=self.registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            "hemlockreel_request_seconds",
            "Time from a forwarded request to the end of its answer.",
            registry=self.registry,
        )
        self.first_token = prometheus_client.Histogram(
            "hemlockreel_first_token_seconds",
            "Time from the request to its first token.",
            registry=self.registry,
        )

    def count(
        self, name: str, amount: float = 1, labels: tuple[str, ...] = ()
    ) -> None:
        """Increments the counter ``name`` of :data:`COUNTERS`."""
        counter = self._counters[name]
        if labels:
            counter = counter.labels(*labels)
        counter.inc(amount)

    def text(self) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        return prometheus_client.generate_latest(self.registry)
