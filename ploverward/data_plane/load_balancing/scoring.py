"""The score of a replica for one request (design 6).

A score estimates the milliseconds to the first event, and what the choice costs other requests. The replica with the
lowest score is chosen. A score is the sum of these terms, all in milliseconds:

* prefill: tokens to prefill, of this request and of those that wait there, over the measured prefill rate
* contention: the same time of this request alone, times the share of the batch slots in use, times
  `CONTENTION_WEIGHT`: a long prefill slows all concurrent requests
* network: the round trip, twice where a new connection is needed; times `NETWORK_SHARE` where a prompt is to be
  prefilled
* load: `PREFILL_LOAD_MS` (`PLAIN_LOAD_MS` without prefill) times the share of the batch slots in use
* lateness: `LATENESS_WEIGHT` for each millisecond of network and prefill beyond `ON_TIME_MS` a second of latency
  target
* overload: where all batch slots are in use: `OVERLOAD_MS`, and `QUEUE_MS` for each slot's worth of further requests
* region: `REGION_MS` for each second of the price of a crossing, for a replica of another region
* connection: `CONNECTION_MS` for each second of the price of a crossing, where no idle connection is there
* suspicion: `SUSPECTED_MS` where another proxy suspects it, `FAILING_MS` where the relay's judge lists it as failing
* failures: `FAILURE_MS` for each second of the price of a crossing, for each recent failure that this proxy saw
* slow start: `WARMING_UP_MS` while it warms up, `RATE_EXCEEDED_MS` where its rate is used up

The price of a crossing is a fiftieth of `contactMs`. `replica_chooser` adds the terms for what other
replicas have cached and for an adapter that is to be loaded.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from ploverward.data_plane.load_balancing import network_latency
    from ploverward.data_plane.load_balancing import replica as replicas

FIRST_TOKENS_PER_MS = 20.0  # of prefill, until an answer has shown how fast replicas are
RATE_KEPT_SHARE = 0.99  # of the known rate, at each answer: it is the maximum of the quicker ones
MIN_MEASURED_TOKENS = 500  # with fewer tokens the network dominates the measured time
CROSSINGS_IN_CONTACT = 50  # contactMs over this is the price of a crossing between regions
CONTENTION_WEIGHT = 4.0
NETWORK_SHARE = 0.25  # within the latency target network time harms little, while a repeated prefill costs twice
PREFILL_LOAD_MS = 120.0
PLAIN_LOAD_MS = 90.0
ON_TIME_MS = 400.0  # for each second of the latency target
LATENESS_WEIGHT = 2.0
QUEUE_MS = 400.0
OVERLOAD_MS = 200.0
REGION_MS = 200.0  # for each second of the price of a crossing, as the next two
CONNECTION_MS = 100.0
FAILURE_MS = 2000.0
SUSPECTED_MS = 1500.0
FAILING_MS = 1500.0
WARMING_UP_MS = 40.0
RATE_EXCEEDED_MS = 300.0

Load = tuple[
    int, int, bool, bool
]  # (running, tokens to prefill, suspected, failing); no class: made for each candidate


class PrefillRates:
    """Measured prefill rates.

    Attributes:
        by_service: Tokens in a millisecond.
    """

    def __init__(self) -> None:
        self.by_service: dict[str, float] = {}

    def of(self, service: str) -> float:
        """Returns the rate of a service, in tokens a millisecond."""
        return self.by_service.get(service, FIRST_TOKENS_PER_MS)

    def record(self, *, service: str, tokens: int, took_s: float) -> None:
        """Records the seconds to a first event from when it was possible: a decaying maximum."""
        if took_s > 0 and tokens >= MIN_MEASURED_TOKENS:
            self.by_service[service] = max(tokens / (took_s * 1000.0), self.of(service) * RATE_KEPT_SHARE)


class Scorer:
    """Scores candidates.

    Args:
        region: Of this proxy.
        crossing_s: The price of a crossing between regions, in seconds.
        latencies: Of the network.
        now: The loop's clock, in seconds.
    """

    def __init__(
        self,
        *,
        region: str,
        crossing_s: float,
        latencies: network_latency.NetworkLatencies,
        now: Callable[[], float],
    ) -> None:
        self._region = region
        self._crossing_s = crossing_s
        self._latencies = latencies
        self._now = now

    def score(
        self,
        replica: replicas.Replica,
        load: Load,
        *,
        rate: float | None,
        prefill_tokens: int,
        is_warming_up: bool,
        is_within_rate: bool,
        latency_target_s: float,
    ) -> float:
        """Returns the score in milliseconds.

        Args:
            replica: The candidate.
            load: Of all proxies, there.
            rate: Tokens prefilled in a millisecond; None for a service without prefill.
            prefill_tokens: Of this request, there.
            is_warming_up: Whether it is in slow start.
            is_within_rate: Whether its slow start allows one more request now.
            latency_target_s: Of the request, in seconds.
        """
        running, pending_tokens, is_suspected, is_failing = load
        batch_slots = max(1, replica.batch_slots)
        is_near = replica.region == self._region
        network_s = self._latencies.estimate_s(replica)
        if network_s is None:
            network_s = 0.0 if is_near else self._crossing_s
        network_ms = network_s * 1000.0 * (1 if replica.idle else 2)
        load_share = running / batch_slots
        if rate is not None:
            prefill_ms = (prefill_tokens + pending_tokens) / rate
            score = (
                prefill_ms
                + prefill_tokens / rate * running / batch_slots * CONTENTION_WEIGHT
                + network_ms * NETWORK_SHARE
                + load_share * PREFILL_LOAD_MS
                + max(0.0, network_ms + prefill_ms - latency_target_s * ON_TIME_MS) * LATENESS_WEIGHT
            )
        else:
            score = network_ms + load_share * PLAIN_LOAD_MS
        if running >= batch_slots:
            score += QUEUE_MS * (running - batch_slots + 1) / batch_slots + OVERLOAD_MS
        if not is_near:
            score += self._crossing_s * REGION_MS
        if not replica.idle:
            score += self._crossing_s * CONNECTION_MS
        if is_suspected:
            score += SUSPECTED_MS
        if is_failing:
            score += FAILING_MS
        score += replica.recent_failures(now=self._now()) * self._crossing_s * FAILURE_MS
        if is_warming_up:
            score += WARMING_UP_MS
        if not is_within_rate:
            score += RATE_EXCEEDED_MS
        return score
