"""Whether the router's configuration is recent enough to accept tokens."""

from ..peers.versions import is_outdated
from ..state.fleet_views import configuration_age_ms
from ..state.routers import Router

# Tokens are accepted without a new confirmation for this part of the time within
# which a removed one must stop working; the rest is for an admitted request's way to
# its endpoint.
TOKEN_AGE_SHARE = 0.94


def has_fresh_tokens(router: Router) -> bool:
    """Check whether the store confirmed the tokens recently enough to accept them."""
    age_ms = configuration_age_ms(router.fleet_view)
    return (
        age_ms is not None
        and age_ms <= router.settings.bounds.revoke_ms * TOKEN_AGE_SHARE
    )


def is_ready(router: Router) -> bool:
    """Check whether the router can serve what the balancer would send to it."""
    configuration = router.fleet_view.configuration
    if configuration is None or router.stops_at_ms is not None:
        return False
    if router.fleet_view.awaits_versions or is_outdated(router.fleet_view):
        return False
    return not configuration.needs_token or has_fresh_tokens(router)
