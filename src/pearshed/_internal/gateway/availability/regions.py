"""Data centres that may run a request, from the regions that its route and customer allow."""

from collections.abc import Mapping

from pearshed._internal.models.routing import KeyHolder, Route


def allowed_data_centres(
    route: Route, holder: KeyHolder | None, regions: Mapping[str, str]
) -> frozenset[str] | None:
    """Return the data centres that both a route and a customer allow.

    :param regions: region of each data centre; one that isn't listed is in no allowed region.
    :returns: the data centres, or ``None`` if neither restricts them.
    """
    restrictions = [route.allowed_regions]
    if holder is not None:
        restrictions.append(holder.allowed_regions)
    binding = [allowed for allowed in restrictions if allowed is not None]
    if not binding:
        return None
    allowed_regions = frozenset.intersection(*binding)
    return frozenset(
        data_centre for data_centre, region in regions.items() if region in allowed_regions
    )
