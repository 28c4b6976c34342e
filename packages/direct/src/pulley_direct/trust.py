"""Whether what the router knows of tokens is recent enough to act on."""

from .beliefs import age_ms
from .routers import Router

# Tokens are taken on trust for this part of the time in which a removed one has
# to stop working; the rest is for an admitted request's way to its endpoint.
TRUST_SHARE = 0.94


def is_trusted(router: Router) -> bool:
    """Tell whether the store has confirmed the tokens lately."""
    age = age_ms(router.beliefs)
    return age is not None and age <= router.settings.bounds.revoke_ms * TRUST_SHARE


def is_ready(router: Router) -> bool:
    """Tell whether the router can serve what the balancer would send to it."""
    configuration = router.beliefs.configuration
    if configuration is None or router.stops_at_ms is not None:
        return False
    return not configuration.needs_token or is_trusted(router)
