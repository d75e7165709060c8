"""Estimates of the time that calls spend at the upstreams: mean, at low load, and by request size. Pure logic.

Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Sequence

from larkweir_balancing.settings import RequestClass, Settings


class LatencyEstimates:
    """Estimates by class, of the time at the upstreams only.

    `base` is the latency at low load. The lists are changed in place and never replaced, so callers may keep them.
    """

    SAMPLE_WEIGHT = 1.0 / 16.0  # weight of a new sample in the running means
    # With a soft limit, the base latency follows a higher mean at this fraction of the speed of following a lower one.
    RISE_FACTOR = 0.1
    MIN_BASE_SAMPLES = 8  # answers after which the base latency is adjusted by rounds only
    MIN_KNOWN_SAMPLES = 16  # answers after which the base latency is more than a guess
    MIN_SIZE_SCALE = 0.1  # of the base latency: the least that is assumed for a small request
    MAX_SIZE = 4.0  # times the mean size: bounds the influence of one answer on the slope
    SLOPE_SAMPLE_WEIGHT = 1.0 / 128.0  # weight of a new sample in the slope

    def __init__(self, settings: Settings) -> None:
        self._classes: Sequence[RequestClass] = settings.classes
        count = len(settings.classes)
        self.mean = [cls.aim_ms / 3.0 for cls in settings.classes]
        self.base = list(self.mean)  # at low load
        self._base_samples = [0] * count  # answers that `learn_base` got
        self._mean_samples = [0] * count  # answers that `record` got, up to MIN_KNOWN_SAMPLES
        self._base_sizes = [0.0] * count  # the sum of the size scales of the answers that `learn_base` got
        # The fraction of the base latency that is proportional to the request's size. The initial value assumes that
        # all tiers from this one on take equally long, and that the size affects the work of this tier only.
        self._slope = 1.0 / max(1, settings.tiers - settings.tier)
        self._size_variance, self._size_time_covariance = 1.0, self._slope

    def configure(self, settings: Settings) -> list[int]:
        """Take new classes and return the indexes of those that are new. What was learned of the others is kept.

        Classes keep their index; new ones may be added at the end, or reuse the index of a class that was removed.
        """
        added_count = len(settings.classes) - len(self._classes)
        for values in (self.mean, self.base, self._base_sizes):
            values.extend([0.0] * added_count)
        for samples in (self._base_samples, self._mean_samples):
            samples.extend([0] * added_count)
        new: list[int] = []
        for at, after in enumerate(settings.classes):
            before = self._classes[at] if at < len(self._classes) else None
            if before is None or before.name != after.name:
                self.mean[at] = self.base[at] = after.aim_ms / 3.0
                self._base_samples[at] = self._mean_samples[at] = 0
                self._base_sizes[at] = 0.0
                new.append(at)
            elif before.aim_ms != after.aim_ms:  # a guess from the old target could refuse everything
                self.mean[at] = min(self.mean[at], after.aim_ms / 3.0)
                self.base[at] = min(self.base[at], after.aim_ms / 3.0)
        self._classes = settings.classes
        return new

    def min_latency_ms(self, class_index: int) -> float:
        """The least time that a request of mean size takes; 0 while there is only a guess."""
        known = self._mean_samples[class_index] >= self.MIN_KNOWN_SAMPLES
        return min(self.base[class_index], self.mean[class_index]) if known else 0.0

    def size_scale(self, size: float) -> float:
        """The base latency of a request of this size, as a multiple of that of a request of mean size."""
        return max(self.MIN_SIZE_SCALE, 1.0 + self._slope * (size - 1.0))

    def record(self, class_index: int, spent_ms: float, size: float) -> None:
        """A call was served after `spent_ms` at the upstream. `size`: its work relative to the mean of its class."""
        if size != 1.0:  # the size is unknown or the mean: nothing to learn about the slope
            self._learn_slope(class_index, spent_ms, size)
        self.mean[class_index] += self.SAMPLE_WEIGHT * (spent_ms - self.mean[class_index])
        self._mean_samples[class_index] += self._mean_samples[class_index] < self.MIN_KNOWN_SAMPLES

    def _learn_slope(self, at: int, spent_ms: float, size: float) -> None:
        """Learn which fraction of the time depends on size: a regression over all classes, each around its own mean."""
        size_deviation = min(self.MAX_SIZE, size) - 1.0
        time_deviation = (spent_ms - self.mean[at]) / max(0.01, self.base[at])
        self._size_variance += self.SLOPE_SAMPLE_WEIGHT * (
            size_deviation * size_deviation - self._size_variance
        )
        self._size_time_covariance += self.SLOPE_SAMPLE_WEIGHT * (
            size_deviation * min(self.MAX_SIZE, time_deviation) - self._size_time_covariance
        )
        if self._size_variance > 0.0:
            self._slope = min(1.0, max(0.0, self._size_time_covariance / self._size_variance))

    def follow_mean(self, class_index: int) -> None:
        """Move the base latency towards the mean: for a soft limit, where calls hardly overlap."""
        deviation = self.mean[class_index] - self.base[class_index]
        self.base[class_index] += (
            self.SAMPLE_WEIGHT * deviation * (1.0 if deviation < 0.0 else self.RISE_FACTOR)
        )

    def is_base_known(self, class_index: int) -> bool:
        """Whether `learn_base` has had enough answers, and is no longer to be called."""
        return self._base_samples[class_index] >= self.MIN_BASE_SAMPLES

    def learn_base(self, class_index: int, unloaded_ms: float, scale: float) -> None:
        """Learn from one of the first answers of a class.

        `unloaded_ms`: its time without what queues added. `scale`: the `size_scale` of its size.
        """
        self._base_samples[class_index] += 1
        self._base_sizes[class_index] += scale
        own = max(0.01, unloaded_ms)
        before = self.base[class_index]
        self.base[class_index] = max(0.01, before + (own - before * scale) / self._base_sizes[class_index])

    def rescale(self, factor: float) -> None:
        """Multiply the base latency of all classes by `factor`."""
        self.base[:] = [
            max(0.01, min(base * factor, cls.aim_ms))
            for base, cls in zip(self.base, self._classes, strict=True)
        ]
