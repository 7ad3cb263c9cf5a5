"""How long answers take: streaming quantiles by route; does no I/O."""

import collections
import math

# Buckets grow by this factor, so that a quantile is at most this much too high.
BUCKET_RATIO = 1.1
LOWEST_SECONDS = 0.001
BUCKET_COUNT = 128
# Answers after which the weight of all earlier ones is halved.
HALVED_AFTER_ANSWERS = 400
# With fewer answers, a high quantile is no more than the longest of them.
MIN_ANSWERS = 20
# Routes whose answers are remembered, warm and not warm ones apart. Those that
# answered least recently are forgotten.
MAX_KINDS = 2048


class Distribution:
    """Answer times of one kind, in buckets; recent ones weigh more.

    Attributes:
        weights: Weight of the answers in each bucket.
        total: Sum of the weights.
        recorded: Answers since the weights were last halved.
    """

    __slots__ = ("weights", "total", "recorded")

    def __init__(self) -> None:
        self.weights = [0.0] * BUCKET_COUNT
        self.total = 0.0
        self.recorded = 0

    def record(self, seconds: float) -> None:
        """Counts one answer."""
        if self.recorded >= HALVED_AFTER_ANSWERS:
            self.weights = [weight / 2 for weight in self.weights]
            self.total /= 2
            self.recorded = 0
        self.weights[_bucket(seconds)] += 1
        self.total += 1
        self.recorded += 1

    def quantile(self, ratio: float) -> float | None:
        """Returns the time that a part `ratio` of the answers stay below.

        Returns:
            The time in seconds; None if too few answers are known.
        """
        if self.total < MIN_ANSWERS:
            return None
        left = ratio * self.total
        for bucket, weight in enumerate(self.weights):
            left -= weight
            if left <= 0:
                return _upper_seconds(bucket)
        return _upper_seconds(BUCKET_COUNT - 1)

    def left_seconds(self, waited_seconds: float) -> float:
        """Returns how much longer an answer takes that is not there yet.

        This is the mean of the answers that took longer than
        `waited_seconds`. If there are none, it is assumed to take as long
        again.
        """
        later = range(_bucket(waited_seconds) + 1, BUCKET_COUNT)
        total = sum(self.weights[bucket] for bucket in later)
        if total <= 0:
            return waited_seconds
        mean = sum(self.weights[b] * _upper_seconds(b) for b in later) / total
        return max(0.0, mean - waited_seconds)


class AnswerTimes:
    """Answer times by kind: by route, warm upstreams apart from others.

    Attributes:
        kinds: Distributions by route and whether the upstream was warm, least
            recently used first.
    """

    __slots__ = ("kinds",)

    def __init__(self) -> None:
        self.kinds: collections.OrderedDict[tuple[str, bool], Distribution] = (
            collections.OrderedDict()
        )

    def find(self, route: str, is_warm: bool) -> Distribution:
        """Returns the distribution of a kind."""
        kind = (route, is_warm)
        if kind not in self.kinds:
            self.kinds[kind] = Distribution()
            if len(self.kinds) > MAX_KINDS:
                self.kinds.popitem(last=False)
        self.kinds.move_to_end(kind)
        return self.kinds[kind]


def _bucket(seconds: float) -> int:
    if seconds <= LOWEST_SECONDS:
        return 0
    position = math.log(seconds / LOWEST_SECONDS) / math.log(BUCKET_RATIO)
    return min(BUCKET_COUNT - 1, math.ceil(position))


def _upper_seconds(bucket: int) -> float:
    return float(LOWEST_SECONDS * BUCKET_RATIO**bucket)
