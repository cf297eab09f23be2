"""Which side processes an entry keeps connections to."""

from collections.abc import Mapping, Sequence

from pearshed._internal.membership.rendezvous import ranked
from pearshed._internal.models.records import Endpoint


def choose_subset(
    entry: str,
    data_centre: str,
    endpoints_by_service: Mapping[str, Sequence[Endpoint]],
    size: int,
) -> dict[str, Endpoint]:
    """Choose up to ``size`` endpoints, spread over services and data centres.

    Each service gets its part of the size, at least two. Half of a service's part is taken
    from the entry's own data centre where it has that many, the rest from the others, so that
    the loss of a data centre leaves every entry with endpoints.

    :param entry: name of the entry; it seeds the rendezvous order.
    :returns: the chosen endpoints by name.
    """
    total = sum(len(group) for group in endpoints_by_service.values())
    chosen: dict[str, Endpoint] = {}
    for group in endpoints_by_service.values():
        part = len(group)
        if total > size:
            part = max(2, round(size * len(group) / total))
        for endpoint in _choose_part(entry, data_centre, group, part):
            chosen[endpoint.name] = endpoint
    return chosen


def _choose_part(
    entry: str, data_centre: str, group: Sequence[Endpoint], part: int
) -> list[Endpoint]:
    by_name = {endpoint.name: endpoint for endpoint in group}
    order = [by_name[name] for name in ranked(entry, by_name)]
    near = [endpoint for endpoint in order if endpoint.data_centre == data_centre]
    far = [endpoint for endpoint in order if endpoint.data_centre != data_centre]
    near_part = max(part - len(far), min(len(near), (part + 1) // 2))
    return (near[:near_part] + far)[:part]
