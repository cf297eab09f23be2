"""Finds references from records to records that don't exist."""

from collections.abc import Iterator

from pearshed._internal.configuration.catalogue import Catalogue


def find_dangling(catalogue: Catalogue) -> Iterator[str]:
    """Describe each reference to a record that does not exist.

    A running process accepts such references, since records arrive one by one; the ``check``
    command does not.
    """
    for request_class in catalogue.classes.values():
        if request_class.tier not in catalogue.tiers:
            yield f"record class/{request_class.name}: tier: no tier {request_class.tier!r}"
    for customer in catalogue.customers.values():
        for name in customer.classes:
            if name not in catalogue.classes:
                yield f"record customer/{customer.name}: classes: no class {name!r}"
    for model in catalogue.models.values():
        if model.service not in catalogue.endpoints_by_service:
            yield f"record model/{model.name}: service: no endpoint of {model.service!r}"
