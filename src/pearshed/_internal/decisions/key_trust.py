"""Whether a gateway may still accept the API keys that it knows.

Addresses configurations that take seconds to arrive over a slow link: until they have, nothing
confirms the one in force, although its keys are mostly those of the new one.
"""

#: Keys stop being trusted this long before the revocation bound: checks and clocks are not exact.
REVOCATION_MARGIN_S = 0.5
#: Age of the routes up to which keys that were confirmed later are trusted, seconds: a new
#: configuration must be in force within 10 s.
MAX_ROUTES_AGE_S = 8.0


def are_keys_trusted(revocation_s: float, configuration_age_s: float, keys_age_s: float) -> bool:
    """Return whether keys are accepted.

    :param revocation_s: time after which a revoked key must be refused, seconds.
    :param configuration_age_s: time since the store confirmed the configuration, seconds.
    :param keys_age_s: time since the store confirmed its keys, here or at another gateway, seconds.
    """
    trusted_s = revocation_s - REVOCATION_MARGIN_S
    if configuration_age_s < trusted_s:
        return True
    return keys_age_s < trusted_s and configuration_age_s < MAX_ROUTES_AGE_S
