"""Metrics of a process, rendered by aioprometheus."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from aioprometheus import collectors
from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.histogram import Histogram
from aioprometheus.renderer import render


@dataclass(frozen=True)
class Sample:
    """One value of a metric.

    :ivar labels: label names to values.
    """

    value: float
    labels: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Metric:
    """A metric with its current values.

    :ivar counter: whether it is a counter; otherwise it is a gauge.
    """

    name: str
    help: str
    samples: tuple[Sample, ...]
    counter: bool = False


@dataclass(frozen=True)
class HistogramMetric:
    """Histograms of one quantity, by the labels that distinguish them."""

    name: str
    help: str
    samples: tuple[tuple[Mapping[str, str], Histogram], ...]


Collect = Callable[[], Iterable[Metric | HistogramMetric]]


class MetricsPage:
    """Collects the metrics of a process's components and renders them when the page is read.

    Components keep plain numbers, so that serving requests doesn't call the metrics library.
    """

    def __init__(self) -> None:
        self._collectors: list[Collect] = []

    def add(self, collect: Collect) -> None:
        """Register a function that returns the metrics of a component."""
        self._collectors.append(collect)

    def render(self, accept: str) -> tuple[bytes, str]:
        """Render the page.

        :param accept: the Accept header of the request.
        :returns: the content and its content type.
        """
        registry = Registry()
        for collect in self._collectors:
            for metric in collect():
                _register(metric, registry)
        content, headers = render(registry, [accept])
        return content, headers["Content-Type"]


def counter(name: str, help_text: str, value: float) -> Metric:
    """Create a counter without labels."""
    return Metric(name, help_text, (Sample(value),), counter=True)


def gauge(name: str, help_text: str, value: float) -> Metric:
    """Create a gauge without labels."""
    return Metric(name, help_text, (Sample(value),))


def _register(metric: Metric | HistogramMetric, registry: Registry) -> None:
    if isinstance(metric, HistogramMetric):
        histograms = collectors.Histogram(metric.name, metric.help, registry=registry)
        for labels, histogram in metric.samples:
            histograms.values[dict(labels)] = histogram
        return
    collector_class = Counter if metric.counter else Gauge
    collector = collector_class(metric.name, metric.help, registry=registry)
    for sample in metric.samples:
        collector.set(dict(sample.labels), sample.value)
