"""Scores a replica for one request (design 6).

A score estimates the milliseconds to the first event, and the cost of the choice to other requests. The replica with
the lowest score is chosen. A score is the sum of these terms, all in milliseconds:

* prefill: the tokens to prefill, of this request and of those that wait there, over the measured prefill rate
* contention: the prefill time of this request alone, times the share of the batch slots in use, times
  `CONTENTION_WEIGHT`: a long prefill slows all concurrent requests
* network: the round trip, doubled if a new connection is needed; times `NETWORK_SHARE` if the service has a prefill
* load: `PREFILL_LOAD_MS` (`PLAIN_LOAD_MS` without prefill) times the share of the batch slots in use
* lateness, if the service has a prefill: `LATENESS_WEIGHT` for each millisecond by which network and prefill exceed
  `ON_TIME_MS` per second of the latency target
* overload: if all batch slots are in use, `OVERLOAD_MS`, and `QUEUE_MS` times the number of requests that would
  queue, this one included, over the number of batch slots
* region: `REGION_MS` per second of the crossing price, for a replica of another region
* connection: `CONNECTION_MS` per second of the crossing price, if there is no idle connection to the replica
* suspicion: `SUSPECTED_MS` if another proxy suspects the replica, `FAILING_MS` if the relay lists it as failing
* failures: `FAILURE_MS` per second of the crossing price, for each recent failure that this proxy saw
* slow start: `WARMING_UP_MS` while the replica warms up, `RATE_EXCEEDED_MS` if this proxy's share of the slow-start
  rate is used up (`replica_chooser` skips a replica that is then still warming up)

The crossing price is a fiftieth of `contactMs`, and is also taken for the round trip to another region before one is
measured. `replica_chooser` adds the terms for tokens that other replicas have cached and for an adapter that has to be
loaded.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from ploverward.data_plane.load_balancing import network_latency
    from ploverward.data_plane.load_balancing import replica as replicas

DEFAULT_TOKENS_PER_MS = 20.0  # the prefill rate of a service before it was measured
RATE_DECAY_FACTOR = 0.99  # times the known rate, at each measurement: the estimate is a decaying maximum
MIN_MEASURED_TOKENS = 500  # with fewer tokens the network dominates the measured time
CROSSINGS_IN_CONTACT = 50  # contactMs divided by this is the crossing price
CONTENTION_WEIGHT = 4.0
NETWORK_SHARE = 0.25  # within the latency target, network time harms little, while a repeated prefill is spent twice
PREFILL_LOAD_MS = 120.0
PLAIN_LOAD_MS = 90.0
ON_TIME_MS = 400.0  # per second of the latency target
LATENESS_WEIGHT = 2.0
QUEUE_MS = 400.0
OVERLOAD_MS = 200.0
REGION_MS = 200.0  # per second of the crossing price, as the next two
CONNECTION_MS = 100.0
FAILURE_MS = 2000.0
SUSPECTED_MS = 1500.0
FAILING_MS = 1500.0
WARMING_UP_MS = 40.0
RATE_EXCEEDED_MS = 300.0

# (running, tokens to prefill, is suspected, is failing). A plain tuple, as one is created for each candidate.
Load = tuple[int, int, bool, bool]


class PrefillRates:
    """The measured prefill rates of services.

    Attributes:
        by_service: Tokens per millisecond, by service.
    """

    def __init__(self) -> None:
        self.by_service: dict[str, float] = {}

    def rate_of(self, service: str) -> float:
        """Returns the prefill rate of a service in tokens per millisecond."""
        return self.by_service.get(service, DEFAULT_TOKENS_PER_MS)

    def record(self, *, service: str, tokens: int, took_s: float) -> None:
        """Records the seconds that a prefill took; the rate is a decaying maximum of the measured ones."""
        if took_s > 0 and tokens >= MIN_MEASURED_TOKENS:
            self.by_service[service] = max(tokens / (took_s * 1000.0), self.rate_of(service) * RATE_DECAY_FACTOR)


class Scorer:
    """Scores the candidates for a request.

    Args:
        region: The region of this proxy.
        crossing_s: The crossing price, in seconds.
        latencies: Estimates of the network latencies.
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
        """Returns the score of a replica for a request, in milliseconds.

        Args:
            replica: The candidate.
            load: The load of all proxies at the replica.
            rate: The prefill rate in tokens per millisecond; None for a service without prefill.
            prefill_tokens: The tokens of this request that the replica has to prefill.
            is_warming_up: Whether the replica is in slow start.
            is_within_rate: Whether the rate limit of its slow start allows one more request now.
            latency_target_s: The latency target of the request, in seconds.
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
