"""What a call takes at the upstreams: on the mean, at low load, and by the size of its request. Pure logic.

Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Sequence

from larkweir_balancing.settings import RequestClass, Settings


class LatencyEstimates:
    """By class, of the upstreams' time alone. The lists stay the same objects; their items change."""

    SAMPLE_WEIGHT = 1.0 / 16.0  # weight of a new sample in the running means
    RISE_FACTOR = 0.1  # of a small window: the latency at low load is followed down at once and up slowly
    MIN_BASE_SAMPLES = 8  # answers, from which the latency at low load moves by rounds
    MIN_KNOWN_SAMPLES = 16  # answers, from which the latency at low load is more than a guess
    MIN_SIZE_SCALE = 0.1  # of the usual time, that the smallest request takes
    MAX_SIZE = 4.0  # of the usual, as far as one answer tells of the slope
    SLOPE_SAMPLE_WEIGHT = 1.0 / 128.0  # weight of a new sample in it

    def __init__(self, settings: Settings) -> None:
        self._classes: Sequence[RequestClass] = settings.classes
        count = len(settings.classes)
        self.mean = [cls.aim_ms / 3.0 for cls in settings.classes]
        self.base = list(self.mean)  # at low load
        self._base_samples = [0] * count  # answers, while they are few
        self._mean_samples = [0] * count  # the same, in a window of any size
        self._base_sizes = [0.0] * count  # the sum of the sizes of those answers
        # Of a call's time at low load, the part that goes by its request's size: of the tiers from here on, this one.
        self._slope = 1.0 / max(1, settings.tiers - settings.tier)
        self._size_variance, self._size_time_covariance = 1.0, self._slope

    def configure(self, settings: Settings) -> list[int]:
        """Take new classes, and return the places of those that were not there. What was learned of others stays.

        Classes keep their places; there may be more, and another class may have taken the place of one that is no more.
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
            elif before.aim_ms != after.aim_ms:  # guards against refusing all for a guess from the old aim
                self.mean[at] = min(self.mean[at], after.aim_ms / 3.0)
                self.base[at] = min(self.base[at], after.aim_ms / 3.0)
        self._classes = settings.classes
        return new

    def min_latency_ms(self, class_index: int) -> float:
        """What a request of the usual size takes at the least; 0 while nothing is known of it but a guess."""
        known = self._mean_samples[class_index] >= self.MIN_KNOWN_SAMPLES
        return min(self.base[class_index], self.mean[class_index]) if known else 0.0

    def size_scale(self, size: float) -> float:
        """By what factor the time at low load of a request of this size is that of the usual one."""
        return max(self.MIN_SIZE_SCALE, 1.0 + self._slope * (size - 1.0))

    def record(self, class_index: int, spent_ms: float, size: float) -> None:
        """A call was served after `spent_ms` at the upstream. `size`: its work, by the mean of its class."""
        if size != 1.0:  # without a hint there is nothing to learn of the slope
            self._learn_slope(class_index, spent_ms, size)
        self.mean[class_index] += self.SAMPLE_WEIGHT * (spent_ms - self.mean[class_index])
        self._mean_samples[class_index] += self._mean_samples[class_index] < self.MIN_KNOWN_SAMPLES

    def _learn_slope(self, at: int, spent_ms: float, size: float) -> None:
        """What of a call's time goes by its size: a regression over all classes, on their own means."""
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
        """Move the latency at low load towards the mean, as where hardly any call is out beside another."""
        deviation = self.mean[class_index] - self.base[class_index]
        self.base[class_index] += (
            self.SAMPLE_WEIGHT * deviation * (1.0 if deviation < 0.0 else self.RISE_FACTOR)
        )

    def is_base_known(self, class_index: int) -> bool:
        """Whether so many answers have been given to `learn_base` that it is not called any more."""
        return self._base_samples[class_index] >= self.MIN_BASE_SAMPLES

    def learn_base(self, class_index: int, unloaded_ms: float, scale: float) -> None:
        """One of the first answers of a class. `unloaded_ms`: without what queues added; `scale`: of its size."""
        self._base_samples[class_index] += 1
        self._base_sizes[class_index] += scale
        own = max(0.01, unloaded_ms)
        before = self.base[class_index]
        self.base[class_index] = max(0.01, before + (own - before * scale) / self._base_sizes[class_index])

    def rescale(self, factor: float) -> None:
        """Move the latency at low load of all classes alike."""
        self.base[:] = [
            max(0.01, min(base * factor, cls.aim_ms))
            for base, cls in zip(self.base, self._classes, strict=True)
        ]
