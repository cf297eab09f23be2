"""Metrics of a process, rendered by aioprometheus."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from aioprometheus.collectors import Counter, Gauge, Registry
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
    """A metric with its present values.

    :ivar counter: it only grows; else it is a gauge.
    """

    name: str
    help: str
    samples: tuple[Sample, ...]
    counter: bool = False


Collect = Callable[[], Iterable[Metric]]


class MetricsPage:
    """Renders the metrics that parts of the process report when the page is read.

    Parts keep plain numbers; nothing of the metrics library runs while requests are served.
    """

    def __init__(self) -> None:
        self._collectors: list[Collect] = []

    def add(self, collect: Collect) -> None:
        """Add a part that reports metrics."""
        self._collectors.append(collect)

    def render(self, accept: str) -> tuple[bytes, str]:
        """Render the page.

        :param accept: the reader's Accept header.
        :returns: the page and its content type.
        """
        registry = Registry()
        for collect in self._collectors:
            for metric in collect():
                _register(metric, registry)
        content, headers = render(registry, [accept])
        return content, headers["Content-Type"]


def counter(name: str, help_text: str, value: float) -> Metric:
    """Make a counter without labels."""
    return Metric(name, help_text, (Sample(value),), counter=True)


def gauge(name: str, help_text: str, value: float) -> Metric:
    """Make a gauge without labels."""
    return Metric(name, help_text, (Sample(value),))


def _register(metric: Metric, registry: Registry) -> None:
    kind = Counter if metric.counter else Gauge
    collector = kind(metric.name, metric.help, registry=registry)
    for sample in metric.samples:
        collector.set(dict(sample.labels), sample.value)
